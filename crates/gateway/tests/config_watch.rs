//! What a gateway hears of newer configurations.

use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::ConfigWatch;

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

struct NewestCase {
    name: &'static str,
    /// When the configuration in force was the store's, in milliseconds before.
    fresh_ms: Option<u64>,
    heard: u64,
    is_newest: bool,
}

/// Guards against callers who are told that their key is unknown by a gateway that
/// has missed a configuration.
#[test]
fn only_a_fresh_configuration_is_the_newest() {
    let cases = [
        NewestCase { name: "never read", fresh_ms: None, heard: 0, is_newest: false },
        NewestCase { name: "just read", fresh_ms: Some(100), heard: 7, is_newest: true },
        NewestCase { name: "read long ago", fresh_ms: Some(3100), heard: 7, is_newest: false },
        NewestCase {
            name: "another has a newer one",
            fresh_ms: Some(100),
            heard: 8,
            is_newest: false,
        },
    ];
    let bound = Duration::from_secs(3);
    let now = Instant::now() + Duration::from_secs(60);
    for case in cases {
        let mut watch = ConfigWatch::default();
        watch.hear(case.heard, 7);
        if let Some(millis) = case.fresh_ms {
            watch.note_fresh(now - Duration::from_millis(millis));
        }
        assert_eq!(watch.is_newest(7, bound, now), case.is_newest, "{}", case.name);
    }
}

/// Guards against a read of the store for each of many unknown requests.
#[test]
fn reads_are_asked_for_with_pauses() {
    let mut watch = ConfigWatch::default();
    let begun = Instant::now();
    let asked = (0..100).filter(|at| watch.may_ask(begun + Duration::from_millis(at * 10)));
    assert_eq!(asked.count(), 4);
}
