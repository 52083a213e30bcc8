//! Divides a server's rate limit among gateways.

use crate::model::RequestRate;

/// Minimum rate in requests per second. Lower limits are raised to it, so that an occasional
/// request still reaches the server and its response can lift the limit.
const MIN_RATE: f64 = 0.1;
/// Number of gateways that share the limit for each request per second, in addition to
/// [`MIN_GATEWAYS`].
const GATEWAYS_PER_RATE: f64 = 1.5;
/// Number of gateways that share the lowest limit.
const MIN_GATEWAYS: f64 = 2.0;

/// Rank of a gateway among those that may send to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitRank {
    /// Number of gateways that may send to the server, this one included.
    pub gateways: usize,
    /// Number of those that rank before this one.
    pub before: usize,
}

/// Returns the requests per second that a gateway may send to a server with `limit`.
///
/// The first few gateways by rank have equal shares; those after them have none and use servers
/// without a limit. Prevents hundreds of gateways that each hold a token from all sending at the
/// same time.
pub fn limit_share(limit: RequestRate, rank: LimitRank) -> f64 {
    let rate = limit.per_second().max(MIN_RATE);
    let max_sharing = (GATEWAYS_PER_RATE * rate + MIN_GATEWAYS) as usize;
    let sharing = max_sharing.min(rank.gateways.max(1));
    if rank.before < sharing { rate / sharing as f64 } else { 0.0 }
}

/// Returns an equal share for each of the registered `gateways`. A gateway uses it when it
/// receives reports from too few of them to determine its rank.
pub fn even_limit_share(limit: RequestRate, gateways: usize) -> f64 {
    limit.per_second().max(MIN_RATE) / gateways.max(1) as f64
}
