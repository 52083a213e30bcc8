//! Assembles, starts and stops a gateway.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use metrics_exporter_prometheus::PrometheusHandle;
use smol::net::TcpListener;
use smol::net::UdpSocket;
use snafu::ResultExt;
use snafu::Snafu;

use crate::codec::PlatformCodec;
use crate::events;
use crate::ingress;
use crate::join::JOIN_TIMEOUT;
use crate::join::join_peers;
use crate::leader::run_stage_controller;
use crate::link_use::watch_link_use;
use crate::model::GatewaySettings;
use crate::model::StoreStamp;
use crate::origins;
use crate::panics::spawn_restarted;
use crate::paths::recheck_broken_paths;
use crate::peers;
use crate::peers::MemberRecord;
use crate::peers::OriginTeller;
use crate::peers::PeerRegistry;
use crate::quarantine;
use crate::registration::keep_registered;
use crate::state::GatewayState;
use crate::stop::END_REPORT_DELAY;
use crate::stop::FLUSH_DELAY;
use crate::stop::MIN_STOP_DURATION;
use crate::stop::STREAM_CUTOFF_DELAY;
use crate::table_followers::follow_tables;

/// Number of ports that are tried if any free one is requested.
const MAX_PORT_ATTEMPTS: u32 = 8;
/// Interval at which a stop checks whether anything is still in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which expired server state and expired pooled connections are dropped.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// The reason why a gateway could not start; names the address.
#[derive(Debug, Snafu)]
pub enum GatewayError {
    #[snafu(display("binding {address}: {source}"))]
    Bind { address: SocketAddr, source: io::Error },
}

/// Binds the listeners and serves on the worker pool. Returns once callers can connect.
pub async fn start<C: PlatformCodec>(
    settings: GatewaySettings,
    metrics: Option<PrometheusHandle>,
) -> Result<Arc<GatewayState>, GatewayError> {
    let mut settings = settings;
    let front = bind(&mut settings.front).await?;
    let ready = bind(&mut settings.ready).await?;
    let metrics_listener = bind_metrics(&mut settings).await;
    let (socket, config_listener) = bind_peer(&mut settings.peer).await?;
    let state = GatewayState::new(settings, metrics);
    let registry = Arc::new(PeerRegistry::default());
    let domain = Some(state.settings.domain.clone());
    let (name, address) = (state.settings.instance.clone(), state.settings.peer);
    registry.merge(vec![MemberRecord { name, address, domain }]);
    state.shared_tables.wait_for_peers(Instant::now() + JOIN_TIMEOUT);
    follow_tables::<C>(&state);
    let known = Arc::clone(&registry);
    spawn_restarted("join_peers", &state, move |state| {
        let registered = state.registered.listen();
        join_peers::<C>(state, Arc::clone(&known), registered)
    });
    let teller = OriginTeller::new(state.digest, socket.clone(), Arc::clone(&registry));
    state.origins.set_teller(teller);
    run_peer_tasks(&state, &registry, &socket, config_listener);
    run_own_tasks::<C>(&state);
    spawn_restarted("front", &state, move |state| ingress::serve_front::<C>(front.clone(), state));
    for listener in [Some(ready), metrics_listener].into_iter().flatten() {
        spawn_restarted("ready", &state, move |state| {
            let listener = listener.clone();
            async move {
                ingress::serve_ready::<C>(listener, state).await;
            }
        });
    }
    let settings = &state.settings;
    tracing::info!(
        event = events::GATEWAY_STARTED,
        instance = %settings.instance,
        domain = %settings.domain,
        front = %settings.front,
        ready = %settings.ready,
        metrics = settings.metrics.map(|address| address.to_string()),
        peer = %settings.peer,
        store = %settings.store,
        "gateway serving"
    );
    Ok(state)
}

