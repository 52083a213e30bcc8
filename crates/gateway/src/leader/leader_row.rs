//! The claim of a duty, as it stands in the store.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// How long a claim excludes other gateways. Orders are sent within two
/// seconds of it, and engines must not hear two gateways within three
/// seconds of each other; the rest is for orders that travel slowly.
pub const LEASE_DURATION: Duration = Duration::from_secs(12);

/// Who may give orders, until when by the store's own clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRow {
    pub holder: String,
    pub until: Duration,
}

/// True when the duty of `row` may be claimed at `store_time`.
///
/// Guards against two gateways that order the same engine by turns: each
/// would undo the other's change, and an engine that does not check fencing
/// numbers obeys both. A holder that froze finds its own claim too old by
/// its own clock; one that died is waited for.
pub fn is_claimable(row: Option<&LeaderRow>, store_time: Duration) -> bool {
    row.is_none_or(|row| row.until <= store_time)
}
