//! Limits how often a gateway reports changes to its peers.

use std::time::Duration;
use std::time::Instant;

/// Datagrams per second for immediate reports of changes, in addition to the regular reports. A
/// stream causes four (queued, prompt prefilled, running, ended), and delayed reports lead to
/// conflicting choices of other gateways.
const DATAGRAMS_PER_S: f64 = 1600.0;
/// Number of reports that may be sent in a row.
const BURST_REPORTS: f64 = 4.0;
/// Fraction of this gateway's link that reports may take.
const LINK_FRACTION: f64 = 0.5;
/// Time by which reports may be ahead of their share of the link: a change just after a regular report
/// is told at once.
const LINK_BURST: Duration = Duration::from_millis(50);
/// Longest time for which changes wait for what regular reports, which are sent in any case, have
/// taken of the link.
const MAX_LINK_DEBT: Duration = Duration::from_millis(500);

/// A token bucket of datagrams, and what reports may take of the link.
///
/// Immediate reports keep the peers' view about as old as the network delay. The budget bounds
/// their cost when there are many gateways or many changes, or when reports are large; the view is
/// then as old as the regular reports.
#[derive(Debug)]
pub struct SendBudget {
    /// Invariant: at most [`BURST_REPORTS`] times the last number of peers; negative while a report
    /// that has consumed its tokens is delayed.
    tokens: f64,
    refilled_at: Instant,
    /// `None` if the link's bandwidth is not known.
    link: Option<LinkShare>,
}

/// The share of the link that reports may take.
#[derive(Debug)]
struct LinkShare {
    bytes_per_s: f64,
    /// When the share has carried all reports that were sent.
    free_at: Instant,
}

impl LinkShare {
    /// Returns when the share has room for the report of a change, `now` at the earliest.
    fn allows_at(&self, now: Instant) -> Instant {
        now + self.free_at.saturating_duration_since(now).saturating_sub(LINK_BURST)
    }
}

impl SendBudget {
    /// Creates an empty budget, refilled from `now` on, of a gateway with this link.
    pub fn new(link_bytes_per_s: Option<f64>, now: Instant) -> Self {
        let link = link_bytes_per_s
            .map(|link| LinkShare { bytes_per_s: (link * LINK_FRACTION).max(1.0), free_at: now });
        SendBudget { tokens: 0.0, refilled_at: now, link }
    }

    /// Records that reports of `bytes` in all, regular ones too, were sent at `now`.
    ///
    /// Prevents reports from filling a small link, in which requests would wait behind them until
    /// their callers have left.
    pub fn record_sent(&mut self, bytes: usize, now: Instant) {
        if let Some(link) = &mut self.link {
            let duration = Duration::from_secs_f64(bytes as f64 / link.bytes_per_s);
            link.free_at = (link.free_at.max(now) + duration).min(now + MAX_LINK_DEBT);
        }
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
        let allowed_at = now + Duration::from_secs_f64(missing / DATAGRAMS_PER_S);
        let at = self.link.as_ref().map_or(allowed_at, |link| link.allows_at(now).max(allowed_at));
        if at >= due {
            return due;
        }
        // Negative until `at`, when the tokens of the datagrams sent have been refilled.
        self.tokens -= peers as f64;
        at
    }
}
