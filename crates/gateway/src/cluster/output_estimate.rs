//! How long an answer will be, from the caller's estimate and from answers
//! of the same service so far.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::pooled_count::PooledCount;
use super::pooled_count::is_valid;

/// Answers needed before their length is believed.
const MIN_RESPONSES: u32 = 6;
/// The weight of one answer in the average, once there are enough.
const MIN_SAMPLE_WEIGHT: f64 = 0.05;
/// The part of the caller's estimate, the rest being the usual length, both
/// as logarithms. Estimates are off by about as much as lengths differ (both
/// 0.45 in the logarithm over 2,471 answers), so each counts half.
const CALLER_ESTIMATE_WEIGHT: f64 = 0.5;
/// The mean of what is left unknown (0.34 in the logarithm) lies this much
/// above its median.
const MEAN_TO_MEDIAN_RATIO: f64 = 1.07;

/// The usual length of a service's answers.
///
/// Guards against engines that run out of memory because several answers
/// outgrow their estimates at once: a request is then pushed out and its
/// prompt read again. Both together are off by 1,120 tokens on the mean (3,370
/// long), the caller's estimate alone by 1,420.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct OutputEstimate {
    ln_mean: f64,
    /// Seconds a token takes, from the first event on.
    token_s: f64,
    answers: u32,
}

impl OutputEstimate {
    /// Takes in the length of a whole answer, in tokens, and how long it took
    /// from its first event on.
    pub fn record(&mut self, tokens: u32, took: Duration) {
        let ln = f64::from(tokens.max(1)).ln();
        self.answers = self.answers.saturating_add(1);
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.answers));
        self.ln_mean += (ln - self.ln_mean) * weight;
        let token_s = took.as_secs_f64() / f64::from(tokens.max(1));
        self.token_s += (token_s - self.token_s) * weight;
    }

    /// What this and `other` have learned, by how many answers each stands for.
    pub fn pooled_with(&self, other: &OutputEstimate) -> OutputEstimate {
        let pool = PooledCount::new(self.answers, other.answers);
        OutputEstimate {
            ln_mean: pool.mean(self.ln_mean, other.ln_mean),
            token_s: pool.mean(self.token_s, other.token_s),
            answers: pool.samples,
        }
    }

    /// False for what no gateway can have learned.
    pub fn is_valid(&self) -> bool {
        [self.ln_mean, self.token_s].into_iter().all(is_valid)
    }

    /// How long an answer of `tokens` takes from its first event on; zero
    /// while too little is known.
    pub fn generation_time(&self, tokens: u32) -> Duration {
        if self.answers < MIN_RESPONSES {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(self.token_s * f64::from(tokens))
    }

    /// The tokens expected of an answer that its caller takes to have
    /// `estimate`.
    pub fn expected_tokens(&self, estimate: Option<u32>) -> Option<u32> {
        if self.answers < MIN_RESPONSES {
            return estimate;
        }
        let usual = self.ln_mean;
        let ln = estimate.map_or(usual, |estimate| {
            CALLER_ESTIMATE_WEIGHT * f64::from(estimate.max(1)).ln()
                + (1.0 - CALLER_ESTIMATE_WEIGHT) * usual
        });
        Some((ln.exp() * MEAN_TO_MEDIAN_RATIO) as u32)
    }
}
