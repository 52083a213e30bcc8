//! Estimates how much callers request.

use std::time::Duration;
use std::time::Instant;

/// Time constant of the exponential decay.
const TIME_CONSTANT: Duration = Duration::from_millis(300);

/// Units that callers request, as an exponentially decaying sum.
#[derive(Debug)]
pub struct DemandEstimate {
    units: f64,
    decayed_at: Instant,
}

impl DemandEstimate {
    /// Creates an estimate of nothing requested before `now`.
    pub fn new(now: Instant) -> Self {
        DemandEstimate { units: 0.0, decayed_at: now }
    }

    /// Adds units that have been requested.
    pub fn add(&mut self, units: f64) {
        self.units += units;
    }

    /// Decays the sum up to `at`, which may be before the last one: then nothing changes.
    pub fn decay(&mut self, at: Instant) {
        let elapsed = at.saturating_duration_since(self.decayed_at).as_secs_f64();
        self.decayed_at = self.decayed_at.max(at);
        self.units *= (-elapsed / TIME_CONSTANT.as_secs_f64()).exp();
    }

    /// Returns the units that callers request in `span`.
    pub fn units_in(&self, span: Duration) -> f64 {
        self.units / TIME_CONSTANT.as_secs_f64() * span.as_secs_f64()
    }
}
