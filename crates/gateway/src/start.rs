//! Puts a gateway together, sets it serving, and stops it.

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
use crate::leader::run_stage_controller;
use crate::model::GatewaySettings;
use crate::model::StoreTable;
use crate::peers;
use crate::peers::PeerRegistry;
use crate::quarantine;
use crate::state::GatewayState;
use crate::stop::FLUSH_TIME;
use crate::stop::GRACE_MARGIN;
use crate::stop::MIN_STOP;
use crate::store::ConfigSink;
use crate::store::MemberRow;
use crate::store::MemberSink;
use crate::store::QuarantineSink;
use crate::store::ServerSink;
use crate::store::StoreClient;
use crate::store::TableFollower;
use crate::store::TableSharing;

/// The part of the configuration's bound that its feed waits at the store:
/// with the call's margin and a new connection, a connection that has gone
/// silent hides a change for less than the bound. Where many gateways tell
/// each other what is in force, they wait longer.
const CONFIG_WAIT_PART: f64 = 0.5;
/// The part of the drain bound between two reads of the servers, which
/// change all the time: so their changes come in batches. A leaving server
/// is known within the bound though a call is lost and made again: 0.6 of
/// two seconds, and 0.8 s.
const SERVER_PACE_PART: f64 = 0.6;
/// The part of the drain bound that the servers' feed waits at the store.
const SERVER_WAIT_PART: f64 = 0.35;
/// Between two reads of the gateways: whoever registers later has read of this
/// one and reports to it, by which it is known at once. A gateway that missed
/// both the row and the reports of another learns of it then.
const MEMBER_PACE: Duration = Duration::from_secs(30);
/// Configurations may come in quick succession; they are read one by one.
const CONFIG_PACE: Duration = Duration::from_millis(50);
/// How long the feed of requests held back waits at the store, twice as long as
/// where gateways read it for each other: its rows change rarely, and the feed
/// tells of them at once.
const QUARANTINE_WAIT: Duration = Duration::from_secs(8);
/// Between two reads of the requests held back, so that several that change at
/// a time cost one call.
const QUARANTINE_PACE: Duration = Duration::from_millis(200);
/// Pauses between tries to register with the store.
const REGISTER_PAUSE: Duration = Duration::from_millis(500);
/// How often a stop looks whether anything is still in flight.
const BUSY_PAUSE: Duration = Duration::from_millis(20);
/// How often beliefs and kept connections past their time are dropped.
const TICK: Duration = Duration::from_millis(500);

/// Why a gateway could not start; names the address.
#[derive(Debug, Snafu)]
pub enum GatewayError {
    #[snafu(display("binding {address}: {source}"))]
    Bind { address: SocketAddr, source: io::Error },
}

