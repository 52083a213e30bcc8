//! Listings of the servers' table, and the changes that rows make to the fleet.

use crate::model::ServerEntry;
use crate::model::ServerKey;
use crate::model::StoreStamp;

/// A change that a row makes to the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetChange {
    Joined(ServerKey),
    Leaving(ServerKey),
    Removed(ServerKey),
    /// The row is missing after an outage of the store. The server counts as gone unless it is back
    /// in time.
    Expired(ServerKey),
    /// The server was started again under its id.
    Restarted(ServerKey),
}

impl FleetChange {
    /// Returns the server that changed.
    pub fn server(&self) -> &ServerKey {
        match self {
            FleetChange::Joined(server)
            | FleetChange::Leaving(server)
            | FleetChange::Removed(server)
            | FleetChange::Expired(server)
            | FleetChange::Restarted(server) => server,
        }
    }
}

/// A complete listing of the servers' table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServerListing {
    pub entries: Vec<(ServerEntry, StoreStamp)>,
    /// Rows that hold no valid registration.
    pub unreadable: Vec<(ServerKey, StoreStamp)>,
}
