//! This gateway's view of one server.

use std::time::Instant;

use crate::cluster::LoadShare;
use crate::cluster::ServerHealth;
use crate::model::ServerEntry;
use crate::model::ServerIncarnation;
use crate::model::SoftwareDigest;
use crate::model::StoreStamp;
use crate::model::software_digest;

/// One server: its registration, this gateway's load on it, and its health.
#[derive(Debug, Clone)]
pub struct ServerState {
    pub entry: ServerEntry,
    /// Version of the row from which `entry` was read.
    pub stamp: StoreStamp,
    /// This incarnation of the server, as identified in load reports.
    pub incarnation: ServerIncarnation,
    /// Version of this incarnation's software.
    pub software: SoftwareDigest,
    /// This gateway's load on the server.
    pub local_load: LoadShare,
    pub health: ServerHealth,
    /// Set when the row was found missing after an outage of the store. The server counts as gone
    /// from this time on.
    pub expires_at: Option<Instant>,
    /// True while the server's row holds no valid registration.
    pub is_unreadable: bool,
    /// When a connection to the server last broke or could not be opened.
    pub broke_at: Option<Instant>,
    /// When the server was last found to be the process of its row.
    pub confirmed_at: Option<Instant>,
    /// Set when the server at the address has stated that it is another one than the row describes.
    /// Applies until the next row or this time.
    pub outdated_until: Option<Instant>,
}

impl ServerState {
    /// Creates the state of a server that has just become known.
    pub fn new(entry: ServerEntry, stamp: StoreStamp) -> Self {
        ServerState {
            incarnation: entry.incarnation(),
            software: software_digest(&entry.software),
            entry,
            stamp,
            local_load: LoadShare::default(),
            health: ServerHealth::default(),
            expires_at: None,
            is_unreadable: false,
            broke_at: None,
            confirmed_at: None,
            outdated_until: None,
        }
    }

    /// Returns true while the row is taken to describe another server.
    pub fn is_outdated(&self, now: Instant) -> bool {
        self.outdated_until.is_some_and(|until| now < until)
    }

    /// Returns true if the server is available to new work.
    pub fn is_available(&self, now: Instant) -> bool {
        let is_row_valid = !self.is_unreadable && !self.is_outdated(now);
        !self.entry.is_leaving && is_row_valid && self.expires_at.is_none_or(|at| now < at)
    }
}