/// Binds and serves on the worker pool; returns once callers can connect.
pub async fn start<C: PlatformCodec>(
    settings: GatewaySettings,
    metrics: Option<PrometheusHandle>,
) -> Result<Arc<GatewayState>, GatewayError> {
    let mut settings = settings;
    let front = bind(&mut settings.front).await?;
    let ready = bind(&mut settings.ready).await?;
    let metrics_listener = bind_metrics(&mut settings).await;
    let address = settings.peer;
    let socket = UdpSocket::bind(address).await.context(BindSnafu { address })?;
    settings.peer = socket.local_addr().context(BindSnafu { address })?;
    let copies = bind_copies(settings.peer).await;
    let state = GatewayState::new(settings, metrics);
    let book = Arc::new(PeerRegistry::default());
    follow::<C>(&state);
    pool::spawn(register::<C>(Arc::clone(&state), Arc::clone(&book)));
    pool::spawn(peers::send_reports(Arc::clone(&state), Arc::clone(&book), socket.clone()));
    pool::spawn(peers::send_rows(Arc::clone(&state), Arc::clone(&book), socket.clone()));
    pool::spawn(peers::receive_reports(Arc::clone(&state), book, socket));
    if let Some(copies) = copies {
        pool::spawn(peers::serve_config(Arc::clone(&state), copies));
    }
    pool::spawn(peers::fetch_newer_configs(Arc::clone(&state)));
    pool::spawn(run_stage_controller::<C>(Arc::clone(&state)));
    pool::spawn(quarantine::run_row_writer::<C>(Arc::clone(&state)));
    pool::spawn(tick(Arc::clone(&state)));
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

/// Stops gracefully: callers are sent elsewhere, requests in flight end.
pub async fn stop(state: &Arc<GatewayState>) {
    let begun = Instant::now();
    state.stop.begin(begun);
    tracing::info!(event = events::STOP_BEGUN, in_flight = state.flights.requests(), "stop begun");
    let latest = begun + state.settings.stop_grace.saturating_sub(GRACE_MARGIN);
    smol::Timer::at((begun + MIN_STOP).min(latest)).await;
    loop {
        while state.flights.is_busy() && Instant::now() < latest {
            smol::Timer::after(BUSY_PAUSE).await;
        }
        // The answers of connections that came too late to be counted.
        smol::Timer::at((Instant::now() + FLUSH_TIME).min(latest)).await;
        // Guards against a call that came in meanwhile: the process's end
        // would cut it with its server at work.
        if !state.flights.is_busy() || Instant::now() >= latest {
            break;
        }
    }
    tracing::info!(
        event = events::GATEWAY_STOPPED,
        in_flight = state.flights.requests(),
        elapsed_ms = begun.elapsed().as_millis() as u64,
        "stopped"
    );
}

/// Binds `at` and puts the bound address there, for one that asks for any
/// free port.
async fn bind(at: &mut SocketAddr) -> Result<TcpListener, GatewayError> {
    let address = *at;
    let listener = TcpListener::bind(address).await.context(BindSnafu { address })?;
    *at = listener.local_addr().context(BindSnafu { address })?;
    Ok(listener)
}

/// The listener that hands the configuration to other gateways. One that can't be
/// had keeps no gateway from serving: the others read the store.
async fn bind_copies(address: SocketAddr) -> Option<TcpListener> {
    match TcpListener::bind(address).await {
        Ok(listener) => Some(listener),
        Err(error) => {
            tracing::warn!(
                event = events::COPIES_UNBOUND,
                %address,
                %error,
                "hands out no configuration"
            );
            None
        }
    }
}

/// The listener for metrics, where one is asked for. One that can't be had
/// keeps no gateway from serving: its port may be taken on some instance.
async fn bind_metrics(settings: &mut GatewaySettings) -> Option<TcpListener> {
    let mut address = settings.metrics?;
    match bind(&mut address).await {
        Ok(listener) => {
            settings.metrics = Some(address);
            Some(listener)
        }
        Err(error) => {
            settings.metrics = None;
            tracing::warn!(event = events::METRICS_UNBOUND, %error, "no address for metrics");
            None
        }
    }
}

fn follow<C: PlatformCodec>(state: &Arc<GatewayState>) {
    let store = state.settings.store;
    let config = TableFollower {
        client: StoreClient::<C>::new(store),
        table: StoreTable::Configuration,
        sink: ConfigSink::<C>::new(Arc::clone(state)),
        wait: state.settings.config_bound.mul_f64(CONFIG_WAIT_PART),
        pace: CONFIG_PACE,
        sharing: Some(TableSharing::new(Arc::clone(state), StoreTable::Configuration)),
    };
    let servers = TableFollower {
        client: StoreClient::<C>::new(store),
        table: StoreTable::Servers,
        sink: ServerSink::<C>::new(Arc::clone(state)),
        wait: state.settings.drain_bound.mul_f64(SERVER_WAIT_PART),
        pace: state.settings.drain_bound.mul_f64(SERVER_PACE_PART),
        sharing: Some(TableSharing::new(Arc::clone(state), StoreTable::Servers)),
    };
    let quarantines = TableFollower {
        client: StoreClient::<C>::new(store),
        table: StoreTable::Quarantines,
        sink: QuarantineSink::new(Arc::clone(state)),
        wait: QUARANTINE_WAIT,
        pace: QUARANTINE_PACE,
        sharing: Some(TableSharing::new(Arc::clone(state), StoreTable::Quarantines)),
    };
    pool::spawn(config.run());
    pool::spawn(servers.run());
    pool::spawn(quarantines.run());
}

/// Writes where this gateway hears its peers, once the store takes it. The
/// row is the same for each start of the instance, so writing it twice
/// (after a lost answer) changes nothing. The others are read after that: of
/// two gateways that start together one at least reads of the other.
async fn register<C: PlatformCodec>(state: Arc<GatewayState>, book: Arc<PeerRegistry>) {
    let mut client = StoreClient::<C>::new(state.settings.store);
    let member = MemberRow { address: state.settings.peer };
    let row = postcard::to_allocvec(&member).expect("encoding an address");
    loop {
        match client.put(StoreTable::Members, &state.settings.instance, &row).await {
            Ok(()) => break,
            Err(error) => {
                tracing::info!(event = events::STORE_LOST, table = "members", %error, "not registered yet");
                smol::Timer::after(REGISTER_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
            }
        }
    }
    let members = TableFollower {
        client,
        table: StoreTable::Members,
        sink: MemberSink::new(state, book),
        wait: Duration::ZERO,
        pace: MEMBER_PACE,
        sharing: None,
    };
    members.run().await;
}

/// Logs when the number of gateways heard has changed from `before`.
fn log_peers(state: &GatewayState, before: usize, now: Instant) -> usize {
    let heard = state.fleet().peers.live_peers(now);
    if heard != before {
        let event = if heard > before { events::PEER_REGAINED } else { events::PEER_LOST };
        let members = state.members();
        tracing::info!(event, peers = heard, before, members, "gateways heard");
    }
    heard
}

async fn tick(state: Arc<GatewayState>) {
    let mut heard = 0;
    loop {
        smol::Timer::after(TICK).await;
        let now = Instant::now();
        let changes = state.fleet().tick(now);
        state.log_changes(&changes, 0);
        state.pool.remove_expired(now);
        let rank = state.fleet().peers.rank(state.digest, now);
        state.quarantines.tick(rank.peers_before == 0);
        state.quotas.tick(&state.quota_view());
        heard = log_peers(&state, heard, now);
        metrics::gauge!("umberglade_limited_servers")
            .set(state.fleet().limits.active_count() as f64);
        metrics::gauge!("umberglade_in_flight").set(f64::from(state.flights.requests()));
        metrics::gauge!("umberglade_kept_connections").set(state.pool.len() as f64);
    }
}
