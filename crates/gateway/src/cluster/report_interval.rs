//! Intervals between the load reports that gateways send each other.

use std::time::Duration;

/// Interval of regular reports at a small site, when no change triggers one earlier. They carry the
/// progress of streams and show that the gateway is alive. Compared with 100 ms this costs an
/// instance 0.25% of a core (0.0250 instead of 0.0225 of a core, with six gateways).
const BASE_REPORT_INTERVAL: Duration = Duration::from_millis(40);
/// Added per peer, so that the cost of receiving all reports stays bounded as the number of
/// gateways grows.
const REPORT_INTERVAL_PER_PEER: Duration = Duration::from_millis(2);
/// Longest interval, for which [`PeerReach::report_lifetime`](super::PeerReach::report_lifetime)
/// allows.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Interval of reports to gateways of other shards.
pub const REMOTE_REPORT_INTERVAL: Duration = Duration::from_millis(1000);
/// Interval of reports to other shards from table readers: their peers treat a read as fresh for
/// half of a bound of a few seconds.
pub const READER_REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Returns the time between two regular reports to `peers` peers.
pub fn report_interval(peers: usize) -> Duration {
    let interval = BASE_REPORT_INTERVAL
        + REPORT_INTERVAL_PER_PEER * u32::try_from(peers).unwrap_or(u32::MAX / 4);
    interval.min(MAX_REPORT_INTERVAL)
}
