//! How a gateway treats reports of newer configurations.

use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::ConfigWatch;

/// Each newer reported version causes one read, however many gateways report it; the version in
/// force and older ones cause none.
#[test]
fn each_newer_version_is_read_once() {
    let steps = [(5, false), (4, false), (7, true), (7, false), (6, false), (9, true), (9, false)];
    let mut watch = ConfigWatch::default();
    for (version, is_read) in steps {
        assert_eq!(watch.apply_peer_version(version, 5), is_read, "version {version}");
    }
}

struct NewestCase {
    name: &'static str,
    /// Milliseconds since the configuration in force last matched the store.
    fresh_ms: Option<u64>,
    reported: u64,
    is_newest: bool,
}

/// Prevents a gateway that has missed a configuration from rejecting callers with an unknown key.
#[test]
fn only_a_fresh_configuration_is_the_newest() {
    let cases = [
        NewestCase { name: "never read", fresh_ms: None, reported: 0, is_newest: false },
        NewestCase { name: "just read", fresh_ms: Some(100), reported: 7, is_newest: true },
        NewestCase { name: "read long ago", fresh_ms: Some(3100), reported: 7, is_newest: false },
        NewestCase {
            name: "a peer has a newer one",
            fresh_ms: Some(100),
            reported: 8,
            is_newest: false,
        },
    ];
    let bound = Duration::from_secs(3);
    let now = Instant::now() + Duration::from_secs(60);
    for case in cases {
        let mut watch = ConfigWatch::default();
        watch.apply_peer_version(case.reported, 7);
        if let Some(millis) = case.fresh_ms {
            watch.record_fresh(now - Duration::from_millis(millis));
        }
        assert_eq!(watch.is_newest(7, bound, now), case.is_newest, "{}", case.name);
    }
}

/// Prevents a read of the store for each of many unknown requests.
#[test]
fn requested_reads_are_rate_limited() {
    let mut watch = ConfigWatch::default();
    let started_at = Instant::now();
    let granted =
        (0..100).filter(|at| watch.try_request_read(started_at + Duration::from_millis(at * 10)));
    assert_eq!(granted.count(), 4);
}
