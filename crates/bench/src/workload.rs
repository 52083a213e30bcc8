//! The workload file: a deployment, what its callers send, and what goes
//! wrong meanwhile.
//!
//! TOML, unknown fields refused by name; see `bench/workloads/*.toml`.

use std::time::Duration;

use serde::Deserialize;
use snafu::Snafu;
use umberglade_wire::engine::Priority;

/// Longest run a workload may ask for.
const MAX_SECONDS: u64 = 120;
/// Highest arrival rate of one class, a second.
const MAX_RATE: f64 = 2000.0;

/// Why a workload file was refused.
#[derive(Debug, Snafu)]
pub enum WorkloadError {
    /// The text is not TOML of the workload's shape.
    #[snafu(display("workload does not parse: {message}"))]
    Parse { message: String },
    /// A field holds a value outside its range.
    #[snafu(display("workload field `{field}` {problem}"))]
    Field { field: String, problem: String },
}

/// A deployment and what its callers send.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    pub name: String,
    /// Failure domains; servers and daemons are dealt out over them.
    pub domains: Vec<String>,
    pub daemons: u32,
    /// Length of each run.
    pub seconds: u64,
    /// Loads to run, as factors on every class's rate.
    pub scales: Vec<f64>,
    /// What computing a prefix again weighs (see the preset field).
    #[serde(default = "recompute_weight")]
    pub recompute_weight: f64,
    pub model: ModelService,
    pub plain: Option<PlainService>,
    pub class: Vec<RequestClass>,
    #[serde(default)]
    pub fault: Vec<TimedFault>,
}

/// The model service's servers.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelService {
    pub name: String,
    pub prefill: u32,
    pub decode: u32,
    pub slots: u32,
    /// Milliseconds a decode step takes for a request alone.
    #[serde(default)]
    pub decode_step_ms: Option<f64>,
}

/// The plain service's servers.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainService {
    pub name: String,
    pub servers: u32,
}

/// How requests of a class are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, strum::Display, strum::EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RequestKind {
    /// A streamed chat completion.
    Completion,
    /// A plain service's lookup, which may be repeated.
    Lookup,
    /// A plain service's call, which runs at most once.
    Call,
}

/// One class of requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    pub name: String,
    pub kind: RequestKind,
    /// Arrivals a second at scale 1.
    pub rate: f64,
    /// The class a completion asks for.
    #[serde(default = "standard")]
    pub priority: Priority,
    /// Prompt tokens on average.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Prompts vary evenly by this share to both sides.
    #[serde(default)]
    pub prompt_spread: f64,
    /// Tokens of the shared prefix, and how many prefixes there are.
    #[serde(default)]
    pub prefix_tokens: u32,
    #[serde(default = "one_prefix")]
    pub prefixes: u32,
    #[serde(default)]
    pub max_tokens: u32,
    /// Targets: first token (or answer), and mean time between tokens.
    pub ttft_ms: u64,
    #[serde(default = "tpot")]
    pub tpot_ms: u64,
    /// How long the caller waits in all.
    pub deadline_ms: u64,
    /// Share of callers who hang up midway.
    #[serde(default)]
    pub cancel_share: f64,
    /// Times a refused caller comes back, when told to.
    #[serde(default)]
    pub retries: u32,
}

impl RequestClass {
    /// The first-token target.
    pub fn ttft(&self) -> Duration {
        Duration::from_millis(self.ttft_ms)
    }

    /// The per-token target.
    pub fn tpot(&self) -> Duration {
        Duration::from_millis(self.tpot_ms)
    }

    /// How long the caller waits in all.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

/// What goes wrong at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Refuses all work and cuts its streams.
    Down,
    /// Sends no KV cache.
    StallKv,
    /// Answers no prefill.
    SilentPrefill,
    /// Falls silent in every stream.
    SilentDecode,
}

/// A fault for part of a run.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimedFault {
    pub kind: FaultKind,
    /// Server id: `prefill-N` or `decode-N`.
    pub server: String,
    pub at_s: f64,
    pub for_s: f64,
}

fn recompute_weight() -> f64 {
    10.0
}

fn one_prefix() -> u32 {
    1
}

fn tpot() -> u64 {
    48
}

fn standard() -> Priority {
    Priority::Standard
}

impl Workload {
    /// Parses and checks a workload file's text.
    pub fn from_toml(text: &str) -> Result<Workload, WorkloadError> {
        let workload: Workload = toml::from_str(text)
            .map_err(|error| WorkloadError::Parse { message: error.to_string() })?;
        workload.validate()?;
        Ok(workload)
    }

    fn validate(&self) -> Result<(), WorkloadError> {
        check("seconds", (1..=MAX_SECONDS).contains(&self.seconds), "must be from 1 to 120")?;
        check("domains", !self.domains.is_empty(), "must name at least one failure domain")?;
        check("daemons", (1..=16).contains(&self.daemons), "must be from 1 to 16")?;
        check("scales", !self.scales.is_empty(), "must hold at least one load")?;
        check("model.prefill", self.model.prefill > 0, "must be at least 1")?;
        check("model.decode", self.model.decode > 0, "must be at least 1")?;
        for class in &self.class {
            let field = |name: &str| format!("class.{}.{name}", class.name);
            let in_range = class.rate > 0.0 && class.rate <= MAX_RATE;
            check(&field("rate"), in_range, "must be above 0 and at most 2000")?;
            let fits = class.prefix_tokens <= class.prompt_tokens;
            check(&field("prefix_tokens"), fits, "must be at most prompt_tokens")?;
            let needs_plain = class.kind != RequestKind::Completion;
            check(&field("kind"), !needs_plain || self.plain.is_some(), "needs a [plain] service")?;
            check(&field("prefixes"), class.prefixes > 0, "must be at least 1")?;
        }
        Ok(())
    }
}

fn check(field: &str, condition: bool, problem: &str) -> Result<(), WorkloadError> {
    if condition {
        return Ok(());
    }
    Err(WorkloadError::Field { field: field.to_owned(), problem: problem.to_owned() })
}
