//! What a gateway sees of the others when it gives out a quota.

use std::time::Duration;

use crate::model::QuotaLimit;

/// The part of the overage that gateways use who hear most others, for those that
/// they do not hear.
const OVERAGE_PART: f64 = 0.8;
/// The part of what may be exceeded that is given out knowingly.
const TOLERANCE_PART: f64 = 0.5;
/// The part of what may be exceeded that a gateway has at its start, when it knows
/// nothing of what was charged before: so that several starts of all gateways stay
/// within one window's bound.
const START_PART: f64 = 0.25;

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
    /// The part of each quota that this gateway, with those it hears, may give out.
    ///
    /// Guards against gateways that do not hear each other and give out the whole
    /// quota each: few give out their own part, most give out the whole while the
    /// others' part is within the overage.
    pub fn part(&self) -> f64 {
        let together = self.heard + 1;
        let part = together as f64 / self.members.max(together) as f64;
        if part < 0.5 { part } else { (part + self.overage * OVERAGE_PART).min(1.0) }
    }

    /// What a gateway may give out at its start. A restart is no new burst.
    pub fn start_level(&self, limit: &QuotaLimit) -> f64 {
        START_PART * self.excess(limit)
    }

    /// Units that `limit` allows in a window.
    pub fn allowance(&self, limit: &QuotaLimit) -> f64 {
        limit.rate * self.window.as_secs_f64() + limit.burst
    }

    /// Units beyond the allowance that may be given out knowingly; the others make up
    /// for starts, for gateways not heard and for late reports.
    pub fn tolerance(&self, limit: &QuotaLimit) -> f64 {
        TOLERANCE_PART * self.excess(limit)
    }

    /// Units by which `limit` may be exceeded in a window.
    pub fn excess(&self, limit: &QuotaLimit) -> f64 {
        self.allowance(limit) * self.overage + self.slack
    }
}
