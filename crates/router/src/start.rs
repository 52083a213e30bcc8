//! Builds a daemon and starts its parts: control follower, membership, leadership and HTTP front.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use metrics_exporter_prometheus::PrometheusHandle;
use umberglade_wire::memory::MemoryBudget;
use umberglade_wire::pool;
use umberglade_wire::server;

use crate::control::ControlFollower;
use crate::control::ControlState;
use crate::daemon::Daemon;
use crate::events;
use crate::leader::LeaderController;
use crate::leader::LeaderLease;
use crate::leader::RecordCleaner;
use crate::membership::Heartbeat;
use crate::membership::LEASE_HEARTBEATS;
use crate::membership::MemberView;
use crate::placement::Placement;
use crate::platform::PlatformClient;
use crate::settings::DaemonSettings;

/// A serving daemon and its listening address.
#[derive(Debug)]
pub struct StartedDaemon<P> {
    pub daemon: Daemon<P>,
    pub local: SocketAddr,
}

/// Binds the socket, reads the active configuration once and serves on the worker pool.
///
/// # Errors
///
/// Fails if the socket cannot be bound.
pub async fn start<P: Placement>(
    settings: DaemonSettings,
    placement: P,
    metrics: Option<PrometheusHandle>,
) -> Result<StartedDaemon<P>, io::Error> {
    let (listener, local) = server::bind(settings.listen).await?;
    let control = Arc::new(ControlState::default());
    let lease_duration = settings.heartbeat_interval * LEASE_HEARTBEATS;
    let members = Arc::new(MemberView::new(lease_duration));
    let daemon = Daemon::new(settings.clone(), Arc::clone(&control), members, placement, metrics);
    let follower = ControlFollower {
        platform: settings.platform.clone(),
        state: Arc::clone(&control),
        feed_wait: settings.feed_wait,
    };
    follower.start().await;
    let platform = PlatformClient::new(settings.platform.clone(), settings.platform_timeout);
    let heartbeat = Heartbeat::new(daemon.clone(), platform.clone(), local.to_string());
    pool::spawn(heartbeat.run());
    let controller = LeaderController {
        cleaner: RecordCleaner::new(platform.clone(), settings.record_retention),
        lease: LeaderLease::new(
            platform,
            settings.daemon_id.clone(),
            settings.incarnation,
            lease_duration,
        ),
        control,
        daemon: settings.daemon_id.clone(),
        interval: settings.heartbeat_interval,
    };
    pool::spawn(controller.run());
    let budget = MemoryBudget::new(settings.limits);
    pool::spawn(server::serve_within(listener, Arc::new(daemon.clone()), budget));
    tracing::info!(event = events::DAEMON_STARTED, %local, daemon = %settings.daemon_id, domain = %settings.domain, "daemon serving");
    Ok(StartedDaemon { daemon, local })
}
