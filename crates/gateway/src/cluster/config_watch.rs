//! Tracks configurations that peers report and this gateway does not hold yet.

use std::time::Duration;
use std::time::Instant;

use crate::model::ConfigVersion;

/// Minimum time between two reads requested because of unknown routes or keys, since many such
/// requests may arrive.
const READ_REQUEST_INTERVAL: Duration = Duration::from_millis(300);

/// Configurations that this gateway does not hold yet, as far as known, and evidence that there are
/// none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConfigWatch {
    /// The newest version that a peer has reported.
    reported: ConfigVersion,
    /// When the configuration in force last matched the store, as far as known.
    fresh_at: Option<Instant>,
    /// When an unknown route or key last triggered a read.
    requested_at: Option<Instant>,
}

impl ConfigWatch {
    /// Records that a peer has `version` in force while this gateway has `local`. Returns true if
    /// the store should be read at once: only once for each newer version, so that a store that
    /// does not show it yet is not read in a loop.
    pub fn apply_peer_version(&mut self, version: ConfigVersion, local: ConfigVersion) -> bool {
        let is_newer = version > local.max(self.reported);
        self.reported = self.reported.max(version);
        is_newer
    }

    /// Records that the configuration in force matched the store at `at`, by a read of this gateway
    /// or of a peer that has the same version in force.
    pub fn record_fresh(&mut self, at: Instant) {
        self.fresh_at = self.fresh_at.max(Some(at));
    }

    /// Returns true if a read may be requested now, and counts it as requested. It interrupts the
    /// read that waits for changes.
    pub fn try_request_read(&mut self, now: Instant) -> bool {
        let is_due = |at: Instant| now.saturating_duration_since(at) >= READ_REQUEST_INTERVAL;
        let is_allowed = self.requested_at.is_none_or(is_due);
        if is_allowed {
            self.requested_at = Some(now);
        }
        is_allowed
    }

    /// Returns true if `local`, the version in force, is the newest one known and matched the store
    /// within `bound`.
    ///
    /// Prevents a gateway that has missed a configuration from rejecting callers with an unknown
    /// key or route, after which they never come back.
    pub fn is_newest(&self, local: ConfigVersion, bound: Duration, now: Instant) -> bool {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < bound;
        self.reported <= local && self.fresh_at.is_some_and(is_fresh)
    }
}
