//! The tasks that follow the store's tables.

use std::sync::Arc;
use std::time::Duration;

use crate::codec::PlatformCodec;
use crate::model::StoreTable;
use crate::panics::spawn_restarted;
use crate::state::GatewayState;
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

/// Starts to follow the tables that every gateway needs.
pub fn follow_tables<C: PlatformCodec>(state: &Arc<GatewayState>) {
    spawn_restarted("follow_configuration", state, follow_configuration::<C>);
    spawn_restarted("follow_servers", state, follow_servers::<C>);
    spawn_restarted("follow_quarantines", state, follow_quarantines::<C>);
}

async fn follow_configuration<C: PlatformCodec>(state: Arc<GatewayState>) {
    let follower = TableFollower {
        reader: TableReader::<C>::new(&state, StoreTable::Configuration),
        table: StoreTable::Configuration,
        sink: ConfigSink::<C>::new(Arc::clone(&state)),
        feed_wait: state.settings.config_bound.mul_f64(CONFIG_WAIT_FRACTION),
        min_interval: CONFIG_READ_INTERVAL,
        coordinator: Some(TableCoordinator::new(Arc::clone(&state), StoreTable::Configuration)),
        expiry_time: expiry_time(&state),
        initial_position: None,
    };
    follower.run().await;
}

async fn follow_servers<C: PlatformCodec>(state: Arc<GatewayState>) {
    let follower = TableFollower {
        reader: TableReader::<C>::new(&state, StoreTable::Servers),
        table: StoreTable::Servers,
        sink: ServerSink::<C>::new(Arc::clone(&state)),
        feed_wait: state.settings.drain_bound.mul_f64(SERVER_WAIT_FRACTION),
        min_interval: state.settings.drain_bound.mul_f64(SERVER_READ_INTERVAL_FRACTION),
        coordinator: Some(TableCoordinator::new(Arc::clone(&state), StoreTable::Servers)),
        expiry_time: expiry_time(&state),
        initial_position: None,
    };
    follower.run().await;
}

async fn follow_quarantines<C: PlatformCodec>(state: Arc<GatewayState>) {
    let follower = TableFollower {
        reader: TableReader::<C>::new(&state, StoreTable::Quarantines),
        table: StoreTable::Quarantines,
        sink: QuarantineSink::new(Arc::clone(&state)),
        feed_wait: QUARANTINE_WAIT,
        min_interval: QUARANTINE_READ_INTERVAL,
        coordinator: Some(TableCoordinator::new(Arc::clone(&state), StoreTable::Quarantines)),
        expiry_time: expiry_time(&state),
        initial_position: None,
    };
    follower.run().await;
}

fn expiry_time(state: &GatewayState) -> Duration {
    state.settings.server_heartbeat.mul_f64(EXPIRY_HEARTBEATS)
}
