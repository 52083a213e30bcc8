//! How many of a service's engines should read prompts.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::PrefillRate;
use super::pooled_count::PooledCount;
use super::pooled_count::is_reliable;
use crate::model::EngineSpec;

/// Streams needed before their mean is believed.
const MIN_STREAMS: u32 = 8;
/// The weight of one stream in the mean, once there are enough.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Readers are kept at this share of their time when engines that generate are
/// full. What they do not read in time, the engines that generate read for
/// themselves: without that, readers kept at 0.8 queued for seconds and 0.5 was
/// the most that held (callers got 0.634 and 0.642 of the value of what they
/// asked for); with it 0.8 gives 0.663 and 0.5 0.655, over twenty runs each with
/// bursts and faults.
const TARGET_PREFILL_UTILISATION: f64 = 0.8;

/// What a mean stream takes of engines' time.
///
/// Guards against engines taken from the stage that will be the narrow one.
/// How busy readers are says little: they are idle before a burst, and a prompt
/// in its engine's constant steps looks like one being read. Judged by that,
/// two of five readers were ordered to generate at the start of a burst, prompts
/// queued for seconds, and callers got 0.60 of the value of what they asked for;
/// with one ordered 0.69.
/// What a stream takes of either stage does not depend on how many come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct StageBalance {
    pub reading: PrefillRate,
    /// Tokens of a mean prompt.
    prompt_tokens: f64,
    /// Seconds that a mean stream stays at an engine that generates.
    stay_s: f64,
    /// The same, times the tokens of memory it holds.
    token_s: f64,
    streams: u32,
}

impl StageBalance {
    /// Takes in a stream that ended well, `stay` after its engines were chosen.
    pub fn record_stream(&mut self, prompt_tokens: u32, made_tokens: u32, duration: Duration) {
        self.streams = self.streams.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.streams));
        let stay_s = duration.as_secs_f64();
        // Half of the answer is held on the mean over its time.
        let held = f64::from(prompt_tokens) + f64::from(made_tokens) / 2.0;
        self.prompt_tokens += (f64::from(prompt_tokens) - self.prompt_tokens) * weight;
        self.stay_s += (stay_s - self.stay_s) * weight;
        self.token_s += (held * stay_s - self.token_s) * weight;
    }

    /// What this and `other` have learned, by how many streams each stands for.
    pub fn with(&self, other: &StageBalance) -> StageBalance {
        let pool = PooledCount::new(self.streams, other.streams);
        StageBalance {
            reading: self.reading.with(&other.reading),
            prompt_tokens: pool.mean(self.prompt_tokens, other.prompt_tokens),
            stay_s: pool.mean(self.stay_s, other.stay_s),
            token_s: pool.mean(self.token_s, other.token_s),
            streams: pool.samples,
        }
    }

    /// False for what no gateway can have learned.
    pub fn is_reliable(&self) -> bool {
        let means = [self.prompt_tokens, self.stay_s, self.token_s];
        means.into_iter().all(is_reliable) && self.reading.is_reliable()
    }

    /// The engines of `engines` that should read prompts so that both stages
    /// are full at the same load; `None` while too little is known.
    pub fn target_prefill_servers(&self, engines: usize, spec: &EngineSpec) -> Option<usize> {
        if self.streams < MIN_STREAMS {
            return None;
        }
        let prefill_s = self.prompt_tokens * self.reading.millis_per_token()? / 1000.0;
        let by_memory = self.token_s / f64::from(spec.kv_tokens.max(1));
        let by_slots = self.stay_s / f64::from(spec.slots.max(1));
        let reading = prefill_s / TARGET_PREFILL_UTILISATION;
        let fraction = reading / (reading + by_memory.max(by_slots)).max(f64::MIN_POSITIVE);
        Some((fraction * engines as f64).round() as usize)
    }
}
