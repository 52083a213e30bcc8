//! The preset: the configuration that operators edit and activate.
//!
//! A preset is written in TOML (see `presets/*.toml`), checked by [`Preset::from_toml`] and stored
//! as JSON in the platform's `presets` table. Unknown fields are rejected by name, so that a typo
//! cannot silently leave a default in effect.

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// Upper limits that prevent presets with values no engine can meet.
const MAX_TOKENS_CEILING: u32 = 32_768;
const MAX_IN_FLIGHT_CEILING: u32 = 100_000;
const DURATION_MS_CEILING: u64 = 60_000;

/// Latency targets of one service class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassTargets {
    /// Target time to the first token, in milliseconds.
    pub ttft_ms: u64,
    /// Target time between tokens, in milliseconds.
    pub tpot_ms: u64,
}

/// Settings for how the daemons admit, classify and place requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Preset {
    /// The purpose of the preset in one line, for operators.
    pub description: String,
    /// Tokens generated if the caller gives no `max_tokens`.
    pub default_max_tokens: u32,
    /// Prompts of at most this many tokens are urgent if the caller names no class.
    pub urgent_prompt_tokens: u32,
    /// Requests one daemon serves at once. Further ones are rejected with `Retry-After`.
    pub max_in_flight: u32,
    /// Slots of each server reserved for urgent requests.
    #[serde(default = "default_urgent_reserve_slots")]
    pub urgent_reserve_slots: u32,
    /// Prompt tokens queued on a prefill server above which standard requests wait at the daemon
    /// instead.
    #[serde(default = "default_prefill_queue_tokens")]
    pub prefill_queue_tokens: u32,
    /// Milliseconds that an engine keeps a prefix in its cache after its last use.
    #[serde(default = "default_prefix_keep_ms")]
    pub prefix_keep_ms: u64,
    /// The weight of recomputing a shared prefix against waiting. At 1 it counts as the time it
    /// takes; higher values avoid wasted prefill at the cost of latency.
    #[serde(default = "default_recompute_weight")]
    pub recompute_weight: f64,
    /// Milliseconds after which a request is ended, whatever its stage.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Milliseconds that a prefill server keeps a KV cache for the decode server.
    pub prefill_keep_ms: u64,
    /// Maintenance mode: new requests are rejected with `Retry-After`, and requests in flight
    /// finish.
    #[serde(default)]
    pub refuse_new_work: bool,
    pub urgent: ClassTargets,
    pub standard: ClassTargets,
}

fn default_urgent_reserve_slots() -> u32 {
    2
}

fn default_prefill_queue_tokens() -> u32 {
    16_000
}

fn default_prefix_keep_ms() -> u64 {
    800
}

fn default_recompute_weight() -> f64 {
    10.0
}

fn default_deadline_ms() -> u64 {
    120_000
}

/// The reason a preset was rejected.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum PresetError {
    /// The text is not valid TOML or JSON with the fields of a preset.
    #[snafu(display("preset does not parse: {message}"))]
    Parse { message: String },
    /// A field holds a value outside its range.
    #[snafu(display("preset field `{field}` {problem}"))]
    Field { field: &'static str, problem: String },
}

impl Preset {
    /// Parses and validates a preset written in TOML.
    pub fn from_toml(text: &str) -> Result<Preset, PresetError> {
        let preset: Preset = toml::from_str(text)
            .map_err(|error| PresetError::Parse { message: error.to_string() })?;
        preset.validate()?;
        Ok(preset)
    }

    /// Parses and validates a preset stored as JSON in the table.
    pub fn from_json(value: &serde_json::Value) -> Result<Preset, PresetError> {
        let preset: Preset = serde_json::from_value(value.clone())
            .map_err(|error| PresetError::Parse { message: error.to_string() })?;
        preset.validate()?;
        Ok(preset)
    }

    /// Checks the range of every field.
    pub fn validate(&self) -> Result<(), PresetError> {
        in_range(
            "default_max_tokens",
            u64::from(self.default_max_tokens),
            1,
            u64::from(MAX_TOKENS_CEILING),
        )?;
        in_range(
            "max_in_flight",
            u64::from(self.max_in_flight),
            1,
            u64::from(MAX_IN_FLIGHT_CEILING),
        )?;
        in_range("prefill_keep_ms", self.prefill_keep_ms, 50, DURATION_MS_CEILING)?;
        in_range("urgent_reserve_slots", u64::from(self.urgent_reserve_slots), 0, 1000)?;
        in_range("prefill_queue_tokens", u64::from(self.prefill_queue_tokens), 1, 100_000_000)?;
        in_range("prefix_keep_ms", self.prefix_keep_ms, 0, DURATION_MS_CEILING)?;
        in_range("deadline_ms", self.deadline_ms, 100, 60 * DURATION_MS_CEILING)?;
        if !(0.0..=100.0).contains(&self.recompute_weight) {
            let problem = format!("is {}, must be from 0 to 100", self.recompute_weight);
            return Err(PresetError::Field { field: "recompute_weight", problem });
        }
        in_range("urgent.ttft_ms", self.urgent.ttft_ms, 1, DURATION_MS_CEILING)?;
        in_range("urgent.tpot_ms", self.urgent.tpot_ms, 1, DURATION_MS_CEILING)?;
        in_range("standard.ttft_ms", self.standard.ttft_ms, 1, 10 * DURATION_MS_CEILING)?;
        in_range("standard.tpot_ms", self.standard.tpot_ms, 1, DURATION_MS_CEILING)?;
        Ok(())
    }

    /// Returns the latency targets of the class `priority`.
    pub fn targets(&self, priority: umberglade_wire::engine::Priority) -> &ClassTargets {
        match priority {
            umberglade_wire::engine::Priority::Urgent => &self.urgent,
            umberglade_wire::engine::Priority::Standard => &self.standard,
        }
    }
}

fn in_range(field: &'static str, value: u64, low: u64, high: u64) -> Result<(), PresetError> {
    if value < low || value > high {
        return Err(PresetError::Field {
            field,
            problem: format!("is {value}, must be from {low} to {high}"),
        });
    }
    Ok(())
}
