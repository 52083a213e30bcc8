//! The leader lease, as stored in the store.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// How long a lease excludes other gateways. Orders are sent within two seconds of the claim, and
/// engines must not receive orders from two gateways within three seconds of each other; the rest
/// is for orders that are delayed on the network.
pub const LEASE_DURATION: Duration = Duration::from_secs(12);

/// Row of the leader, which may send orders: its name, and the lease's end by the store's clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRow {
    pub holder: String,
    pub until: Duration,
}

/// Returns true if the leadership of `row` may be claimed at `store_time`.
///
/// Prevents two gateways from sending orders to the same engine in turn: each would undo the
/// other's change, and an engine that does not check fencing tokens obeys both. A leader whose
/// process froze finds by its own clock that its claim is too old; for one that died, the others
/// wait until the lease expires.
pub fn is_claimable(row: Option<&LeaderRow>, store_time: Duration) -> bool {
    row.is_none_or(|row| row.until <= store_time)
}
