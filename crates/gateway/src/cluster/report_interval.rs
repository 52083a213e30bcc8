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

/// Shortest interval of reports to each gateway of another group.
pub const REMOTE_REPORT_INTERVAL: Duration = Duration::from_millis(1000);
/// Maximum number of reports per second to gateways of other groups.
const REMOTE_REPORTS_PER_S: u32 = 400;
/// Interval at which a gateway without work reports to its group, where there are several groups.
/// A report is valid for three times as long.
pub const QUIET_REPORT_INTERVAL: Duration = Duration::from_millis(2000);
/// Interval at which a gateway passes on what it knows to a random gateway of another group.
pub const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);

/// Returns the time between two reports to each of `peers` gateways of other groups. Where there are
/// more than a few hundred, it grows with their number, so that the traffic does not.
pub fn remote_report_interval(peers: usize) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    REMOTE_REPORT_INTERVAL.max(Duration::from_secs(1) * peers / REMOTE_REPORTS_PER_S)
}

/// Returns the time between two regular reports to `peers` peers.
pub fn report_interval(peers: usize) -> Duration {
    let interval = BASE_REPORT_INTERVAL
        + REPORT_INTERVAL_PER_PEER * u32::try_from(peers).unwrap_or(u32::MAX / 4);
    interval.min(MAX_REPORT_INTERVAL)
}
