//! Which contents were lately answered whole.

use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashSet;

use crate::model::RequestFingerprint;

/// How long a content is remembered, at least.
const REMEMBERED: Duration = Duration::from_secs(30);
/// Contents remembered in each half: 32 KB of digests. Beyond that new ones are
/// not remembered until the next half begins; those that are asked for often
/// are remembered early.
const MAX_IN_HALF: usize = 4096;

/// Contents answered whole within the last 30 to 60 seconds.
#[derive(Debug, Default)]
pub(super) struct RecentCompletions {
    current: FxHashSet<RequestFingerprint>,
    previous: FxHashSet<RequestFingerprint>,
    /// When `current` was begun.
    begun_at: Option<Instant>,
}

impl RecentCompletions {
    /// Notes an answer.
    pub fn note(&mut self, content: RequestFingerprint, now: Instant) {
        self.turn(now);
        if self.current.len() < MAX_IN_HALF {
            self.current.insert(content);
        }
    }

    /// True when `content` was answered whole lately.
    pub fn contains(&mut self, content: RequestFingerprint, now: Instant) -> bool {
        self.turn(now);
        self.current.contains(&content) || self.previous.contains(&content)
    }

    fn turn(&mut self, now: Instant) {
        let begun_at = *self.begun_at.get_or_insert(now);
        let age = now.saturating_duration_since(begun_at);
        if age < REMEMBERED {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        if age >= REMEMBERED * 2 {
            self.previous.clear();
        }
        self.begun_at = Some(now);
    }
}
