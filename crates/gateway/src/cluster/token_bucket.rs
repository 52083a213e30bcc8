//! A token bucket whose rate may change.

use std::time::Duration;
use std::time::Instant;

/// Capacity beyond the first token, as time at the current rate.
const BURST_TIME: Duration = Duration::from_millis(100);

/// A token bucket that starts empty.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    /// Invariant: between 0 and [`capacity`] of `rate`.
    tokens: f64,
    /// Tokens per second.
    rate: f64,
    updated_at: Instant,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub fn new(rate: f64, now: Instant) -> Self {
        TokenBucket { tokens: 0.0, rate, updated_at: now }
    }

    /// Sets the rate from `now` on. The time since the last update is credited at the lower
    /// of the old and the new rate.
    pub fn set_rate(&mut self, rate: f64, now: Instant) {
        self.rate = self.rate.min(rate);
        self.tokens = self.tokens_at(now).min(capacity(rate));
        self.rate = rate;
        self.updated_at = now;
    }

    /// Returns true if a token is available.
    pub fn has_token(&self, now: Instant) -> bool {
        self.tokens_at(now) >= 1.0
    }

    /// Takes a token. Returns false if none is available.
    pub fn take(&mut self, now: Instant) -> bool {
        if !self.has_token(now) {
            return false;
        }
        self.tokens = self.tokens_at(now) - 1.0;
        self.updated_at = now;
        true
    }

    /// Returns when the next token is available; `None` when the rate is zero and none is left.
    pub fn next_token_at(&self, now: Instant) -> Option<Instant> {
        let missing = 1.0 - self.tokens_at(now);
        if missing <= 0.0 {
            return Some(now);
        }
        (self.rate > 0.0).then(|| now + Duration::from_secs_f64(missing / self.rate))
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        (self.tokens + self.rate * elapsed).min(capacity(self.rate))
    }
}

/// Returns the maximum number of tokens held at `rate`.
fn capacity(rate: f64) -> f64 {
    1.0 + rate * BURST_TIME.as_secs_f64()
}
