//! Charges to quotas as gateways report them to each other.

use serde::Deserialize;
use serde::Serialize;

/// Units charged minus units refunded since a gateway's start.
pub type ChargeTotal = i64;

/// What one gateway has charged to one organisation's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChargeUpdate {
    pub total: ChargeTotal,
    /// Units of `total` that were charged within the window.
    pub recent: u64,
    /// Units that callers of the gateway have requested since its start, granted or not.
    pub asked: u64,
}
