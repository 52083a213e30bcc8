//! All crashes of servers that this gateway knows, whatever they ran.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use super::CrashId;
use super::crash_record::SAME_CRASH_WINDOW;

/// How long a crash is kept.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of crashes, of 24 bytes each; the oldest are dropped.
const MAX_CRASHES: usize = 1024;

/// Crashes in the order in which they became known.
#[derive(Debug, Default)]
pub(super) struct KnownCrashes {
    crashes: VecDeque<(CrashId, Instant)>,
}

impl KnownCrashes {
    /// Adds the crash `id` at `at`, unless it is known.
    pub fn add(&mut self, id: CrashId, at: Instant) {
        let is_same = |(known, known_at): &(CrashId, Instant)| {
            let apart = at.max(*known_at).duration_since(at.min(*known_at));
            *known == id && apart < SAME_CRASH_WINDOW
        };
        if self.crashes.iter().rev().any(is_same) {
            return;
        }
        if self.crashes.len() == MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back((id, at));
    }

    /// Returns the number of crashes from `first` to `last`.
    pub fn count_between(&self, first: Instant, last: Instant) -> usize {
        self.crashes.iter().filter(|(_, at)| (first..=last).contains(at)).count()
    }

    /// Removes the crash `id` of the last second before `until`.
    pub fn remove(&mut self, id: CrashId, until: Instant) {
        let is_removed = |at: Instant| at <= until && until.duration_since(at) < SAME_CRASH_WINDOW;
        self.crashes.retain(|(known, at)| *known != id || !is_removed(*at));
    }

    /// Removes what is older than [`RETENTION`].
    pub fn tick(&mut self, now: Instant) {
        self.crashes.retain(|(_, at)| now.saturating_duration_since(*at) < RETENTION);
    }
}
