//! Runs one workload with each policy in turn, every run on a new site. All policies get the same
//! arrivals at the same load.

use std::io;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;
use umberglade_router::operator::OperatorError;
use umberglade_router::placement::AffinityPlacement;
use umberglade_router::placement::LeastLoadedPlacement;
use umberglade_router::placement::Placement;
use umberglade_router::placement::RoundRobinPlacement;
use umberglade_standin::engine::EngineConfig;
use umberglade_standin::engine::EngineStandin;
use umberglade_wire::engine::EngineFaults;
use umberglade_wire::engine::EngineRole;
use umberglade_wire::pool;

use crate::load;
use crate::load::LoadTarget;
use crate::load::RunSummary;
use crate::site::LocalSite;
use crate::workload::FaultKind;
use crate::workload::TimedFault;
use crate::workload::Workload;

/// Organisations of an experiment's site and their keys.
const ORGANISATIONS: [(&str, &str); 2] = [("north", "key-north"), ("south", "key-south")];
/// How far the site's instance list lags behind changes.
const INSTANCE_LAG: Duration = Duration::from_secs(1);
/// Pause between runs, so that remaining work of one run does not affect the next.
const PAUSE_BETWEEN_RUNS: Duration = Duration::from_millis(1500);

/// A policy to measure.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, strum::Display, strum::EnumString, strum::EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum PolicyName {
    Affinity,
    LeastLoaded,
    RoundRobin,
}

/// The results of one run of a policy at one load.
#[derive(Debug, Clone, Serialize)]
pub struct ExperimentRow {
    pub policy: PolicyName,
    pub run: u32,
    #[serde(flatten)]
    pub summary: RunSummary,
}

/// Why an experiment could not run.
#[derive(Debug, Snafu)]
pub enum ExperimentError {
    #[snafu(display("starting the site: {source}"))]
    Site { source: io::Error },
    #[snafu(display("seeding the site: {source}"))]
    Seed { source: OperatorError },
    #[snafu(display("fault names unknown server `{server}`"))]
    UnknownServer { server: String },
}

/// Runs every policy of `policies` at every load of `workload`, `runs` times, and calls `report`
/// after each run.
pub async fn run(
    workload: Arc<Workload>,
    policies: &[PolicyName],
    runs: u32,
    mut report: impl FnMut(&ExperimentRow),
) -> Result<Vec<ExperimentRow>, ExperimentError> {
    let mut rows = Vec::new();
    for number in 0..runs {
        for (index, scale) in workload.scales.iter().enumerate() {
            let seed = u64::from(number) * 1000 + index as u64;
            for policy in policies {
                let summary = match policy {
                    PolicyName::Affinity => {
                        run_policy(&workload, AffinityPlacement::default, *scale, seed).await
                    }
                    PolicyName::LeastLoaded => {
                        run_policy(&workload, LeastLoadedPlacement::default, *scale, seed).await
                    }
                    PolicyName::RoundRobin => {
                        run_policy(&workload, RoundRobinPlacement::default, *scale, seed).await
                    }
                }?;
                let row = ExperimentRow { policy: *policy, run: number, summary };
                report(&row);
                rows.push(row);
                smol::Timer::after(PAUSE_BETWEEN_RUNS).await;
            }
        }
    }
    Ok(rows)
}

async fn run_policy<P: Placement>(
    workload: &Arc<Workload>,
    placement: impl Fn() -> P,
    scale: f64,
    seed: u64,
) -> Result<RunSummary, ExperimentError> {
    let site = build_site(workload).await?;
    let mut daemons = Vec::new();
    for index in 0..workload.daemons {
        let domain = domain_of(workload, index);
        let settings = site.daemon_settings(&format!("entry-{index}"), domain);
        let started = site.add_daemon(settings, placement()).await.context(SiteSnafu)?;
        daemons.push(started.local.to_string());
    }
    let target = LoadTarget {
        daemons,
        keys: ORGANISATIONS.iter().map(|(_, key)| (*key).to_owned()).collect(),
        engines: site.engine_addrs(),
    };
    for fault in &workload.fault {
        schedule_fault(&site, fault)?;
    }
    Ok(load::run(workload, &Arc::new(target), scale, seed).await)
}

async fn build_site(workload: &Workload) -> Result<LocalSite, ExperimentError> {
    let mut site = LocalSite::start(INSTANCE_LAG).await.context(SiteSnafu)?;
    let model = &workload.model;
    let roles = [(EngineRole::Prefill, model.prefill), (EngineRole::Decode, model.decode)];
    for (role, count) in roles {
        for index in 0..count {
            let mut config = EngineConfig::new(format!("{role}-{index}"), role, &*model.name);
            config.slots = model.slots;
            config.domain = domain_of(workload, index).to_owned();
            if let Some(step_ms) = model.decode_step_ms {
                config.decode_per_token = Duration::from_secs_f64(step_ms / 1000.0);
            }
            site.add_engine(config).await.context(SiteSnafu)?;
        }
    }
    if let Some(plain) = &workload.plain {
        for index in 0..plain.servers {
            let server = format!("{}-{index}", plain.name);
            let domain = domain_of(workload, index);
            site.add_plain(&server, &plain.name, domain).await.context(SiteSnafu)?;
        }
    }
    let preset = preset_text(workload);
    site.seed(&[("experiment", &preset)], &ORGANISATIONS).await.context(SeedSnafu)?;
    Ok(site)
}

/// Builds the preset of an experiment, with the classes' targets and enough capacity for the load.
fn preset_text(workload: &Workload) -> String {
    let ttft = |urgent: bool| {
        let matching = workload.class.iter().filter(|class| {
            (class.priority == umberglade_wire::engine::Priority::Urgent) == urgent
        });
        matching.map(|class| class.ttft_ms).max().unwrap_or(1000)
    };
    format!(
        "description = \"experiment\"\ndefault_max_tokens = 64\nurgent_prompt_tokens = 512\n\
         max_in_flight = 2000\nprefill_keep_ms = 800\nrecompute_weight = {:?}\n\
         [urgent]\nttft_ms = {}\ntpot_ms = 48\n[standard]\nttft_ms = {}\ntpot_ms = 48\n",
        workload.recompute_weight,
        ttft(true),
        ttft(false),
    )
}

fn domain_of(workload: &Workload, index: u32) -> &str {
    &workload.domains[index as usize % workload.domains.len()]
}

/// Schedules the start and the end of `fault`.
fn schedule_fault(site: &LocalSite, fault: &TimedFault) -> Result<(), ExperimentError> {
    let engine = site
        .engines
        .iter()
        .find(|engine| engine.standin.config().server == fault.server)
        .ok_or_else(|| ExperimentError::UnknownServer { server: fault.server.clone() })?;
    let standin: EngineStandin = engine.standin.clone();
    let faults = match fault.kind {
        FaultKind::Down => EngineFaults { down: true, ..EngineFaults::default() },
        FaultKind::StallKv => EngineFaults { stall_kv: true, ..EngineFaults::default() },
        FaultKind::SilentPrefill => {
            EngineFaults { silent_prefill: true, ..EngineFaults::default() }
        }
        FaultKind::SilentDecode => {
            EngineFaults { silent_after_tokens: 1, ..EngineFaults::default() }
        }
    };
    let begin = Instant::now() + Duration::from_secs_f64(fault.at_s);
    let end = begin + Duration::from_secs_f64(fault.for_s);
    pool::spawn(async move {
        smol::Timer::at(begin).await;
        standin.set_faults(faults);
        smol::Timer::at(end).await;
        standin.set_faults(EngineFaults::default());
    });
    Ok(())
}
