//! The preset format: what operators edit and activate.
//!
//! A preset is written in TOML (see `presets/*.toml`), checked by
//! [`Preset::from_toml`] and stored in the platform's `presets` table as
//! JSON. Unknown fields are refused by name, so a typo cannot silently
//! leave a default in force.

use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// Limits that keep a preset from naming figures no engine can meet.
const MAX_TOKENS_CEILING: u32 = 32_768;
const MAX_IN_FLIGHT_CEILING: u32 = 100_000;
const KEEP_MS_CEILING: u64 = 60_000;

/// Latency targets of one service class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassTargets {
    /// Milliseconds to the first token.
    pub ttft_ms: u64,
    /// Milliseconds between tokens.
    pub tpot_ms: u64,
}

/// One preset: how the daemons admit, classify and place requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Preset {
    /// A line for operators: what this preset is for.
    pub description: String,
    /// Tokens generated when the caller gives no `max_tokens`.
    pub default_max_tokens: u32,
    /// Prompts of at most this many tokens are urgent when the caller
    /// names no class.
    pub urgent_prompt_tokens: u32,
    /// Requests one daemon serves at once; more are refused with
    /// `Retry-After`.
    pub max_in_flight: u32,
    /// Slots of each server that standard work leaves free for urgent work.
    #[serde(default = "default_urgent_reserve_slots")]
    pub urgent_reserve_slots: u32,
    /// Prompt tokens waiting at a prefill server above which standard work
    /// waits at the daemon instead.
    #[serde(default = "default_prefill_queue_tokens")]
    pub prefill_queue_tokens: u32,
    /// Milliseconds after its last use that an engine still has a prefix
    /// in its cache.
    #[serde(default = "default_prefix_keep_ms")]
    pub prefix_keep_ms: u64,
    /// What computing a shared prefix again weighs against waiting: 1 is
    /// its own time; above, wasted prefill is avoided at the cost of
    /// latency.
    #[serde(default = "default_recompute_weight")]
    pub recompute_weight: f64,
    /// Milliseconds after which a request is ended wherever it is.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Milliseconds a prefill server keeps a KV cache for its decode.
    pub prefill_keep_ms: u64,
    /// Maintenance: new requests are refused with `Retry-After`, work in
    /// flight finishes.
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

/// Why a preset was refused; names the field.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum PresetError {
    /// The text is not valid TOML or JSON of the preset's shape.
    #[snafu(display("preset does not parse: {message}"))]
    Parse { message: String },
    /// A field holds a value outside its range.
    #[snafu(display("preset field `{field}` {problem}"))]
    Field { field: &'static str, problem: String },
}

impl Preset {
    /// Parses and checks a preset written in TOML.
    pub fn from_toml(text: &str) -> Result<Preset, PresetError> {
        let preset: Preset = toml::from_str(text)
            .map_err(|error| PresetError::Parse { message: error.to_string() })?;
        preset.validate()?;
        Ok(preset)
    }

    /// Parses and checks a preset stored as JSON in the table.
    pub fn from_json(value: &serde_json::Value) -> Result<Preset, PresetError> {
        let preset: Preset = serde_json::from_value(value.clone())
            .map_err(|error| PresetError::Parse { message: error.to_string() })?;
        preset.validate()?;
        Ok(preset)
    }

    /// Checks every field's range.
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
        in_range("prefill_keep_ms", self.prefill_keep_ms, 50, KEEP_MS_CEILING)?;
        in_range("urgent_reserve_slots", u64::from(self.urgent_reserve_slots), 0, 1000)?;
        in_range("prefill_queue_tokens", u64::from(self.prefill_queue_tokens), 1, 100_000_000)?;
        in_range("prefix_keep_ms", self.prefix_keep_ms, 0, KEEP_MS_CEILING)?;
        in_range("deadline_ms", self.deadline_ms, 100, 60 * KEEP_MS_CEILING)?;
        if !(0.0..=100.0).contains(&self.recompute_weight) {
            let problem = format!("is {}, must be from 0 to 100", self.recompute_weight);
            return Err(PresetError::Field { field: "recompute_weight", problem });
        }
        in_range("urgent.ttft_ms", self.urgent.ttft_ms, 1, KEEP_MS_CEILING)?;
        in_range("urgent.tpot_ms", self.urgent.tpot_ms, 1, KEEP_MS_CEILING)?;
        in_range("standard.ttft_ms", self.standard.ttft_ms, 1, 10 * KEEP_MS_CEILING)?;
        in_range("standard.tpot_ms", self.standard.tpot_ms, 1, KEEP_MS_CEILING)?;
        Ok(())
    }

    /// The targets of `priority`'s class.
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