/// Starts the tasks that exchange messages with other gateways.
fn run_peer_tasks(
    state: &Arc<GatewayState>,
    registry: &Arc<PeerRegistry>,
    socket: &UdpSocket,
    config_listener: Option<TcpListener>,
) {
    let peers_and_socket = (Arc::clone(registry), socket.clone());
    let (registry, socket) = peers_and_socket.clone();
    spawn_restarted("send_reports", state, move |state| {
        peers::send_reports(state, Arc::clone(&registry), socket.clone())
    });
    let (registry, socket) = peers_and_socket.clone();
    spawn_restarted("send_rows", state, move |state| {
        peers::send_rows(state, Arc::clone(&registry), socket.clone())
    });
    let (registry, socket) = peers_and_socket.clone();
    spawn_restarted("receive_reports", state, move |state| {
        peers::receive_reports(state, Arc::clone(&registry), socket.clone())
    });
    if let Some(listener) = config_listener {
        let registry = Arc::clone(&peers_and_socket.0);
        spawn_restarted("serve_transfers", state, move |state| {
            peers::serve_transfers(state, Arc::clone(&registry), listener.clone())
        });
    }
    let (registry, _) = peers_and_socket;
    spawn_restarted("fetch_members", state, move |state| {
        peers::fetch_members(state, Arc::clone(&registry))
    });
    spawn_restarted("fetch_newer_configs", state, peers::fetch_newer_configs);
    spawn_restarted("fetch_tables", state, peers::fetch_tables);
    spawn_restarted("fetch_usage", state, peers::fetch_usage);
}

/// Starts the tasks that keep this gateway's own state and its rows in the store.
fn run_own_tasks<C: PlatformCodec>(state: &Arc<GatewayState>) {
    spawn_restarted("keep_registered", state, keep_registered::<C>);
    spawn_restarted("announcements", state, origins::run_announcements::<C>);
    spawn_restarted("restart_checks", state, origins::run_restart_checks::<C>);
    spawn_restarted("journal", state, origins::run_journal::<C>);
    spawn_restarted("recheck_broken_paths", state, recheck_broken_paths);
    spawn_restarted("stage_controller", state, run_stage_controller::<C>);
    spawn_restarted("quarantine_rows", state, quarantine::run_row_writer::<C>);
    spawn_restarted("maintenance", state, run_maintenance);
    spawn_restarted("link_use", state, watch_link_use);
}

/// Stops gracefully: callers are directed elsewhere, and requests in flight complete.
pub async fn stop(state: &Arc<GatewayState>) {
    let started_at = Instant::now();
    state.stop.begin(started_at);
    tracing::info!(
        event = events::SHUTDOWN_STARTED,
        in_flight = state.in_flight.requests(),
        "graceful stop started"
    );
    // Requests that wait for a server may have to be rejected now.
    state.capacity_changed.notify(usize::MAX);
    let latest = state.stop.latest_end().unwrap_or(started_at);
    smol::Timer::at((started_at + STREAM_CUTOFF_DELAY).min(latest)).await;
    state.capacity_changed.notify(usize::MAX);
    smol::Timer::at((started_at + MIN_STOP_DURATION).min(latest)).await;
    loop {
        while state.in_flight.is_busy() && Instant::now() < latest {
            smol::Timer::after(DRAIN_POLL_INTERVAL).await;
        }
        // Lets connections that arrived too late to be counted write their responses.
        smol::Timer::at((Instant::now() + FLUSH_DELAY).min(latest)).await;
        // Prevents the process's end from cutting a call that arrived meanwhile and that its
        // server is executing.
        if !state.in_flight.is_busy() || Instant::now() >= latest {
            break;
        }
    }
    let in_flight = state.in_flight.requests();
    if state.in_flight.is_busy() {
        state.stop.end();
        smol::Timer::after(END_REPORT_DELAY).await;
    }
    tracing::info!(
        event = events::GATEWAY_STOPPED,
        in_flight,
        elapsed_ms = started_at.elapsed().as_millis() as u64,
        "gateway stopped"
    );
}

/// Binds `endpoint` and stores the bound address in it, which differs if it requests any free port.
async fn bind(endpoint: &mut SocketAddr) -> Result<TcpListener, GatewayError> {
    let address = *endpoint;
    let listener = TcpListener::bind(address).await.context(BindSnafu { address })?;
    *endpoint = listener.local_addr().context(BindSnafu { address })?;
    Ok(listener)
}

