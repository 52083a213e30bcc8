//! What a gateway sees of the others when it gives out a quota.

use std::time::Duration;

use crate::model::QuotaLimit;

/// The part of what may be exceeded that is for gateways not heard; the rest is for
/// starts and late reports.
const UNHEARD_PART: f64 = 0.55;
/// The part of what may be exceeded that is given out knowingly.
const TOLERANCE_PART: f64 = 0.4;
/// The part of what may be exceeded that a gateway has at its start, when it knows
/// nothing of what was charged before: so that several starts of all gateways stay
/// within one window's bound.
const START_PART: f64 = 0.15;

/// The gateways heard, and the bound on what may be exceeded.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaView {
    /// Other gateways heard.
    pub heard: usize,
    /// Gateways registered, this one included.
    pub members: usize,
    /// How old what others tell is at most, while all is well.
    pub report_age: Duration,
    /// For how long no other gateway was heard, and the age of reports at least:
    /// what this one charged since, the others may not know.
    pub unheard_for: Duration,
    /// The window over which the bound holds.
    pub window: Duration,
    /// The part by which a quota may be exceeded in the window.
    pub overage: f64,
    /// Units besides.
    pub slack: f64,
}

impl QuotaView {
    /// The part of all gateways that this one and those it hears are.
    pub fn part(&self) -> f64 {
        let together = self.heard + 1;
        together as f64 / self.members.max(together) as f64
    }

    /// Units that this gateway and those it hears may give out in a window, where
    /// callers ask for `asked_unheard` until reports tell of it.
    ///
    /// Guards against gateways that do not hear each other and give out the whole
    /// quota each: few give out their own part; most give out the whole, and of what
    /// may be exceeded what those that they do not hear may not use up. Some of that
    /// is given out knowingly, so that what gateways do not know costs nobody who is
    /// about at the limit.
    pub fn given_out(&self, limit: &QuotaLimit, asked_unheard: f64) -> f64 {
        let allowance = self.allowance(limit);
        let part = self.part();
        if part <= 0.5 {
            return allowance * part;
        }
        let excess = self.excess(limit);
        let knowingly = (excess * TOLERANCE_PART - asked_unheard).max(0.0);
        let unheard = allowance * (1.0 - part);
        allowance + knowingly.min(excess * UNHEARD_PART - unheard)
    }

    /// What a gateway may give out at its start. A restart is no new burst.
    pub fn start_level(&self, limit: &QuotaLimit) -> f64 {
        START_PART * self.excess(limit)
    }

    /// Units that `limit` allows in a window.
    pub fn allowance(&self, limit: &QuotaLimit) -> f64 {
        limit.rate * self.window.as_secs_f64() + limit.burst
    }

    /// Units by which `limit` may be exceeded in a window.
    pub fn excess(&self, limit: &QuotaLimit) -> f64 {
        self.allowance(limit) * self.overage + self.slack
    }
}
