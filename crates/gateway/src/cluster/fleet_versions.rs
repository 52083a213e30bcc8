//! The software versions of the fleet's servers.

use std::time::Duration;
use std::time::Instant;

use super::Fleet;
use super::ServerOutcome;
use super::ServerState;
use super::ServiceVersions;
use crate::model::ServerIncarnation;
use crate::model::ServiceName;
use crate::model::SoftwareDigest;

/// Time within which the row of a server that starts again under its id is known: until then, the
/// process that answers may have another version than its row.
const RESTART_NOTICE_TIME: Duration = Duration::from_millis(2500);
/// How long a server counts as the process that it was found to be: twice the time within which a
/// row tells of a new one.
const CONFIRMATION_VALIDITY: Duration = Duration::from_secs(5);

/// The version that a server's row states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RowVersion {
    pub software: SoftwareDigest,
    /// True if the server may be started again under its id, so that another process may answer.
    pub may_restart: bool,
}

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

    /// Returns the services whose announcement names versions of long ago.
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

    /// Returns the version of the process that answers, to a request sent at `sent_at`, for
    /// `incarnation` of the server `key`; `None` if it is not known: the server has been started again
    /// since its row was read, or may have been.
    ///
    /// Prevents events of a server that starts again under its id, at another version, from counting
    /// as those of the version before. While a service has several versions, such a server must have
    /// been found to be the process of its row after the request was sent.
    pub fn answering_version(
        &self,
        key: &str,
        incarnation: ServerIncarnation,
        sent_at: Instant,
        now: Instant,
    ) -> Option<SoftwareDigest> {
        let server_state = self.servers.get(key)?;
        let is_certain = match self.sole_version(&server_state.entry.service) {
            Some(_) => self.is_version_certain(server_state, now),
            None => self.is_version_certain_since(server_state, sent_at),
        };
        let is_current = server_state.incarnation == incarnation;
        (is_current && is_certain).then_some(server_state.software)
    }

    /// Returns true if the process that answers for `incarnation` of the server `key` on a connection
    /// opened at `opened_at` is known to be that incarnation: it was since then.
    ///
    /// Prevents the first streams of a server that starts again under its id, while all rows state one
    /// version, from counting as those of the version before.
    pub fn is_connection_confirmed(
        &self,
        key: &str,
        incarnation: ServerIncarnation,
        opened_at: Instant,
    ) -> bool {
        self.servers.get(key).is_some_and(|server_state| {
            let is_current = server_state.incarnation == incarnation;
            is_current && self.is_version_certain_since(server_state, opened_at)
        })
    }

    fn is_version_certain_since(&self, server_state: &ServerState, since: Instant) -> bool {
        let is_since = |at: Instant| at >= since;
        server_state.entry.started_at.is_none()
            || self.confirmed_at(server_state).is_some_and(is_since)
    }

    /// Returns when a server was last known to be the process of its row.
    fn confirmed_at(&self, server_state: &ServerState) -> Option<Instant> {
        let read_at = self.read_at.max(self.read_elsewhere_at);
        let by_row = read_at.and_then(|at| at.checked_sub(RESTART_NOTICE_TIME));
        by_row.max(server_state.confirmed_at)
    }

    /// Returns the version of the row of `incarnation` of the server `key`, to which a request is
    /// being sent.
    pub fn row_version(&self, key: &str, incarnation: ServerIncarnation) -> Option<RowVersion> {
        let server_state = self.servers.get(key)?;
        let is_current = server_state.incarnation == incarnation;
        let may_restart = server_state.entry.started_at.is_some();
        is_current.then_some(RowVersion { software: server_state.software, may_restart })
    }

    /// Records that another gateway has read the table at `at`, and that it is as it is known here.
    pub fn record_read_elsewhere(&mut self, at: Instant) {
        self.read_elsewhere_at = self.read_elsewhere_at.max(Some(at));
    }

    /// Records that the process that answers for `incarnation` of the server `key` was found to be
    /// that incarnation by a question sent at `asked_at`.
    pub fn confirm_version(
        &mut self,
        key: &str,
        incarnation: ServerIncarnation,
        asked_at: Instant,
    ) {
        if let Some(server_state) = self.current_server_mut(key, incarnation) {
            server_state.confirmed_at = server_state.confirmed_at.max(Some(asked_at));
        }
    }

    /// Records that the process that answers for `incarnation` of the server `key` is another one.
    pub fn record_restarted(&mut self, key: &str, incarnation: ServerIncarnation, now: Instant) {
        self.record_outcome(key, incarnation, ServerOutcome::Misdirected, now);
    }

    /// Returns true if the process that answers for a server has the version of its row: it was so
    /// lately, and no connection has broken since. Only a server that states its start time may be
    /// started again under its id.
    pub fn is_version_certain(&self, server_state: &ServerState, now: Instant) -> bool {
        if server_state.entry.started_at.is_none() {
            return true;
        }
        let Some(confirmed_at) = self.confirmed_at(server_state) else { return false };
        let has_broken = server_state.broke_at.is_some_and(|at| at >= confirmed_at);
        !has_broken && now.saturating_duration_since(confirmed_at) < CONFIRMATION_VALIDITY
    }
}
