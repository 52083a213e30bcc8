//! `umberglade serve`: the daemon of one entry instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::StreamExt;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use umberglade_router::control::ControlFollower;
use umberglade_router::control::ControlState;
use umberglade_router::daemon::DRAIN_LIMIT;
use umberglade_router::daemon::Daemon;
use umberglade_router::events;
use umberglade_router::placement::AffinityPlacement;
use umberglade_router::placement::Placement;
use umberglade_router::placement::RoundRobinPlacement;
use umberglade_router::platform::PlatformClient;
use umberglade_router::settings::DEFAULT_PLATFORM_TIMEOUT;
use umberglade_router::settings::DaemonSettings;
use umberglade_wire::pool;
use umberglade_wire::server;

use crate::cli::ServeArgs;
use crate::logging;
use crate::setting;
use crate::setting::StartError;

const DEFAULT_THREADS: usize = 4;

/// Reads the settings, then serves until SIGTERM or SIGINT, then stops
/// gracefully.
pub fn run(args: ServeArgs) -> Result<(), StartError> {
    logging::init(args.log_format.clone())?;
    let settings = settings(&args)?;
    let placement = setting::resolve(
        "placement",
        "UMBERGLADE_PLACEMENT",
        args.placement,
        Some("affinity".into()),
    )?;
    pool::start(settings.threads);
    let metrics = install_metrics();
    match placement.as_str() {
        "affinity" => pool::block_on(run_daemon(settings, AffinityPlacement, metrics)),
        "round-robin" => {
            pool::block_on(run_daemon(settings, RoundRobinPlacement::default(), metrics))
        }
        other => Err(StartError::Setting {
            flag: "placement",
            env: "UMBERGLADE_PLACEMENT",
            problem: format!("`{other}`: must be affinity or round-robin"),
        }),
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
    let follow_ms =
        setting::resolve("follow-ms", "UMBERGLADE_FOLLOW_MS", args.follow_ms, Some(1000))?;
    if !(50..=60_000).contains(&follow_ms) {
        return Err(StartError::Setting {
            flag: "follow-ms",
            env: "UMBERGLADE_FOLLOW_MS",
            problem: format!("{follow_ms} is outside 50..=60000"),
        });
    }
    let threads =
        setting::resolve("threads", "UMBERGLADE_THREADS", args.threads, Some(DEFAULT_THREADS))?;
    if !(1..=256).contains(&threads) {
        return Err(StartError::Setting {
            flag: "threads",
            env: "UMBERGLADE_THREADS",
            problem: format!("{threads} is outside 1..=256"),
        });
    }
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
        follow_interval: Duration::from_millis(follow_ms),
        platform_timeout: DEFAULT_PLATFORM_TIMEOUT,
        threads,
    })
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
    let (listener, local) = server::bind(settings.listen)
        .await
        .map_err(|source| StartError::Bind { addr: settings.listen.to_string(), source })?;
    let control = Arc::new(ControlState::default());
    let follower = ControlFollower {
        platform: PlatformClient::new(settings.platform.clone(), settings.platform_timeout),
        state: Arc::clone(&control),
        interval: settings.follow_interval,
    };
    follower.follow_once().await;
    pool::spawn(follower.run());
    let daemon = Daemon::new(settings.clone(), control, placement, metrics);
    pool::spawn(server::serve(listener, Arc::new(daemon.clone())));
    tracing::info!(event = events::DAEMON_STARTED, %local, daemon = %settings.daemon_id, domain = %settings.domain, "daemon serving");
    println!("listening on {local}");
    wait_for_stop().await;
    daemon.begin_drain();
    let whole = daemon.drained(DRAIN_LIMIT).await;
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
            tracing::error!(%error, "cannot watch for stop signals; serving until killed");
            futures_lite::future::pending::<()>().await;
        }
    }
}