/// Binds the socket for reports to `endpoint` and the listener for transfers to the same port, and
/// stores the bound address in `endpoint`. If it requests any free port, one is tried that is free
/// for both.
async fn bind_peer(
    endpoint: &mut SocketAddr,
) -> Result<(UdpSocket, Option<TcpListener>), GatewayError> {
    let address = *endpoint;
    let mut attempts = if address.port() == 0 { MAX_PORT_ATTEMPTS } else { 1 };
    loop {
        let socket = UdpSocket::bind(address).await.context(BindSnafu { address })?;
        *endpoint = socket.local_addr().context(BindSnafu { address })?;
        let listener = bind_config_listener(*endpoint).await;
        attempts -= 1;
        if listener.is_some() || attempts == 0 {
            return Ok((socket, listener));
        }
    }
}

/// Binds the listener that sends the configuration to peers. A failure does not prevent the gateway
/// from serving: the peers read the store.
async fn bind_config_listener(address: SocketAddr) -> Option<TcpListener> {
    match TcpListener::bind(address).await {
        Ok(listener) => Some(listener),
        Err(error) => {
            tracing::warn!(
                event = events::CONFIG_TRANSFER_BIND_FAILED,
                %address,
                %error,
                "cannot bind the listener that sends the configuration to peers"
            );
            None
        }
    }
}

/// Binds the listener for metrics if one is configured. A failure does not prevent the gateway from
/// serving: the port may be taken on some instance.
async fn bind_metrics(settings: &mut GatewaySettings) -> Option<TcpListener> {
    let mut address = settings.metrics?;
    match bind(&mut address).await {
        Ok(listener) => {
            settings.metrics = Some(address);
            Some(listener)
        }
        Err(error) => {
            settings.metrics = None;
            tracing::warn!(
                event = events::METRICS_BIND_FAILED,
                %error,
                "cannot bind the metrics listener"
            );
            None
        }
    }
}

/// Logs a change of the number of live peers from `before`, and returns the number.
fn log_peers(state: &GatewayState, before: usize, now: Instant) -> usize {
    let live_peers = state.fleet().peers.live_peers(now);
    if live_peers != before {
        let event =
            if live_peers > before { events::PEER_AVAILABLE } else { events::PEER_UNAVAILABLE };
        let members = state.members();
        tracing::info!(event, peers = live_peers, before, members, "number of live peers changed");
    }
    live_peers
}

async fn run_maintenance(state: Arc<GatewayState>) {
    let mut live_peers = 0;
    loop {
        smol::Timer::after(MAINTENANCE_INTERVAL).await;
        let now = Instant::now();
        let changes = state.fleet().tick(now);
        state.log_changes(&changes, StoreStamp::NONE);
        state.pool.remove_expired(now);
        state.origins.known().tick(now);
        let rank = state.fleet().peers.rank(state.digest, now);
        let is_sharded = state.fleet().peer_shards() > 1;
        state.quarantines.set_relaying(is_sharded);
        state.quarantines.tick(rank.peers_before == 0);
        state.quotas.tick(&state.quota_view());
        state.retries.lock().tick(now);
        live_peers = log_peers(&state, live_peers, now);
        metrics::gauge!("umberglade_stream_origins").set(state.origins.known().len() as f64);
        metrics::gauge!("umberglade_limited_servers")
            .set(state.fleet().limits.active_count() as f64);
        metrics::gauge!("umberglade_broken_paths").set(state.fleet().paths.broken_count() as f64);
        metrics::gauge!("umberglade_tunnels_served").set(f64::from(state.tunnel_slots.used()));
        metrics::gauge!("umberglade_in_flight").set(f64::from(state.in_flight.requests()));
        let memory = &state.caller_memory;
        metrics::gauge!("umberglade_caller_memory_bytes").set(memory.held_bytes() as f64);
        metrics::gauge!("umberglade_caller_connections").set(memory.connections() as f64);
        metrics::gauge!("umberglade_kept_connections").set(state.pool.len() as f64);
    }
}
