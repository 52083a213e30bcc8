//! A gateway's view of its peers when it grants units of a quota.

use std::time::Duration;

use crate::model::QuotaLimit;

/// Fraction of the maximum overage reserved for gateways without recent reports. The rest is for
/// starts and late reports.
const SILENT_PEERS_FRACTION: f64 = 0.55;
/// Fraction of the maximum overage that is granted deliberately.
const GRANTED_FRACTION: f64 = 0.4;
/// Fraction of the maximum overage that a gateway may grant at its start, when it does not know
/// what was charged before. It is small, so that several restarts of all gateways stay within the
/// bound of one window.
const START_FRACTION: f64 = 0.15;

/// The peers that report, and the bound on exceeding a quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaView {
    /// Number of peers with recent reports.
    pub live_peers: usize,
    /// Number of registered gateways, this one included.
    pub gateways: usize,
    /// Maximum age of what peers report, under normal conditions.
    pub report_age: Duration,
    /// Age of what peers have reported, in the mean: longer than `report_age` while reports are
    /// late, and never shorter.
    pub known_age: Duration,
    /// Time since the last report of any peer, at least `report_age`. Peers may not know what this
    /// gateway has charged since.
    pub since_last_report: Duration,
    /// The window over which the bound holds.
    pub window: Duration,
    /// Fraction by which a quota may be exceeded in the window.
    pub overage: f64,
    /// Units by which it may be exceeded in addition.
    pub slack: f64,
}

impl QuotaView {
    /// Returns this gateway and its live peers as a fraction of all registered gateways.
    pub fn fraction(&self) -> f64 {
        let reporting = self.live_peers + 1;
        reporting as f64 / self.gateways.max(reporting) as f64
    }

    /// Returns the units that this gateway and its live peers may grant in a window, where callers
    /// request `unreported_demand` units before reports include them.
    ///
    /// Prevents gateways that do not receive each other's reports from each granting the whole
    /// quota. Up to half of the gateways grant only their fraction of it. A majority grants the
    /// whole quota and that part of the overage which the gateways without reports cannot use up.
    /// Some overage is granted deliberately, so that organisations near their limit are not
    /// rejected because of charges that gateways do not know yet.
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

    /// Returns the units that a gateway may grant at its start. A restart grants no new burst.
    pub fn initial_units(&self, limit: &QuotaLimit) -> f64 {
        START_FRACTION * self.max_overage(limit)
    }

    /// Returns the units that `limit` allows in a window.
    pub fn window_limit(&self, limit: &QuotaLimit) -> f64 {
        limit.rate * self.window.as_secs_f64() + limit.burst
    }

    /// Returns the units by which `limit` may be exceeded in a window.
    pub fn max_overage(&self, limit: &QuotaLimit) -> f64 {
        self.window_limit(limit) * self.overage + self.slack
    }
}
