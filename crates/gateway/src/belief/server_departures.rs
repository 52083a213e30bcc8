//! Servers that have stated in an answer that they are leaving.

use std::time::Instant;

use super::IncarnationTable;
use crate::model::ServerIncarnation;

/// The server incarnations that have stated that they are leaving. A departure is never
/// withdrawn.
#[derive(Debug, Default)]
pub struct ServerDepartures {
    /// When this gateway first learned of the departure.
    known_since: IncarnationTable<Instant>,
}

impl ServerDepartures {
    /// Records that `server` is leaving; true when a new entry was added.
    pub fn note(&mut self, server: ServerIncarnation, now: Instant) -> bool {
        let is_new = !self.contains(server);
        self.known_since.get_or_insert_with(server, now, || now).is_some() && is_new
    }

    pub fn contains(&self, server: ServerIncarnation) -> bool {
        self.known_since.get(server).is_some()
    }

    /// Removes servers that have been unlisted for the retention period of the table.
    pub fn tick(&mut self, is_listed: impl Fn(ServerIncarnation) -> bool, now: Instant) {
        self.known_since.tick(is_listed, now);
    }

    pub fn is_empty(&self) -> bool {
        self.known_since.is_empty()
    }
}
