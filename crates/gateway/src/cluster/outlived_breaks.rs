//! Attempts that broke off at servers that went on working.

use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashMap;

use super::crash_record::SAME_CRASH_WINDOW;
use crate::model::ServerIncarnation;

/// How long peers may report a crash that was none.
const RETENTION: Duration = Duration::from_secs(15);
/// Maximum number of servers that are remembered, of 24 bytes each.
const MAX_SERVERS: usize = 1024;

/// The last breaks at servers, and those that servers have outlived.
///
/// A server that responds to a request that was sent after a break, sooner than it could be back
/// after a crash, has not crashed.
#[derive(Debug, Default)]
pub(super) struct OutlivedBreaks {
    /// When attempts last broke, for [`SAME_CRASH_WINDOW`].
    recent: FxHashMap<ServerIncarnation, Instant>,
    outlived: FxHashMap<ServerIncarnation, Instant>,
}

impl OutlivedBreaks {
    /// Adds a break at `at`.
    pub fn add(&mut self, incarnation: ServerIncarnation, at: Instant) {
        if self.recent.len() == MAX_SERVERS && !self.recent.contains_key(&incarnation) {
            return;
        }
        let last = self.recent.entry(incarnation).or_insert(at);
        *last = at.max(*last);
    }

    /// Records a response to a request that was sent at `sent_at`. Returns the time of the last
    /// break if that shows that the server has outlived it.
    pub fn record_response(
        &mut self,
        incarnation: ServerIncarnation,
        sent_at: Instant,
        now: Instant,
    ) -> Option<Instant> {
        let broke_at = *self.recent.get(&incarnation)?;
        let is_too_late = now.saturating_duration_since(broke_at) >= SAME_CRASH_WINDOW;
        if broke_at > sent_at || is_too_late {
            return None;
        }
        self.recent.remove(&incarnation);
        if self.outlived.len() < MAX_SERVERS {
            self.outlived.insert(incarnation, broke_at);
        }
        Some(broke_at)
    }

    /// Returns true if the server has outlived the break that a peer saw at `at`.
    pub fn contains(&self, incarnation: ServerIncarnation, at: Instant) -> bool {
        self.outlived.get(&incarnation).is_some_and(|outlived_at| at <= *outlived_at)
    }

    /// Removes what is no longer needed.
    pub fn tick(&mut self, now: Instant) {
        let is_within = |at: &Instant, span| now.saturating_duration_since(*at) < span;
        self.recent.retain(|_, at| is_within(at, SAME_CRASH_WINDOW));
        self.outlived.retain(|_, at| is_within(at, RETENTION));
    }
}
