//! The limits of callers that were in force recently.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::model::CallerLimits;

/// Maximum time for which limits that are not in force any more are kept.
const MAX_RETENTION: Duration = Duration::from_secs(600);

/// Limits, and since when they are in force.
#[derive(Debug, Clone, Copy)]
struct LimitSpan {
    since: Instant,
    limits: CallerLimits,
}

/// The limits of callers that were in force recently.
///
/// A caller goes by the limits that it knew when it began: a change applies to what comes after it.
#[derive(Debug)]
pub struct LimitHistory {
    /// Time after a change during which callers may still go by the limits before it.
    notice_time: Duration,
    /// Invariant: in order of time, without two equal limits in a row. The last one is in force.
    spans: VecDeque<LimitSpan>,
}

impl LimitHistory {
    /// Creates a history without limits. A caller learns of a change within `notice_time`.
    pub fn new(notice_time: Duration) -> Self {
        LimitHistory { notice_time, spans: VecDeque::new() }
    }

    /// Records that `limits` are in force from `now` on.
    pub fn record(&mut self, limits: CallerLimits, now: Instant) {
        if self.spans.back().is_some_and(|last| last.limits == limits) {
            return;
        }
        self.spans.push_back(LimitSpan { since: now, limits });
        let retention = self.retention();
        let is_over = |span: &LimitSpan| now.saturating_duration_since(span.since) > retention;
        // A span ends where the next one begins.
        while self.spans.get(1).is_some_and(is_over) {
            self.spans.pop_front();
        }
    }

    /// Returns the largest of each limit that a caller may go by that began at `at`, which is not
    /// longer ago than the longest time limit.
    pub fn largest_since(&self, at: Instant) -> CallerLimits {
        let Some(last) = self.spans.back() else { return CallerLimits::default() };
        let ended_before =
            |next: &LimitSpan| at.saturating_duration_since(next.since) > self.notice_time;
        let nexts = self.spans.iter().skip(1);
        let relevant = self.spans.iter().zip(nexts).filter(|(_, next)| !ended_before(next));
        relevant.fold(last.limits, |largest, (span, _)| largest.max(span.limits))
    }

    /// Returns the number of limits that are kept.
    pub fn len(&self) -> usize {
        self.spans.len()
    }

    /// Returns true if no limits are known yet.
    pub fn is_empty(&self) -> bool {
        self.spans.is_empty()
    }

    /// Returns how long limits matter after their end: to what began before it.
    fn retention(&self) -> Duration {
        let longest = self.spans.iter().map(|span| span.limits.longest_time()).max();
        self.notice_time.saturating_add(longest.unwrap_or_default()).min(MAX_RETENTION)
    }
}
