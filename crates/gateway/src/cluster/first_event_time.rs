//! Estimates how long a stream takes from its placement to its first event.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::pooled_count::PooledCount;
use super::pooled_count::is_valid;

/// Minimum number of streams before their mean is used.
const MIN_STREAMS: u32 = 8;
/// Minimum weight of a new stream in the mean.
///
/// When all gateways restart, callers return at once and streams take a second to start. Gateways
/// that serve two streams a second must discount those streams within seconds: with 0.05 it takes
/// 12 s, during which no stream is within its target. Noise of a few streams at one gateway is
/// evened out by pooling the means of all gateways.
const MIN_SAMPLE_WEIGHT: f64 = 0.25;
/// Maximum fraction of the latency target that a stream is assumed to need for its first event.
///
/// Prevents a queue in which no request counts as able to be within its target: it would fall back
/// to first-come-first-served, where new requests wait behind those past their target and then
/// miss theirs too.
const MAX_TARGET_FRACTION: f64 = 0.5;
/// Number of mean deviations added to the mean, so that nine of ten streams start within the sum.
const DEVIATION_FACTOR: f64 = 1.6;

/// Mean and mean absolute deviation of the time from placement to first event.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct FirstEventTime {
    mean_s: f64,
    deviation_s: f64,
    streams: u32,
}

impl FirstEventTime {
    /// Used until there are enough samples: an average prompt takes 90 ms to prefill, its transfer
    /// and first tokens as long again.
    pub const DEFAULT: Duration = Duration::from_millis(300);

    /// Records a stream whose first event came `took` after its placement.
    pub fn record(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        self.streams = self.streams.saturating_add(1);
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(self.streams));
        let deviation = (took - self.mean_s).abs();
        if self.streams > 1 {
            self.deviation_s += (deviation - self.deviation_s) * weight;
        }
        self.mean_s += (took - self.mean_s) * weight;
    }

    /// Returns the pooled estimates of this and `other`, weighted by their numbers of streams.
    pub fn pooled_with(&self, other: &FirstEventTime) -> FirstEventTime {
        let pool = PooledCount::new(self.streams, other.streams);
        FirstEventTime {
            mean_s: pool.mean(self.mean_s, other.mean_s),
            deviation_s: pool.mean(self.deviation_s, other.deviation_s),
            streams: pool.samples,
        }
    }

    /// Returns false for values that no gateway can have estimated.
    pub fn is_valid(&self) -> bool {
        [self.mean_s, self.deviation_s].into_iter().all(is_valid)
    }

    /// Returns how long after its caller's first request a stream may be placed and still start
    /// within `target`.
    pub fn max_placement_delay(&self, target: Duration) -> Duration {
        target.saturating_sub(self.p90().min(target.mul_f64(MAX_TARGET_FRACTION)))
    }

    /// Returns the time within which nine of ten streams have started.
    pub fn p90(&self) -> Duration {
        if self.streams < MIN_STREAMS {
            return Self::DEFAULT;
        }
        Duration::from_secs_f64(self.mean_s + self.deviation_s * DEVIATION_FACTOR)
    }
}
