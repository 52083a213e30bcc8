//! Closes servers to new work when they state in their answers that they are leaving.

use std::time::Instant;

use super::Fleet;
use super::FleetChange;
use crate::model::ServerIncarnation;

impl Fleet {
    /// Records that `server` has stated that it is leaving, and closes it to new work.
    /// Returns the change if the server is listed and was not leaving before.
    ///
    /// Does not wait for the server's row, which is late while the store is unavailable.
    pub fn note_departure(
        &mut self,
        server: ServerIncarnation,
        now: Instant,
    ) -> Option<FleetChange> {
        if !self.departures.note(server, now) {
            return None;
        }
        let mut servers = self.servers.values_mut();
        let belief = servers.find(|belief| belief.incarnation == server)?;
        let was_leaving = std::mem::replace(&mut belief.entry.is_leaving, true);
        (!was_leaving).then(|| FleetChange::Leaving(belief.entry.server.clone()))
    }
}
