//! How long a stream takes from its room's being found to its first event.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::pooled_count::PooledCount;
use super::pooled_count::is_valid;

/// Streams needed before their mean is believed.
const MIN_STREAMS: u32 = 8;
/// The weight of one stream in the mean, once there are enough. After a restart
/// of all gateways callers come back at once and streams take a second to begin;
/// that must be forgotten in seconds by gateways that serve two streams a second
/// (with 0.05 it took twelve, in which no stream came on time). What a few
/// streams of one gateway have in common, the mean over all gateways evens out.
const MIN_SAMPLE_WEIGHT: f64 = 0.25;
/// The most of the target that a stream is taken to need.
///
/// Guards against a line in which nobody counts as able to be on time: it falls
/// back to the order of arrival, everyone waits behind those already late, and
/// becomes late in turn.
const MAX_TARGET_FRACTION: f64 = 0.5;
/// Mean deviations that are added to the mean: nine streams of ten begin
/// within that.
const DEVIATION_FACTOR: f64 = 1.6;
/// The time from placement to first event, as a mean and its mean deviation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct FirstEventTime {
    mean_s: f64,
    deviation_s: f64,
    streams: u32,
}

impl FirstEventTime {
    /// Taken while too little is known: reading a mean prompt takes 90 ms, its
    /// transfer and first tokens as long again.
    pub const DEFAULT: Duration = Duration::from_millis(300);

    /// Takes in a stream whose first event came `took` after its placement.
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

    /// What this and `other` have learned, by how many streams each stands for.
    pub fn pooled_with(&self, other: &FirstEventTime) -> FirstEventTime {
        let pool = PooledCount::new(self.streams, other.streams);
        FirstEventTime {
            mean_s: pool.mean(self.mean_s, other.mean_s),
            deviation_s: pool.mean(self.deviation_s, other.deviation_s),
            streams: pool.samples,
        }
    }

    /// False for what no gateway can have learned.
    pub fn is_valid(&self) -> bool {
        [self.mean_s, self.deviation_s].into_iter().all(is_valid)
    }

    /// How long after its caller's first try a stream may find its room and
    /// still begin within `target`.
    pub fn max_placement_delay(&self, target: Duration) -> Duration {
        target.saturating_sub(self.p90().min(target.mul_f64(MAX_TARGET_FRACTION)))
    }

    /// Within this nine streams of ten have begun.
    pub fn p90(&self) -> Duration {
        if self.streams < MIN_STREAMS {
            return Self::DEFAULT;
        }
        Duration::from_secs_f64(self.mean_s + self.deviation_s * DEVIATION_FACTOR)
    }
}
