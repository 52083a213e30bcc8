//! The software versions of the fleet's servers.

use std::time::Duration;
use std::time::Instant;

use super::Fleet;
use super::ServerState;
use super::ServiceVersions;
use crate::model::ServerIncarnation;
use crate::model::ServiceName;
use crate::model::SoftwareDigest;

/// Time within which the row of a server that starts again under its id is known: until then, the
/// process that answers may have another version than its row.
const RESTART_NOTICE_TIME: Duration = Duration::from_millis(2500);

impl Fleet {
    /// Returns the versions of `service`, if any server of it is or was known.
    pub fn service_versions(&self, service: &str) -> Option<&ServiceVersions> {
        self.versions.get(service)
    }

    /// Returns the only recent version of `service`; `None` if there are several, or none.
    pub fn sole_version(&self, service: &str) -> Option<SoftwareDigest> {
        self.service_versions(service)?.sole()
    }

    /// Returns the services whose versions are to be announced in the store.
    pub fn due_announcements(&self) -> Vec<ServiceName> {
        let due = self.versions.iter().filter(|(_, versions)| versions.is_announcement_due());
        due.map(|(service, _)| service.clone()).collect()
    }

    /// Returns the services whose announcement is no longer needed.
    pub fn ended_announcements(&self, now: Instant) -> Vec<ServiceName> {
        let ended = self.versions.iter().filter(|(_, one)| one.is_announcement_over(now));
        ended.map(|(service, _)| service.clone()).collect()
    }

    /// Returns the services whose versions are known.
    pub fn version_services(&self) -> Vec<ServiceName> {
        self.versions.keys().cloned().collect()
    }

    /// Sets the versions of `service` that the store's announcement names.
    pub fn set_announced_versions(&mut self, service: &str, announced: &[SoftwareDigest]) {
        if let Some(versions) = self.versions.get_mut(service) {
            versions.set_announced(announced);
        }
    }

    /// Forgets all announcements, as the store may have lost them.
    pub fn forget_announcements(&mut self) {
        self.versions.values_mut().for_each(|versions| versions.set_announced(&[]));
    }

    /// Returns the incarnations that were found to have been started again at another version since
    /// the last call.
    pub fn take_replaced_versions(&mut self) -> Vec<ServerIncarnation> {
        std::mem::take(&mut self.replaced_versions)
    }

    /// Returns the version of the process that answers for `incarnation` of the server `key`; `None`
    /// if it is not known: the server has been started again since, or may have been.
    ///
    /// Prevents events of a server that starts again under its id, at another version, from counting
    /// as those of the version before.
    pub fn answering_version(
        &self,
        key: &str,
        incarnation: ServerIncarnation,
    ) -> Option<SoftwareDigest> {
        let server_state = self.servers.get(key)?;
        let is_current = server_state.incarnation == incarnation;
        (is_current && self.is_version_certain(server_state)).then_some(server_state.software)
    }

    /// Records that the process that answers for `incarnation` of the server `key` was found to be
    /// that incarnation by a question sent at `asked_at`.
    pub fn confirm_version(
        &mut self,
        key: &str,
        incarnation: ServerIncarnation,
        asked_at: Instant,
    ) {
        if let Some(server_state) = self.current_server_mut(key, incarnation)
            && server_state.broke_at.is_some_and(|broke_at| broke_at <= asked_at)
        {
            server_state.broke_at = None;
        }
    }

    /// Returns true if the process that answers for a server has the version of its row: none of the
    /// server's connections has broken since, so that it may have been started again under its id.
    /// One that states no start time never is.
    pub fn is_version_certain(&self, server_state: &ServerState) -> bool {
        let keeps_no_id = server_state.entry.started_at.is_none();
        let is_sole = self.sole_version(&server_state.entry.service) == Some(server_state.software);
        let is_read_since =
            |broke_at: Instant| self.read_at.is_some_and(|at| at >= broke_at + RESTART_NOTICE_TIME);
        keeps_no_id || is_sole || server_state.broke_at.is_none_or(is_read_since)
    }
}
