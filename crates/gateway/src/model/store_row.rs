//! Rows of the platform's store, as the gateway reads them.

use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use strum::Display;

use super::StoreVersion;

/// The tables the gateway follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum StoreTable {
    /// The operator's configuration.
    Configuration,
    /// Registered backend servers.
    Servers,
    /// The gateways themselves.
    Members,
    /// Who may do what only one gateway may do at a time.
    Duties,
    /// Requests that are held back, by content.
    Quarantines,
}

impl StoreTable {
    /// True for rows in which callers' keys stand: gateways do not tell each other
    /// of them as they are.
    pub fn holds_keys(self) -> bool {
        self == StoreTable::Configuration
    }
}

/// One row, or the news that it is gone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreRow {
    pub key: String,
    pub version: StoreVersion,
    pub value: RowValue,
}

/// What a row holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RowValue {
    Held(Bytes),
    /// The row is gone.
    Removed,
    /// It holds what can't be decoded; why.
    Unreadable(String),
}

/// The store's answer to a listing or a feed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowBatch {
    pub rows: Vec<StoreRow>,
    /// Everything up to this version is in the answer.
    pub version: StoreVersion,
    /// The store's steady clock, when it answered.
    pub store_time: Duration,
    /// True when a listing goes on after its last key.
    pub has_more: bool,
}
