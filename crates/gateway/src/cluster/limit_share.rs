//! Division of a server's rate limit among gateways.

use crate::model::RequestRate;

/// Lower limits are raised to this many requests per second, so that an occasional
/// request still reaches the server and its answer can lift the limit.
const MIN_RATE: f64 = 0.1;
/// Gateways with a share of the limit for each request per second, in addition to
/// [`MIN_HOLDERS`].
const GATEWAYS_PER_RATE: f64 = 1.5;
/// Gateways with a share of the lowest limit.
const MIN_GATEWAYS: f64 = 2.0;

/// Where a gateway stands among those that may send to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitRank {
    /// Gateways that may send to the server, this one included.
    pub gateways: usize,
    /// Those that rank before this one.
    pub before: usize,
}

/// Requests per second that a gateway may send to a server with `limit`.
///
/// The first few gateways by rank have equal shares; the others have none and use
/// servers without a limit. Guards against hundreds of gateways that each hold a token
/// and all send at the same time.
pub fn limit_share(limit: RequestRate, rank: LimitRank) -> f64 {
    let rate = limit.per_second().max(MIN_RATE);
    let max_sharing = (GATEWAYS_PER_RATE * rate + MIN_GATEWAYS) as usize;
    let sharing = max_sharing.min(rank.gateways.max(1));
    if rank.before < sharing { rate / sharing as f64 } else { 0.0 }
}

/// An equal share for each of the registered `gateways`, used by a gateway that hears too
/// few of them to determine its rank.
pub fn even_limit_share(limit: RequestRate, gateways: usize) -> f64 {
    limit.per_second().max(MIN_RATE) / gateways.max(1) as f64
}
