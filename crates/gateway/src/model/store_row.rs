//! Rows of the platform's store, as the gateway reads them.

use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use strum::Display;

use super::StoreStamp;
use super::version_only;

/// The tables that the gateway follows.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum StoreTable {
    /// The operator's configuration.
    Configuration,
    /// Registered backend servers.
    Servers,
    /// The gateways themselves.
    Members,
    /// Leaders of the tasks that only one gateway may do at a time.
    Duties,
    /// Quarantined requests, by fingerprint.
    Quarantines,
    /// Software versions of services that have several, and the streams that began at them.
    Software,
}

impl StoreTable {
    /// Returns true for tables whose rows contain callers' keys. Gateways do not send each other
    /// such rows as they are.
    pub fn holds_keys(self) -> bool {
        self == StoreTable::Configuration
    }
}

/// One row, or its removal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreRow {
    pub key: String,
    #[serde(with = "version_only")]
    pub stamp: StoreStamp,
    pub value: RowValue,
}

/// The value of a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RowValue {
    Held(Bytes),
    /// The row was removed.
    Removed,
    /// The value cannot be decoded, for the stated reason.
    Unreadable(String),
}

/// The store's response to a listing or a feed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowBatch {
    pub rows: Vec<StoreRow>,
    /// The response contains all changes up to this version.
    pub through: StoreStamp,
    /// The store's monotonic clock at the time of the response.
    pub store_time: Duration,
    /// True when a listing continues after its last key.
    pub has_more: bool,
}
