//! What a gateway sees of the others when it gives out a quota.

use std::time::Duration;

use crate::model::QuotaLimit;

/// The part of what may be exceeded that is for gateways not heard; the rest is for
/// starts and late reports.
const SILENT_PEERS_FRACTION: f64 = 0.55;
/// The part of what may be exceeded that is given out knowingly.
const GRANTED_FRACTION: f64 = 0.4;
/// The part of what may be exceeded that a gateway has at its start, when it knows
/// nothing of what was charged before: so that several starts of all gateways stay
/// within one window's bound.
const START_FRACTION: f64 = 0.15;

/// The gateways heard, and the bound on what may be exceeded.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaView {
    /// Other gateways heard.
    pub live_peers: usize,
    /// Gateways registered, this one included.
    pub members: usize,
    /// How old what others tell is at most, while all is well.
    pub report_age: Duration,
    /// For how long no other gateway was heard, and the age of reports at least:
    /// what this one charged since, the others may not know.
    pub since_last_report: Duration,
    /// The window over which the bound holds.
    pub window: Duration,
    /// The part by which a quota may be exceeded in the window.
    pub overage: f64,
    /// Units besides.
    pub slack: f64,
}

impl QuotaView {
    /// The part of all gateways that this one and those it hears are.
    pub fn fraction(&self) -> f64 {
        let reporting = self.live_peers + 1;
        reporting as f64 / self.members.max(reporting) as f64
    }

    /// Units that this gateway and those it hears may give out in a window, where
    /// callers ask for `asked_unheard` until reports tell of it.
    ///
    /// Guards against gateways that do not hear each other and give out the whole
    /// quota each: few give out their own part; most give out the whole, and of what
    /// may be exceeded what those that they do not hear may not use up. Some of that
    /// is given out knowingly, so that what gateways do not know costs nobody who is
    /// about at the limit.
    pub fn grantable(&self, limit: &QuotaLimit, unreported_demand: f64) -> f64 {
        let window_limit = self.window_limit(limit);
        let fraction = self.fraction();
        if fraction <= 0.5 {
            return window_limit * fraction;
        }
        let max_overage = self.max_overage(limit);
        let granted_overage = (max_overage * GRANTED_FRACTION - unreported_demand).max(0.0);
        let silent_peers_share = window_limit * (1.0 - fraction);
        window_limit + granted_overage.min(max_overage * SILENT_PEERS_FRACTION - silent_peers_share)
    }

    /// What a gateway may give out at its start. A restart is no new burst.
    pub fn initial_units(&self, limit: &QuotaLimit) -> f64 {
        START_FRACTION * self.max_overage(limit)
    }

    /// Units that `limit` allows in a window.
    pub fn window_limit(&self, limit: &QuotaLimit) -> f64 {
        limit.rate * self.window.as_secs_f64() + limit.burst
    }

    /// Units by which `limit` may be exceeded in a window.
    pub fn max_overage(&self, limit: &QuotaLimit) -> f64 {
        self.window_limit(limit) * self.overage + self.slack
    }
}
