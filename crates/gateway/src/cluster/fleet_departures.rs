//! Makes servers unavailable to new work when they state in their responses that they are draining.

use std::time::Instant;

use super::Fleet;
use super::FleetChange;
use crate::model::ServerIncarnation;

impl Fleet {
    /// Records that `server` has stated that it is draining, and makes it unavailable to new work.
    /// Returns the change if the server is listed and was not draining before.
    ///
    /// Does not wait for the server's row, which is late while the store is unavailable.
    pub fn record_departure(
        &mut self,
        server: ServerIncarnation,
        now: Instant,
    ) -> Option<FleetChange> {
        if !self.departures.record(server, now) {
            return None;
        }
        let mut servers = self.servers.values_mut();
        let server_state = servers.find(|server_state| server_state.incarnation == server)?;
        let was_leaving = std::mem::replace(&mut server_state.entry.is_leaving, true);
        (!was_leaving).then(|| FleetChange::Leaving(server_state.entry.server.clone()))
    }
}
