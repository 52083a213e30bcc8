//! One start of a server at which sends break.

use std::time::Duration;
use std::time::Instant;

use super::crash_record::SAME_CRASH;

/// Sends that break this soon after another at the same start of a server say
/// that it is still out of order.
const STILL_OUT: Duration = Duration::from_secs(3);

/// A start of a server that has answered nothing since a send to it broke.
#[derive(Debug, Clone, Copy)]
pub(super) struct BrokenStart {
    /// When the first send broke.
    pub at: Instant,
    /// When the last did.
    pub broke_at: Instant,
}

impl BrokenStart {
    /// A further send broke: true when the server has not been at work since the
    /// first, and so has not crashed anew.
    ///
    /// Guards against an outage of a whole service, or of the way there, in
    /// which each send breaks and no server crashes: what is asked for often would
    /// be held back until long after it. One that comes much later may have
    /// found the server at work for others.
    pub fn is_outage(&mut self, now: Instant) -> bool {
        let is_still_out = now.saturating_duration_since(self.broke_at) < STILL_OUT;
        self.broke_at = now;
        if !is_still_out {
            self.at = now;
        }
        now.saturating_duration_since(self.at) >= SAME_CRASH
    }

    /// True while it says anything of further sends.
    pub fn is_live(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.broke_at) < STILL_OUT
    }
}
