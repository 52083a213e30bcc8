//! `umberglade serve`: the daemon of one entry instance.

use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::StreamExt;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use umberglade_bench::experiment::PolicyName;
use umberglade_router::daemon::DRAIN_TIMEOUT;
use umberglade_router::events;
use umberglade_router::placement::AffinityPlacement;
use umberglade_router::placement::LeastLoadedPlacement;
use umberglade_router::placement::Placement;
use umberglade_router::placement::RoundRobinPlacement;
use umberglade_router::settings::DEFAULT_FEED_WAIT;
use umberglade_router::settings::DEFAULT_HEARTBEAT_INTERVAL;
use umberglade_router::settings::DEFAULT_PLATFORM_TIMEOUT;
use umberglade_router::settings::DEFAULT_RECORD_RETENTION;
use umberglade_router::settings::DaemonSettings;
use umberglade_router::start;
use umberglade_router::start::StartedDaemon;
use umberglade_wire::memory::ProcessLimits;
use umberglade_wire::pool;

use crate::cli::ServeArgs;
use crate::logging;
use crate::setting;
use crate::setting::StartError;

const DEFAULT_THREADS: usize = 1;

/// Reads the settings, serves until SIGTERM or SIGINT, then stops gracefully.
pub fn run(args: ServeArgs) -> Result<(), StartError> {
    logging::init(args.log_format.clone())?;
    let settings = settings(&args)?;
    let policy = setting::resolve(
        "placement",
        "UMBERGLADE_PLACEMENT",
        args.placement,
        Some(PolicyName::Affinity.to_string()),
    )?;
    let policy: PolicyName = policy.parse().map_err(|_| StartError::Setting {
        flag: "placement",
        env: "UMBERGLADE_PLACEMENT",
        problem: format!("`{policy}`: must be affinity, least-loaded or round-robin"),
    })?;
    pool::start(settings.threads);
    let metrics = install_metrics();
    match policy {
        PolicyName::Affinity => {
            pool::block_on(run_daemon(settings, AffinityPlacement::default(), metrics))
        }
        PolicyName::LeastLoaded => {
            pool::block_on(run_daemon(settings, LeastLoadedPlacement, metrics))
        }
        PolicyName::RoundRobin => {
            pool::block_on(run_daemon(settings, RoundRobinPlacement::default(), metrics))
        }
    }
}

fn settings(args: &ServeArgs) -> Result<DaemonSettings, StartError> {
    let listen: SocketAddr = setting::resolve_parsed(
        "listen",
        "UMBERGLADE_LISTEN",
        args.listen.clone(),
        "127.0.0.1:8080",
    )?;
    let platform =
        setting::resolve("platform", "UMBERGLADE_PLATFORM", args.platform.clone(), None)?;
    let _: SocketAddr = platform.parse().map_err(|error| StartError::Setting {
        flag: "platform",
        env: "UMBERGLADE_PLATFORM",
        problem: format!("`{platform}`: {error} (give ip:port)"),
    })?;
    let follow_ms = setting::resolve_within(
        "follow-ms",
        "UMBERGLADE_FOLLOW_MS",
        args.follow_ms,
        DEFAULT_FEED_WAIT.as_millis() as u64,
        50..=60_000,
    )?;
    let heartbeat_ms = setting::resolve_within(
        "member-beat-ms",
        "UMBERGLADE_MEMBER_BEAT_MS",
        args.member_beat_ms,
        DEFAULT_HEARTBEAT_INTERVAL.as_millis() as u64,
        50..=600_000,
    )?;
    let retention_s = setting::resolve_within(
        "record-retention-s",
        "UMBERGLADE_RECORD_RETENTION_S",
        args.record_retention_s,
        DEFAULT_RECORD_RETENTION.as_secs(),
        1..=31_536_000,
    )?;
    let threads = setting::resolve_within(
        "threads",
        "UMBERGLADE_THREADS",
        args.threads,
        DEFAULT_THREADS,
        1..=256,
    )?;
    let limits = limits(args)?;
    Ok(DaemonSettings {
        listen,
        platform,
        daemon_id: setting::resolve(
            "daemon-id",
            "UMBERGLADE_DAEMON_ID",
            args.daemon_id.clone(),
            Some("entry-1".into()),
        )?,
        domain: setting::resolve(
            "domain",
            "UMBERGLADE_DOMAIN",
            args.domain.clone(),
            Some("unknown".into()),
        )?,
        region: setting::resolve(
            "region",
            "UMBERGLADE_REGION",
            args.region.clone(),
            Some(String::new()),
        )?,
        incarnation: fastrand::u64(..),
        feed_wait: Duration::from_millis(follow_ms),
        heartbeat_interval: Duration::from_millis(heartbeat_ms),
        record_retention: Duration::from_secs(retention_s),
        platform_timeout: DEFAULT_PLATFORM_TIMEOUT,
        limits,
        threads,
    })
}

/// Returns the limits of this instance's machine.
fn limits(args: &ServeArgs) -> Result<ProcessLimits, StartError> {
    let default = ProcessLimits::default();
    let memory_mb = setting::resolve_within(
        "memory-mb",
        "UMBERGLADE_MEMORY_MB",
        args.memory_mb,
        default.memory_mb,
        32..=1_000_000,
    )?;
    let descriptors = setting::resolve_within(
        "max-fds",
        "UMBERGLADE_MAX_FDS",
        args.max_fds,
        default.descriptors,
        256..=10_000_000,
    )?;
    Ok(ProcessLimits { memory_mb, descriptors })
}

/// Installs the Prometheus recorder that `/metrics` renders.
pub fn install_metrics() -> Option<PrometheusHandle> {
    PrometheusBuilder::new().install_recorder().ok()
}

/// Runs a daemon with `settings` until a stop signal, then drains it.
pub async fn run_daemon<P: Placement>(
    settings: DaemonSettings,
    placement: P,
    metrics: Option<PrometheusHandle>,
) -> Result<(), StartError> {
    let listen = settings.listen.to_string();
    let started = start::start(settings, placement, metrics)
        .await
        .map_err(|source| StartError::Bind { addr: listen, source })?;
    let StartedDaemon { daemon, local } = started;
    println!("listening on {local}");
    wait_for_stop().await;
    daemon.begin_drain();
    // Whether every request ended before the timeout.
    let whole = daemon.wait_until_drained(DRAIN_TIMEOUT).await;
    tracing::info!(
        event = events::DAEMON_DRAINING,
        whole,
        in_flight = daemon.in_flight(),
        "stopping"
    );
    Ok(())
}

/// Waits for SIGTERM or SIGINT.
pub async fn wait_for_stop() {
    use async_signal::Signal;
    use async_signal::Signals;
    match Signals::new([Signal::Term, Signal::Int]) {
        Ok(mut signals) => {
            let _ = signals.next().await;
        }
        Err(error) => {
            tracing::error!(%error, "cannot install handlers for stop signals; serving until killed");
            futures_lite::future::pending::<()>().await;
        }
    }
}
