//! A possible outage of one server incarnation, at which attempts break.

use std::time::Duration;
use std::time::Instant;

use super::crash_record::SAME_CRASH_WINDOW;

/// An attempt that breaks this soon after another at the same server incarnation shows that
/// the server has not recovered in between.
pub(super) const OUTAGE_WINDOW: Duration = Duration::from_secs(3);

/// A server incarnation that has not responded since an attempt broke at it.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServerOutage {
    /// When the first attempt broke.
    pub first_broken_at: Instant,
    /// When the last attempt broke.
    pub last_broken_at: Instant,
}

impl ServerOutage {
    /// Records another broken attempt. Returns true if the server has not worked since the
    /// first one, and thus has not crashed again.
    ///
    /// Prevents the quarantine of frequent requests in an outage of a whole service or of the
    /// network path to it, where every attempt breaks and no server crashes; the quarantine
    /// would last until long after the outage. An attempt that breaks much later may have found
    /// the server processing other requests.
    pub fn extends(&mut self, now: Instant) -> bool {
        let is_same_outage = now.saturating_duration_since(self.last_broken_at) < OUTAGE_WINDOW;
        self.last_broken_at = now;
        if !is_same_outage {
            self.first_broken_at = now;
        }
        now.saturating_duration_since(self.first_broken_at) >= SAME_CRASH_WINDOW
    }

    /// Returns true while this affects how further broken attempts are judged.
    pub fn is_live(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_broken_at) < OUTAGE_WINDOW
    }
}
