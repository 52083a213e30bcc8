//! What is believed of one server.

use std::time::Instant;

use crate::cluster::LoadShare;
use crate::cluster::ServerHealth;
use crate::model::ServerEntry;
use crate::model::ServerIncarnation;
use crate::model::StoreVersion;

/// One server: its registration, our own work there, and its record.
#[derive(Debug, Clone)]
pub struct ServerState {
    pub entry: ServerEntry,
    /// The version of the row `entry` was read from.
    pub version: StoreVersion,
    /// This start of the server, as it stands in load reports.
    pub incarnation: ServerIncarnation,
    /// Our own work there.
    pub local_load: LoadShare,
    pub health: ServerHealth,
    /// Set when the entry was found missing after an outage of the store;
    /// the server counts as gone from then on.
    pub expires_at: Option<Instant>,
    /// True while the server's row holds what is no registration.
    pub is_unreadable: bool,
    /// Set once the server at its address has said that it is another than the
    /// row tells of, until the next row or this time.
    pub outdated_until: Option<Instant>,
}

impl ServerState {
    /// What is believed of a server that has just become known.
    pub fn new(entry: ServerEntry, version: StoreVersion) -> Self {
        ServerState {
            incarnation: entry.incarnation(),
            entry,
            version,
            local_load: LoadShare::default(),
            health: ServerHealth::default(),
            expires_at: None,
            is_unreadable: false,
            outdated_until: None,
        }
    }

    /// True while its row is taken to tell of another server.
    pub fn is_outdated(&self, now: Instant) -> bool {
        self.outdated_until.is_some_and(|until| now < until)
    }

    /// True when new work may go there.
    pub fn is_available(&self, now: Instant) -> bool {
        let is_row_valid = !self.is_unreadable && !self.is_outdated(now);
        !self.entry.is_leaving && is_row_valid && self.expires_at.is_none_or(|at| now < at)
    }
}
