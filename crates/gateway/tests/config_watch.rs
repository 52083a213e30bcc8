//! How closely a gateway watches the store for configurations.

use std::time::Duration;

use umberglade_gateway::belief::ConfigWatch;

/// A gateway that holds version 5 and waits 1.5 s on its own.
struct WaitCase {
    name: &'static str,
    /// Versions that others tell of, before the wait.
    heard: &'static [u64],
    peers: usize,
    draw: f64,
    wait_ms: u64,
}

/// With few gateways, or news that this one lacks, a silent connection must
/// not hide a change for long; with many, their waits are spread.
#[test]
fn waits_grow_with_the_gateways_heard() {
    let cases = [
        WaitCase { name: "alone", heard: &[], peers: 0, draw: 1.0, wait_ms: 1500 },
        WaitCase { name: "six gateways", heard: &[5], peers: 5, draw: 1.0, wait_ms: 1500 },
        WaitCase { name: "eighty, longest", heard: &[5, 4], peers: 79, draw: 1.0, wait_ms: 7500 },
        WaitCase { name: "eighty, shortest", heard: &[], peers: 79, draw: 0.0, wait_ms: 1500 },
        WaitCase { name: "eighty, in between", heard: &[], peers: 79, draw: 0.5, wait_ms: 4500 },
        WaitCase { name: "thousand", heard: &[], peers: 999, draw: 1.0, wait_ms: 7500 },
        WaitCase { name: "behind", heard: &[6], peers: 79, draw: 1.0, wait_ms: 1500 },
    ];
    for case in cases {
        let mut watch = ConfigWatch::default();
        for version in case.heard {
            watch.hear(*version, 5);
        }
        let wait = watch.wait(Duration::from_millis(1500), case.peers, 5, case.draw);
        assert_eq!(wait, Duration::from_millis(case.wait_ms), "{}", case.name);
    }
}

/// Each newer version that is heard of makes one read, however many gateways
/// tell of it; what this gateway holds or is older makes none.
#[test]
fn each_newer_version_is_read_once() {
    let steps = [(5, false), (4, false), (7, true), (7, false), (6, false), (9, true), (9, false)];
    let mut watch = ConfigWatch::default();
    for (version, is_read) in steps {
        assert_eq!(watch.hear(version, 5), is_read, "version {version}");
    }
}
