//! An order to an engine to change its stage.

use std::time::SystemTime;

use super::FencingToken;
use super::ServerStage;

/// An order to change to `stage`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StageOrder {
    pub stage: ServerStage,
    /// The instance that issues the order as the leader.
    pub holder: String,
    /// The version of the row by which the instance became the leader. Later leaders have higher
    /// versions.
    pub fence: FencingToken,
    /// Number of orders that the engine must have accepted so far. The engine rejects the order if
    /// the number differs, so that a delayed order has no effect.
    pub expected_orders: u64,
}

/// An engine's report on its stage and orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineReport {
    pub stage: ServerStage,
    /// True while the engine carries out an order.
    pub is_changing: bool,
    /// Number of orders accepted since the engine's start.
    pub orders: u64,
    /// When the engine started, if it states that.
    pub started_at: Option<SystemTime>,
}
