//! How fast prompts are read, learned from prompts that were.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::pooled_count::is_valid;

/// Prompts needed before the pace is believed.
const MIN_PROMPTS: f64 = 8.0;
/// What a prompt's weight becomes with each further one: some fifty prompts
/// are remembered, a few seconds of a busy gateway.
const DECAY_FACTOR: f64 = 0.98;
/// How strongly all of the time is put down to the tokens while prompts of one
/// length only have been seen: as a spread of a fifth of their length would.
const PROPORTIONAL_WEIGHT: f64 = 0.05;

/// The time from a prompt's sending to its being read, as a line over the
/// tokens read by then: those queued before it and its own.
///
/// The slope is what an engine can do; the rest (a round trip, the engine's own
/// steps) passes while it reads others. By the whole time alone engines looked
/// three times as busy as they were: 5,200 tokens took 200 ms on an idle engine
/// that reads 55 in a millisecond.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct PrefillRate {
    weight: f64,
    tokens: f64,
    millis: f64,
    tokens_squared: f64,
    tokens_millis: f64,
}

impl PrefillRate {
    /// Takes in a prompt that was read: `tokens` are its own and those queued
    /// before it at its sending.
    pub fn record(&mut self, tokens: u32, took: Duration) {
        let tokens = f64::from(tokens.max(1));
        let millis = took.as_secs_f64() * 1000.0;
        self.weight = self.weight * DECAY_FACTOR + 1.0;
        self.tokens = self.tokens * DECAY_FACTOR + tokens;
        self.millis = self.millis * DECAY_FACTOR + millis;
        self.tokens_squared = self.tokens_squared * DECAY_FACTOR + tokens * tokens;
        self.tokens_millis = self.tokens_millis * DECAY_FACTOR + tokens * millis;
    }

    /// What this and `other` have learned together.
    pub fn pooled_with(&self, other: &PrefillRate) -> PrefillRate {
        PrefillRate {
            weight: self.weight + other.weight,
            tokens: self.tokens + other.tokens,
            millis: self.millis + other.millis,
            tokens_squared: self.tokens_squared + other.tokens_squared,
            tokens_millis: self.tokens_millis + other.tokens_millis,
        }
    }

    /// False for what no gateway can have learned.
    pub fn is_valid(&self) -> bool {
        let values =
            [self.weight, self.tokens, self.millis, self.tokens_squared, self.tokens_millis];
        values.into_iter().all(is_valid)
    }

    /// Milliseconds of an engine's time that a token takes; `None` while too
    /// little is known.
    pub fn millis_per_token(&self) -> Option<f64> {
        if self.weight < MIN_PROMPTS {
            return None;
        }
        let (tokens, millis) = (self.tokens / self.weight, self.millis / self.weight);
        let variance = self.tokens_squared / self.weight - tokens * tokens;
        let covariance = self.tokens_millis / self.weight - tokens * millis;
        let proportional = PROPORTIONAL_WEIGHT * tokens * tokens;
        let millis_per_mean_token = millis / tokens;
        let slope = (covariance + proportional * millis_per_mean_token) / (variance + proportional);
        // Neither negative nor more than all of the time, whatever the noise.
        Some(slope.clamp(millis_per_mean_token * PROPORTIONAL_WEIGHT, millis_per_mean_token))
    }

    /// How long a prompt with `tokens` up to its end should take.
    pub fn estimate(&self, tokens: u32) -> Option<Duration> {
        let slope = self.millis_per_token()?;
        let mean = self.millis / self.weight;
        let tokens_above_mean = f64::from(tokens) - self.tokens / self.weight;
        Some(Duration::from_secs_f64((mean + tokens_above_mean * slope).max(0.0) / 1000.0))
    }
}
