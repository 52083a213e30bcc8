//! What a gateway tells the others of what it has charged to a quota.

use serde::Deserialize;
use serde::Serialize;

/// Units charged less those given back, since a gateway's start.
pub type ChargeTotal = i64;

/// What one gateway has charged to one organisation's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChargeUpdate {
    pub total: ChargeTotal,
    /// The part of it that was charged within the window.
    pub recent: u64,
    /// Units that its callers have asked for since its start, granted or not.
    pub asked: u64,
}
