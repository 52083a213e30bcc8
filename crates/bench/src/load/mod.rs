//! Sends open-loop load to daemons and measures it as callers see it.
//!
//! Load is bounded in count and time and goes to loopback only.

mod arrivals;
mod caller;
mod summary;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use umberglade_wire::client::HttpClient;
use umberglade_wire::engine::EngineStats;
use umberglade_wire::pool;

pub use self::arrivals::Arrival;
pub use self::arrivals::schedule;
pub use self::caller::CallOutcome;
pub use self::caller::CallResult;
pub use self::summary::ClassSummary;
pub use self::summary::PrefillTotals;
pub use self::summary::RunSummary;
use crate::workload::Workload;

/// Maximum requests of one run, whatever the workload says.
pub const MAX_REQUESTS: usize = 100_000;
/// Timeout for reading one engine's statistics.
const STATS_TIMEOUT: Duration = Duration::from_secs(2);

/// The daemons and API keys of one run, and the engines behind the daemons.
#[derive(Debug, Clone)]
pub struct LoadTarget {
    /// `host:port` of each daemon, used in rotation.
    pub daemons: Vec<String>,
    /// API keys, used in rotation.
    pub keys: Vec<String>,
    /// `host:port` of engines whose prefill statistics are read.
    pub engines: Vec<String>,
}

/// Sends `workload` at `scale` times its rates and summarises what callers saw. The same `seed`
/// gives the same arrivals.
pub async fn run(
    workload: &Arc<Workload>,
    target: &Arc<LoadTarget>,
    scale: f64,
    seed: u64,
) -> RunSummary {
    let before = engine_totals(&target.engines).await;
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let started_at = Instant::now();
    let mut tasks = Vec::new();
    let mut arrivals = schedule(workload, scale, seed);
    arrivals.truncate(MAX_REQUESTS);
    for arrival in arrivals {
        smol::Timer::at(started_at + arrival.due).await;
        let workload = Arc::clone(workload);
        let target = Arc::clone(target);
        let outcomes = Arc::clone(&outcomes);
        tasks.push(pool::spawn_joined(async move {
            let outcome = caller::call(&workload, &target, &arrival).await;
            outcomes.lock().expect("outcomes lock").push(outcome);
        }));
    }
    for task in tasks {
        task.await;
    }
    let elapsed = started_at.elapsed();
    let after = engine_totals(&target.engines).await;
    let outcomes = std::mem::take(&mut *outcomes.lock().expect("outcomes lock"));
    RunSummary::new(workload, scale, &outcomes, elapsed, after.since(&before))
}

async fn engine_totals(engines: &[String]) -> PrefillTotals {
    let mut totals = PrefillTotals::default();
    for engine in engines {
        let client = HttpClient::new(engine.clone(), STATS_TIMEOUT);
        let read =
            client.call::<(), EngineStats>("engine stats", Method::GET, "/v1/stats", None).await;
        if let Ok(stats) = read {
            totals.add(&stats);
        }
    }
    totals
}
