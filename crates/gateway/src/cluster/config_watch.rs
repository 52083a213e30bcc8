//! What this gateway hears of configurations that it does not hold yet.

use std::time::Duration;
use std::time::Instant;

use crate::model::ConfigVersion;

/// Between two reads that unknown routes or keys ask for: many such requests may come.
const ASK_PAUSE: Duration = Duration::from_millis(300);

/// What this gateway knows of configurations that it does not hold yet, and how
/// sure it may be that there is none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConfigWatch {
    /// The newest version that another gateway has told of.
    heard: ConfigVersion,
    /// When the configuration in force was the store's, as far as is known.
    fresh_at: Option<Instant>,
    /// When a read was asked for last since a request was unknown.
    asked_at: Option<Instant>,
}

impl ConfigWatch {
    /// Another gateway has `version` in force, this one `own`. True when it
    /// should read the store at once: once for each newer version, so that
    /// a store that does not show it yet is not asked without end.
    pub fn hear(&mut self, version: ConfigVersion, own: ConfigVersion) -> bool {
        let is_news = version > own.max(self.heard);
        self.heard = self.heard.max(version);
        is_news
    }

    /// The configuration in force was the store's at `at`: by a read of this
    /// gateway, or of another that has the same in force.
    pub fn note_fresh(&mut self, at: Instant) {
        self.fresh_at = self.fresh_at.max(Some(at));
    }

    /// True when a read may be asked for, which cuts the one that waits for changes.
    pub fn may_ask(&mut self, now: Instant) -> bool {
        let is_due = |at: Instant| now.saturating_duration_since(at) >= ASK_PAUSE;
        let may_ask = self.asked_at.is_none_or(is_due);
        if may_ask {
            self.asked_at = Some(now);
        }
        may_ask
    }

    /// True when `own`, the version in force, is the newest for all that is known,
    /// and was the store's within `bound`.
    ///
    /// Guards against callers who are told that their key or route is unknown, and
    /// never come back, by a gateway that has missed a configuration.
    pub fn is_newest(&self, own: ConfigVersion, bound: Duration, now: Instant) -> bool {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < bound;
        self.heard <= own && self.fresh_at.is_some_and(is_fresh)
    }
}
