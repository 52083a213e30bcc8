//! How often a gateway may tell all others of a change.

use std::time::Duration;
use std::time::Instant;

/// Datagrams a second spent on telling of changes at once, besides the regular
/// reports: a stream is told of four times (it waits, its prompt is read, it runs,
/// it ends), and changes that wait meet others' choices.
const DATAGRAMS_PER_S: f64 = 1600.0;
/// Reports that may be sent in a row.
const BURST_REPORTS: f64 = 4.0;

/// A token bucket of datagrams. Telling of each change at once keeps the
/// others' view about as old as the network's delay; the bucket bounds its
/// cost when there are many gateways or many changes, and the view is then
/// as old as the regular reports.
#[derive(Debug)]
pub struct SendBudget {
    /// Invariant: never above [`BURST_REPORTS`] times the peers last asked
    /// for; below zero while a report that is paid for waits.
    tokens: f64,
    refilled_at: Instant,
}

impl SendBudget {
    /// An empty budget, filled from `now` on.
    pub fn new(now: Instant) -> Self {
        SendBudget { tokens: 0.0, refilled_at: now }
    }

    /// When `peers` are told of a change: now, or when the budget allows it,
    /// or with the regular report at `due` at the latest, which costs the
    /// budget nothing.
    ///
    /// Guards against regular reports that use the budget up: at 79 peers
    /// they are 400 datagrams a second by themselves, and each change was
    /// told 70 to 200 ms late.
    pub fn send_at(&mut self, peers: usize, due: Instant, now: Instant) -> Instant {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let max_tokens = BURST_REPORTS * peers as f64;
        self.tokens = (self.tokens + elapsed * DATAGRAMS_PER_S).min(max_tokens);
        let missing = (peers as f64 - self.tokens).max(0.0);
        let at = now + Duration::from_secs_f64(missing / DATAGRAMS_PER_S);
        if at >= due {
            return due;
        }
        // Below zero until `at`, by when the datagrams sent have come back in.
        self.tokens -= peers as f64;
        at
    }
}
