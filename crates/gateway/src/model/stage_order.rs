//! An order to an engine to change its stage.

use std::time::SystemTime;

use super::ServerStage;
use super::StoreVersion;

/// What an engine is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StageOrder {
    pub stage: ServerStage,
    /// The instance that orders.
    pub holder: String,
    /// The version of the row by which it claimed the duty: later claims have
    /// higher ones.
    pub fence: StoreVersion,
    /// Orders that the engine must have accepted so far; it refuses if there
    /// were others, so that an order which comes late changes nothing.
    pub expected_orders: u64,
}

/// What an engine says of orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineReport {
    pub stage: ServerStage,
    /// An order is being carried out.
    pub is_changing: bool,
    /// Orders accepted since its start.
    pub orders: u64,
    /// When it started, if it says so.
    pub started_at: Option<SystemTime>,
}
