//! The workload file: a deployment, the requests of its callers, and the faults injected meanwhile.
//!
//! The format is TOML; unknown fields are rejected by name. See `bench/workloads/*.toml`.

use std::time::Duration;

use serde::Deserialize;
use snafu::Snafu;
use umberglade_wire::engine::Priority;

/// Maximum length of a run.
const MAX_SECONDS: u64 = 120;
/// Maximum arrivals of one class per second.
const MAX_RATE: f64 = 2000.0;

/// Why a workload file was rejected.
#[derive(Debug, Snafu)]
pub enum WorkloadError {
    /// The text is not TOML with the fields of a workload.
    #[snafu(display("workload does not parse: {message}"))]
    Parse { message: String },
    /// A field holds a value outside its range.
    #[snafu(display("workload field `{field}` {problem}"))]
    Field { field: String, problem: String },
}

/// A deployment and the requests of its callers.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    pub name: String,
    /// Failure domains; servers and daemons are distributed over them in rotation.
    pub domains: Vec<String>,
    pub daemons: u32,
    /// Length of each run.
    pub seconds: u64,
    /// Loads to run, as factors on every class's rate.
    pub scales: Vec<f64>,
    /// Weight of computing a prefix again; the preset field of the same name.
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
    /// Milliseconds per decode step of a request that runs alone.
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
    /// A plain service's lookup, which may be retried.
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
    /// The priority that a completion requests.
    #[serde(default = "standard")]
    pub priority: Priority,
    /// Mean prompt tokens.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Prompt lengths vary uniformly by up to this fraction in both directions.
    #[serde(default)]
    pub prompt_spread: f64,
    /// Tokens of each shared prefix; `prefixes` is the number of prefixes.
    #[serde(default)]
    pub prefix_tokens: u32,
    #[serde(default = "one_prefix")]
    pub prefixes: u32,
    #[serde(default)]
    pub max_tokens: u32,
    /// Latency target for the first token, or for the response of a plain call; `tpot_ms` is the
    /// target for the mean time between tokens.
    pub ttft_ms: u64,
    #[serde(default = "tpot")]
    pub tpot_ms: u64,
    /// How long the caller waits in total.
    pub deadline_ms: u64,
    /// Fraction of callers who hang up before the response ends.
    #[serde(default)]
    pub cancel_share: f64,
    /// Maximum retries of a request after rejections with `Retry-After`.
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

    /// How long the caller waits in total.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

/// The kind of fault at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Rejects all work and cuts its streams.
    Down,
    /// Sends no KV cache to decode servers.
    StallKv,
    /// Responds to no prefill.
    SilentPrefill,
    /// Goes silent in every stream.
    SilentDecode,
}

/// A fault that lasts for part of a run.
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
