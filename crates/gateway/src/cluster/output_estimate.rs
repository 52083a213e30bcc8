//! Estimates the length of a response from the caller's estimate and from earlier responses of the
//! same service.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::pooled_count::PooledCount;
use super::pooled_count::is_valid;

/// Minimum number of responses before their length is used.
const MIN_RESPONSES: u32 = 6;
/// Minimum weight of a new response in the mean.
const MIN_SAMPLE_WEIGHT: f64 = 0.05;
/// Weight of the caller's estimate, the rest being the typical length, both as logarithms. Each
/// counts half because estimates deviate about as much as lengths do: both by 0.45 in the logarithm
/// over 2,471 responses.
const CALLER_ESTIMATE_WEIGHT: f64 = 0.5;
/// Ratio of the mean to the median of the remaining error, which is 0.34 in the logarithm.
const MEAN_TO_MEDIAN_RATIO: f64 = 1.07;

/// Typical length of a service's responses.
///
/// Prevents engines from running out of memory because several responses outgrow their estimates at
/// once: an engine then preempts a request and prefills its prompt again. The mean error of both
/// estimates combined is 1,120 tokens, that of the caller's estimate alone 1,420; the mean length
/// is 3,370 tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct OutputEstimate {
    ln_mean: f64,
    /// Seconds per token, counted from the first event.
    token_s: f64,
    answers: u32,
}

impl OutputEstimate {
    /// Records a completed response: its length in tokens and how long it took from its first
    /// event.
    pub fn record(&mut self, tokens: u32, took: Duration) {
        let ln = f64::from(tokens.max(1)).ln();
        self.answers = self.answers.saturating_add(1);
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.answers));
        self.ln_mean += (ln - self.ln_mean) * weight;
        let token_s = took.as_secs_f64() / f64::from(tokens.max(1));
        self.token_s += (token_s - self.token_s) * weight;
    }

    /// Returns the pooled estimates of this and `other`, weighted by their numbers of responses.
    pub fn pooled_with(&self, other: &OutputEstimate) -> OutputEstimate {
        let pool = PooledCount::new(self.answers, other.answers);
        OutputEstimate {
            ln_mean: pool.mean(self.ln_mean, other.ln_mean),
            token_s: pool.mean(self.token_s, other.token_s),
            answers: pool.samples,
        }
    }

    /// Returns false for values that no gateway can have estimated.
    pub fn is_valid(&self) -> bool {
        [self.ln_mean, self.token_s].into_iter().all(is_valid)
    }

    /// Returns how long a response of `tokens` takes from its first event; zero while there are too
    /// few samples.
    pub fn generation_time(&self, tokens: u32) -> Duration {
        if self.answers < MIN_RESPONSES {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(self.token_s * f64::from(tokens))
    }

    /// Returns the expected length in tokens of a response for which the caller estimates
    /// `estimate`.
    pub fn expected_tokens(&self, estimate: Option<u32>) -> Option<u32> {
        if self.answers < MIN_RESPONSES {
            return estimate;
        }
        let typical_ln = self.ln_mean;
        let ln = estimate.map_or(typical_ln, |estimate| {
            CALLER_ESTIMATE_WEIGHT * f64::from(estimate.max(1)).ln()
                + (1.0 - CALLER_ESTIMATE_WEIGHT) * typical_ln
        });
        Some((ln.exp() * MEAN_TO_MEDIAN_RATIO) as u32)
    }
}
