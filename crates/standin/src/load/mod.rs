//! The load and experiment tool: open-loop arrivals of short urgent
//! lookups and long briefs against a daemon, measured as callers see them.
//!
//! Bounded in count and in time, loopback only. Reports goodput (answers
//! meeting both their first-token and per-token targets), TTFT and TPOT
//! percentiles per class, refusals, and wasted prefill read from the
//! engines' own figures.

mod caller;
mod summary;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use umberglade_wire::client::HttpClient;
use umberglade_wire::engine::EngineStats;
use umberglade_wire::engine::Priority;
use umberglade_wire::pool;

pub use self::caller::CallOutcome;
pub use self::summary::ClassSummary;
pub use self::summary::RunSummary;

/// Hard ceiling on requests of one run, whatever is asked.
pub const MAX_REQUESTS: u32 = 100_000;
/// Hard ceiling on one run's length.
pub const MAX_RUN: Duration = Duration::from_secs(600);

/// What one run sends.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// `host:port` of the daemon.
    pub target: String,
    /// API keys to send with, in turn (one per organisation).
    pub keys: Vec<String>,
    pub model: String,
    pub requests: u32,
    /// Arrivals a second (open loop: sent on time whatever the answers).
    pub rate: f64,
    /// Share of requests that are long briefs, 0 to 1.
    pub long_share: f64,
    pub short_prompt_tokens: u32,
    pub long_prompt_tokens: u32,
    /// Tokens of the shared prefix (studio guidelines) of long prompts.
    pub shared_prefix_tokens: u32,
    pub max_tokens: u32,
    pub urgent_ttft: Duration,
    pub standard_ttft: Duration,
    pub tpot: Duration,
    /// Engines whose wasted prefill is read before and after.
    pub engines: Vec<String>,
    /// The run stops sending after this long.
    pub limit: Duration,
}

/// Runs `plan` and sums up what callers saw.
pub async fn run(plan: LoadPlan) -> RunSummary {
    let plan = Arc::new(plan);
    let before = engine_totals(&plan.engines).await;
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let started = Instant::now();
    let interval = Duration::from_secs_f64(1.0 / plan.rate.max(0.001));
    let mut tasks = Vec::new();
    for index in 0..plan.requests.min(MAX_REQUESTS) {
        let due = started + interval * index;
        if due.duration_since(started) > plan.limit.min(MAX_RUN) {
            break;
        }
        smol::Timer::at(due).await;
        let plan = Arc::clone(&plan);
        let outcomes = Arc::clone(&outcomes);
        tasks.push(pool::spawn_joined(async move {
            let outcome = caller::call(&plan, index).await;
            outcomes.lock().expect("outcomes lock").push(outcome);
        }));
    }
    for task in tasks {
        task.await;
    }
    let elapsed = started.elapsed();
    let after = engine_totals(&plan.engines).await;
    let outcomes = std::mem::take(&mut *outcomes.lock().expect("outcomes lock"));
    RunSummary::from_outcomes(&plan, &outcomes, elapsed, after.saturating_sub(&before))
}

/// Computed and wasted prefill tokens summed over `engines`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PrefillTotals {
    pub computed: u64,
    pub wasted: u64,
}

impl PrefillTotals {
    fn saturating_sub(&self, earlier: &PrefillTotals) -> PrefillTotals {
        PrefillTotals {
            computed: self.computed.saturating_sub(earlier.computed),
            wasted: self.wasted.saturating_sub(earlier.wasted),
        }
    }
}

async fn engine_totals(engines: &[String]) -> PrefillTotals {
    let mut totals = PrefillTotals::default();
    for engine in engines {
        let client = HttpClient::new(engine.clone(), Duration::from_secs(2));
        if let Ok(stats) =
            client.call::<(), EngineStats>("engine stats", Method::GET, "/v1/stats", None).await
        {
            totals.computed += stats.computed_tokens;
            totals.wasted += stats.wasted_tokens;
        }
    }
    totals
}

/// The class a request of this plan is sent as.
pub fn class_of(plan: &LoadPlan, index: u32) -> Priority {
    let long_every = if plan.long_share <= 0.0 {
        u32::MAX
    } else {
        (1.0 / plan.long_share).round().max(1.0) as u32
    };
    if index % long_every == long_every - 1 { Priority::Standard } else { Priority::Urgent }
}
