//! How often gateways tell each other of their work.

use std::time::Duration;

/// How often reports are sent at a small site when nothing tells of a
/// change: such a report carries the progress of streams, and shows that
/// the gateway lives. Against one each 100 ms it costs an instance 0.25% of
/// a core (0.0225 to 0.0250 of a core, six gateways).
const BASE_REPORT_INTERVAL: Duration = Duration::from_millis(40);
/// Added for each peer, so that the cost of hearing all of them stays
/// bounded as the number of gateways grows.
const REPORT_INTERVAL_PER_PEER: Duration = Duration::from_millis(2);
/// The slowest pace, which the life of a report allows for.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// How often gateways of other shards are told what all need to know.
pub const REMOTE_REPORT_INTERVAL: Duration = Duration::from_millis(1000);
/// The same by those that read the store for all: what they tell counts as fresh for
/// half of a bound of seconds.
pub const READER_REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// The time between two regular reports to `peers` other gateways.
pub fn report_interval(peers: usize) -> Duration {
    let interval = BASE_REPORT_INTERVAL
        + REPORT_INTERVAL_PER_PEER * u32::try_from(peers).unwrap_or(u32::MAX / 4);
    interval.min(MAX_REPORT_INTERVAL)
}
