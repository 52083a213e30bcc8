//! Estimates how many of a service's engines should prefill prompts.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::PrefillRate;
use super::pooled_count::PooledCount;
use super::pooled_count::is_valid;
use crate::model::EngineSpec;

/// Minimum number of streams before their mean is used.
const MIN_STREAMS: u32 = 8;
/// Weight of one stream in the mean, once there are enough.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Target utilisation of prefill servers while decode servers are full. Decode servers prefill the
/// prompts that prefill servers do not handle in time. If they did not, prompts would queue for
/// seconds at 0.8, and 0.5 would be the highest usable value: callers get 0.634 of the value of
/// what they request at 0.8 and 0.642 at 0.5. As they do, callers get 0.663 at 0.8 and 0.655 at
/// 0.5. All figures are over twenty runs each with bursts and faults.
const TARGET_PREFILL_UTILISATION: f64 = 0.8;

/// Engine time that a mean stream takes in each stage.
///
/// Prevents engines from being taken from the stage that is about to become the bottleneck. How
/// busy prefill servers are says little: they are idle before a burst, and a prompt in those steps
/// of its engine that take constant time looks like one being prefilled. Judged by that, two of
/// five prefill servers are ordered to decode at the start of a burst, prompts queue for seconds,
/// and callers get 0.60 of the value of what they request, against 0.69 with one ordered. What a
/// stream takes of either stage does not depend on how many arrive.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct StageBalance {
    pub reading: PrefillRate,
    /// Mean number of tokens per prompt.
    prompt_tokens: f64,
    /// Mean time that a stream stays at a decode server, in seconds.
    stay_s: f64,
    /// Mean of that time multiplied by the KV cache tokens that the stream holds.
    token_s: f64,
    streams: u32,
}

impl StageBalance {
    /// Records a stream that ended successfully, `duration` after its engines were chosen.
    pub fn record_stream(&mut self, prompt_tokens: u32, made_tokens: u32, duration: Duration) {
        self.streams = self.streams.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.streams));
        let stay_s = duration.as_secs_f64();
        // On average over its duration, a stream holds half of its response.
        let held = f64::from(prompt_tokens) + f64::from(made_tokens) / 2.0;
        self.prompt_tokens += (f64::from(prompt_tokens) - self.prompt_tokens) * weight;
        self.stay_s += (stay_s - self.stay_s) * weight;
        self.token_s += (held * stay_s - self.token_s) * weight;
    }

    /// Returns the pooled estimates of this and `other`, weighted by their numbers of streams.
    pub fn pooled_with(&self, other: &StageBalance) -> StageBalance {
        let pool = PooledCount::new(self.streams, other.streams);
        StageBalance {
            reading: self.reading.pooled_with(&other.reading),
            prompt_tokens: pool.mean(self.prompt_tokens, other.prompt_tokens),
            stay_s: pool.mean(self.stay_s, other.stay_s),
            token_s: pool.mean(self.token_s, other.token_s),
            streams: pool.samples,
        }
    }

    /// Returns false for values that no gateway can have estimated.
    pub fn is_valid(&self) -> bool {
        let means = [self.prompt_tokens, self.stay_s, self.token_s];
        means.into_iter().all(is_valid) && self.reading.is_valid()
    }

    /// Returns how many of `engines` should prefill prompts so that both stages are full at the
    /// same load; `None` while there are too few samples.
    pub fn target_prefill_servers(&self, engines: usize, spec: &EngineSpec) -> Option<usize> {
        if self.streams < MIN_STREAMS {
            return None;
        }
        let prefill_s = self.prompt_tokens * self.reading.millis_per_token()? / 1000.0;
        let by_memory = self.token_s / f64::from(spec.kv_tokens.max(1));
        let by_slots = self.stay_s / f64::from(spec.slots.max(1));
        let by_prefill = prefill_s / TARGET_PREFILL_UTILISATION;
        let fraction = by_prefill / (by_prefill + by_memory.max(by_slots)).max(f64::MIN_POSITIVE);
        Some((fraction * engines as f64).round() as usize)
    }
}
