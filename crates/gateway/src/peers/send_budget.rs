//! Limits how often a gateway reports changes to its peers.

use std::time::Duration;
use std::time::Instant;

/// Datagrams per second for immediate reports of changes, in addition to the regular reports. A
/// stream causes four (queued, prompt prefilled, running, ended), and delayed reports lead to
/// conflicting choices of other gateways.
const DATAGRAMS_PER_S: f64 = 1600.0;
/// Number of reports that may be sent in a row.
const BURST_REPORTS: f64 = 4.0;

/// A token bucket of datagrams.
///
/// Immediate reports keep the peers' view about as old as the network delay. The bucket bounds
/// their cost when there are many gateways or many changes; the view is then as old as the regular
/// reports.
#[derive(Debug)]
pub struct SendBudget {
    /// Invariant: at most [`BURST_REPORTS`] times the last number of peers; negative while a report
    /// that has consumed its tokens is delayed.
    tokens: f64,
    refilled_at: Instant,
}

impl SendBudget {
    /// Creates an empty budget, refilled from `now` on.
    pub fn new(now: Instant) -> Self {
        SendBudget { tokens: 0.0, refilled_at: now }
    }

    /// Returns when to report a change to `peers` gateways: now, once the budget allows it, or at
    /// the latest with the regular report at `due`, which consumes no tokens.
    ///
    /// Regular reports must not consume the budget: with 79 peers they are 400 datagrams per second
    /// by themselves, which would delay the report of each change by 70 to 200 ms.
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
        // Negative until `at`, when the tokens of the datagrams sent have been refilled.
        self.tokens -= peers as f64;
        at
    }
}
