//! Estimates how long prefill servers take per prompt token, from their response times.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Nanoseconds per prompt token assumed before the first measurement.
const INITIAL_ESTIMATE_NS: u64 = 20_000;
/// Shorter prompts are ignored: their time is mostly the fixed cost of an exchange and says
/// nothing about long prompts.
const MIN_TOKENS: u64 = 1024;
/// The weight of a new measurement in the moving average.
const SMOOTHING_FACTOR: f64 = 0.1;

/// An exponential moving average of nanoseconds per prompt token.
#[derive(Debug)]
pub struct PrefillTimeEstimator {
    per_token_ns: AtomicU64,
}

impl Default for PrefillTimeEstimator {
    fn default() -> Self {
        PrefillTimeEstimator { per_token_ns: AtomicU64::new(INITIAL_ESTIMATE_NS) }
    }
}

impl PrefillTimeEstimator {
    /// Records that `tokens` (those queued ahead plus the request's own) took `elapsed`, unless
    /// there are fewer than `MIN_TOKENS`. Concurrent calls may lose a measurement, which is
    /// acceptable for an average.
    pub fn observe(&self, tokens: u64, elapsed: Duration) {
        if tokens < MIN_TOKENS {
            return;
        }
        let measured = elapsed.as_nanos() as f64 / tokens as f64;
        let previous = self.per_token_ns.load(Ordering::Relaxed) as f64;
        let updated = previous + (measured - previous) * SMOOTHING_FACTOR;
        self.per_token_ns.store(updated as u64, Ordering::Relaxed);
    }

    /// Returns how long `tokens` are predicted to take.
    pub fn predict(&self, tokens: u64) -> Duration {
        Duration::from_nanos(self.per_token_ns.load(Ordering::Relaxed).saturating_mul(tokens))
    }
}
