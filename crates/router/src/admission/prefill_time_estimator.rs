//! How fast prefill servers read prompts, as measured from their answers.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Assumed until the first answer: nanoseconds per prompt token.
const INITIAL_ESTIMATE_NS: u64 = 20_000;
/// Prompts shorter than this take mostly what any exchange takes, and tell
/// nothing of the pace of long ones.
const MIN_TOKENS: u64 = 1024;
/// The weight of one more measurement.
const SMOOTHING_FACTOR: f64 = 0.1;

/// A moving average of nanoseconds per prompt token.
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
    /// Takes in that `tokens` (queued ahead and own) took `elapsed`, if
    /// they are enough to tell. Two
    /// measurements at once may lose one; an average bears that.
    pub fn observe(&self, tokens: u64, elapsed: Duration) {
        if tokens < MIN_TOKENS {
            return;
        }
        let measured = elapsed.as_nanos() as f64 / tokens as f64;
        let previous = self.per_token_ns.load(Ordering::Relaxed) as f64;
        let updated = previous + (measured - previous) * SMOOTHING_FACTOR;
        self.per_token_ns.store(updated as u64, Ordering::Relaxed);
    }

    /// How long `tokens` are predicted to take.
    pub fn predict(&self, tokens: u64) -> Duration {
        Duration::from_nanos(self.per_token_ns.load(Ordering::Relaxed).saturating_mul(tokens))
    }
}
