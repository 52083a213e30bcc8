//! Estimates how fast engines prefill prompts, from earlier prompts.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::pooled_count::is_valid;

/// Minimum weight of samples before the rate is used.
const MIN_PROMPTS: f64 = 8.0;
/// Factor by which each new prompt reduces the weight of earlier ones: the estimate covers about 50
/// prompts, a few seconds of a busy gateway.
const DECAY_FACTOR: f64 = 0.98;
/// Weight of the assumption that all of the time is proportional to the tokens, for when all
/// prompts have the same length: equal to the weight of lengths that spread by a fifth.
const PROPORTIONAL_WEIGHT: f64 = 0.05;

/// Linear regression of the time from sending a prompt to its prefill's end over the number of
/// tokens prefilled by then: the prompt's own and those queued before it.
///
/// The slope is the engine's rate. The remainder (a round trip, the engine's own steps) overlaps
/// with other prompts: counting the whole time would make engines look three times as busy as they
/// are. An idle engine that prefills 55 tokens per millisecond takes 200 ms for 5,200 tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct PrefillRate {
    weight: f64,
    tokens: f64,
    millis: f64,
    tokens_squared: f64,
    tokens_millis: f64,
}

impl PrefillRate {
    /// Records a prefilled prompt; `tokens` are its own and those queued before it when it was
    /// sent.
    pub fn record(&mut self, tokens: u32, took: Duration) {
        let tokens = f64::from(tokens.max(1));
        let millis = took.as_secs_f64() * 1000.0;
        self.weight = self.weight * DECAY_FACTOR + 1.0;
        self.tokens = self.tokens * DECAY_FACTOR + tokens;
        self.millis = self.millis * DECAY_FACTOR + millis;
        self.tokens_squared = self.tokens_squared * DECAY_FACTOR + tokens * tokens;
        self.tokens_millis = self.tokens_millis * DECAY_FACTOR + tokens * millis;
    }

    /// Returns the pooled estimates of this and `other`.
    pub fn pooled_with(&self, other: &PrefillRate) -> PrefillRate {
        PrefillRate {
            weight: self.weight + other.weight,
            tokens: self.tokens + other.tokens,
            millis: self.millis + other.millis,
            tokens_squared: self.tokens_squared + other.tokens_squared,
            tokens_millis: self.tokens_millis + other.tokens_millis,
        }
    }

    /// Returns false for values that no gateway can have estimated.
    pub fn is_valid(&self) -> bool {
        let values =
            [self.weight, self.tokens, self.millis, self.tokens_squared, self.tokens_millis];
        values.into_iter().all(is_valid)
    }

    /// Returns the milliseconds of engine time per token; `None` while there are too few samples.
    pub fn millis_per_token(&self) -> Option<f64> {
        if self.weight < MIN_PROMPTS {
            return None;
        }
        let (tokens, millis) = (self.tokens / self.weight, self.millis / self.weight);
        let variance = self.tokens_squared / self.weight - tokens * tokens;
        let covariance = self.tokens_millis / self.weight - tokens * millis;
        let proportional = PROPORTIONAL_WEIGHT * tokens * tokens;
        let mean_millis_per_token = millis / tokens;
        let slope = (covariance + proportional * mean_millis_per_token) / (variance + proportional);
        // Whatever the noise, the slope is neither negative nor more than all of the time.
        Some(slope.clamp(mean_millis_per_token * PROPORTIONAL_WEIGHT, mean_millis_per_token))
    }

    /// Returns how long a prompt should take when `tokens` are to be prefilled up to its end.
    pub fn estimate(&self, tokens: u32) -> Option<Duration> {
        let slope = self.millis_per_token()?;
        let mean = self.millis / self.weight;
        let tokens_above_mean = f64::from(tokens) - self.tokens / self.weight;
        Some(Duration::from_secs_f64((mean + tokens_above_mean * slope).max(0.0) / 1000.0))
    }
}
