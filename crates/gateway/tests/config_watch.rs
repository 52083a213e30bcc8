//! What a gateway hears of newer configurations.

use umberglade_gateway::belief::ConfigWatch;

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
