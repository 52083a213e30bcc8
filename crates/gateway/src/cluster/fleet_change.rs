//! What is read of the servers' table, and what it changes.

use crate::model::ServerEntry;
use crate::model::ServerKey;
use crate::model::StoreVersion;

/// What a row changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetChange {
    Joined(ServerKey),
    Leaving(ServerKey),
    Removed(ServerKey),
    /// Missing after an outage; counts as gone unless it is back in time.
    Expired(ServerKey),
    /// Started again under its id.
    Restarted(ServerKey),
}

/// A whole listing of the servers' table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServerListing {
    pub entries: Vec<(ServerEntry, StoreVersion)>,
    /// Rows that hold no registration.
    pub unreadable: Vec<(ServerKey, StoreVersion)>,
}
