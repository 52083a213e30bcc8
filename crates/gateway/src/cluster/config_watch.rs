//! What this gateway hears of configurations that it does not hold yet.

use std::time::Duration;
use std::time::Instant;

use crate::model::ConfigVersion;

/// Between two reads that unknown routes or keys ask for: many such requests may come.
const READ_REQUEST_INTERVAL: Duration = Duration::from_millis(300);

/// What this gateway knows of configurations that it does not hold yet, and how
/// sure it may be that there is none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConfigWatch {
    /// The newest version that another gateway has told of.
    reported: ConfigVersion,
    /// When the configuration in force was the store's, as far as is known.
    fresh_at: Option<Instant>,
    /// When a read was asked for last since a request was unknown.
    requested_at: Option<Instant>,
}

impl ConfigWatch {
    /// Another gateway has `version` in force, this one `local`. True when it
    /// should read the store at once: once for each newer version, so that
    /// a store that does not show it yet is not asked without end.
    pub fn apply_peer_version(&mut self, version: ConfigVersion, local: ConfigVersion) -> bool {
        let is_newer = version > local.max(self.reported);
        self.reported = self.reported.max(version);
        is_newer
    }

    /// The configuration in force was the store's at `at`: by a read of this
    /// gateway, or of another that has the same in force.
    pub fn record_fresh(&mut self, at: Instant) {
        self.fresh_at = self.fresh_at.max(Some(at));
    }

    /// True when a read may be asked for, which cuts the one that waits for changes.
    pub fn may_request_read(&mut self, now: Instant) -> bool {
        let is_due = |at: Instant| now.saturating_duration_since(at) >= READ_REQUEST_INTERVAL;
        let may_request_read = self.requested_at.is_none_or(is_due);
        if may_request_read {
            self.requested_at = Some(now);
        }
        may_request_read
    }

    /// True when `local`, the version in force, is the newest for all that is known,
    /// and was the store's within `bound`.
    ///
    /// Guards against callers who are told that their key or route is unknown, and
    /// never come back, by a gateway that has missed a configuration.
    pub fn is_newest(&self, local: ConfigVersion, bound: Duration, now: Instant) -> bool {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < bound;
        self.reported <= local && self.fresh_at.is_some_and(is_fresh)
    }
}
