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
use umberglade_wire::pool;

use crate::codec::PlatformCodec;
use crate::events;
use crate::ingress;
use crate::join::JOIN_TIMEOUT;
use crate::join::join_peers;
use crate::leader::run_stage_controller;
use crate::model::GatewaySettings;
use crate::model::StoreStamp;
use crate::model::StoreTable;
use crate::origins;
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
use crate::stop::STOP_GRACE_MARGIN;
use crate::store::ConfigSink;
use crate::store::QuarantineSink;
use crate::store::ServerSink;
use crate::store::TableCoordinator;
use crate::store::TableFollower;
use crate::store::TableReader;

/// Fraction of the configuration's bound for which its feed waits at the store. Together with the
/// call's margin and a new connection, a connection that has become silent hides a change for less
/// than the bound. Gateways that read the table for each other wait half as long, or rely on their
/// peers' reads.
const CONFIG_WAIT_FRACTION: f64 = 0.5;
/// Fraction of the drain bound between two reads of the servers. They change continually, and the
/// interval batches their changes. A draining server is known within the bound even if a call is
/// lost and retried: 0.6 of two seconds, plus 0.8 s.
const SERVER_READ_INTERVAL_FRACTION: f64 = 0.6;
/// Fraction of the drain bound for which the servers' feed waits at the store.
const SERVER_WAIT_FRACTION: f64 = 0.35;
/// Interval between two reads of the configuration: short, since configurations may follow each
/// other quickly and are read one by one.
const CONFIG_READ_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which the feed of quarantined requests waits at the store: its rows change rarely, and
/// the feed reports changes immediately. Gateways that read the table for each other wait half as
/// long.
const QUARANTINE_WAIT: Duration = Duration::from_secs(8);
/// Interval between two reads of the quarantined requests, so that several simultaneous changes
/// cost one call.
const QUARANTINE_READ_INTERVAL: Duration = Duration::from_millis(200);
/// Number of heartbeats for which the store must have been unavailable for a server's row to have
/// expired: it does after three, the first of which may have begun before.
const EXPIRY_HEARTBEATS: f64 = 2.0;
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
    let registered = state.registered.listen();
    pool::spawn(join_peers::<C>(Arc::clone(&state), Arc::clone(&registry), registered));
    pool::spawn(keep_registered::<C>(Arc::clone(&state)));
    pool::spawn(peers::send_reports(Arc::clone(&state), Arc::clone(&registry), socket.clone()));
    pool::spawn(peers::send_rows(Arc::clone(&state), Arc::clone(&registry), socket.clone()));
    let teller = OriginTeller::new(state.digest, socket.clone(), Arc::clone(&registry));
    state.origins.set_teller(teller);
    pool::spawn(origins::run_announcements::<C>(Arc::clone(&state)));
    pool::spawn(origins::run_restart_checks::<C>(Arc::clone(&state)));
    pool::spawn(origins::run_journal::<C>(Arc::clone(&state)));
    pool::spawn(peers::receive_reports(Arc::clone(&state), Arc::clone(&registry), socket));
    if let Some(listener) = config_listener {
        pool::spawn(peers::serve_transfers(Arc::clone(&state), Arc::clone(&registry), listener));
    }
    pool::spawn(peers::fetch_newer_configs(Arc::clone(&state)));
    pool::spawn(peers::fetch_tables(Arc::clone(&state)));
    pool::spawn(peers::fetch_members(Arc::clone(&state), registry));
    pool::spawn(peers::fetch_usage(Arc::clone(&state)));
    pool::spawn(recheck_broken_paths(Arc::clone(&state)));
    pool::spawn(run_stage_controller::<C>(Arc::clone(&state)));
    pool::spawn(quarantine::run_row_writer::<C>(Arc::clone(&state)));
    pool::spawn(run_maintenance(Arc::clone(&state)));
    pool::spawn(ingress::serve_front::<C>(front, Arc::clone(&state)));
    for listener in [Some(ready), metrics_listener].into_iter().flatten() {
        let state = Arc::clone(&state);
        pool::spawn(async move {
            ingress::serve_ready::<C>(listener, state).await;
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

/// Stops gracefully: callers are directed elsewhere, and requests in flight complete.
pub async fn stop(state: &Arc<GatewayState>) {
    let started_at = Instant::now();
    state.stop.begin(started_at);
    tracing::info!(
        event = events::SHUTDOWN_STARTED,
        in_flight = state.in_flight.requests(),
        "graceful stop started"
    );
    let latest = started_at + state.settings.stop_grace.saturating_sub(STOP_GRACE_MARGIN);
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

fn follow_tables<C: PlatformCodec>(state: &Arc<GatewayState>) {
    let expiry_time = state.settings.server_heartbeat.mul_f64(EXPIRY_HEARTBEATS);
    let config = TableFollower {
        reader: TableReader::<C>::new(state, StoreTable::Configuration),
        table: StoreTable::Configuration,
        sink: ConfigSink::<C>::new(Arc::clone(state)),
        feed_wait: state.settings.config_bound.mul_f64(CONFIG_WAIT_FRACTION),
        min_interval: CONFIG_READ_INTERVAL,
        coordinator: Some(TableCoordinator::new(Arc::clone(state), StoreTable::Configuration)),
        expiry_time,
        initial_position: None,
    };
    let servers = TableFollower {
        reader: TableReader::<C>::new(state, StoreTable::Servers),
        table: StoreTable::Servers,
        sink: ServerSink::<C>::new(Arc::clone(state)),
        feed_wait: state.settings.drain_bound.mul_f64(SERVER_WAIT_FRACTION),
        min_interval: state.settings.drain_bound.mul_f64(SERVER_READ_INTERVAL_FRACTION),
        coordinator: Some(TableCoordinator::new(Arc::clone(state), StoreTable::Servers)),
        expiry_time,
        initial_position: None,
    };
    let quarantines = TableFollower {
        reader: TableReader::<C>::new(state, StoreTable::Quarantines),
        table: StoreTable::Quarantines,
        sink: QuarantineSink::new(Arc::clone(state)),
        feed_wait: QUARANTINE_WAIT,
        min_interval: QUARANTINE_READ_INTERVAL,
        coordinator: Some(TableCoordinator::new(Arc::clone(state), StoreTable::Quarantines)),
        expiry_time,
        initial_position: None,
    };
    pool::spawn(config.run());
    pool::spawn(servers.run());
    pool::spawn(quarantines.run());
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
        state.retries.lock().expect("retries lock").tick(now);
        live_peers = log_peers(&state, live_peers, now);
        metrics::gauge!("umberglade_stream_origins").set(state.origins.known().len() as f64);
        metrics::gauge!("umberglade_limited_servers")
            .set(state.fleet().limits.active_count() as f64);
        metrics::gauge!("umberglade_broken_paths").set(state.fleet().paths.broken_count() as f64);
        metrics::gauge!("umberglade_tunnels_served").set(f64::from(state.tunnel_slots.used()));
        metrics::gauge!("umberglade_in_flight").set(f64::from(state.in_flight.requests()));
        metrics::gauge!("umberglade_kept_connections").set(state.pool.len() as f64);
    }
}
