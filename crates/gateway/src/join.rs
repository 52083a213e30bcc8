//! Joins the other gateways at the start of the process.
//!
//! A gateway that starts reads the first registered ones from the store, reports to some of them,
//! and takes the list of all gateways and the content of the tables from them. Only where few
//! gateways are registered does each read the store for itself.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use event_listener::EventListener;

use crate::codec::PlatformCodec;
use crate::events;
use crate::model::RowBatch;
use crate::model::RowValue;
use crate::model::StoreStamp;
use crate::model::StoreTable;
use crate::peers::MemberRecord;
use crate::peers::PeerRegistry;
use crate::state::GatewayState;
use crate::store::MemberRow;
use crate::store::MemberSink;
use crate::store::StoreClient;
use crate::store::TableFollower;
use crate::store::TableReader;
use crate::store::TableSink;
use crate::timing::with_deadline;

/// How long the first read of the registered gateways waits for this gateway's own registration, so
/// that of two gateways that start together at least one reads the other's row. The store takes
/// longer only where it registers hundreds, and some of them are listed by then.
const REGISTRATION_WAIT: Duration = Duration::from_millis(500);
/// How long tables wait for this gateway to learn whether peers have their content.
pub(crate) const JOIN_TIMEOUT: Duration = Duration::from_millis(1500);
/// Number of registered gateways that are read.
const FIRST_ROWS: u32 = 16;
/// Number of those to which this gateway reports at once.
const MAX_GREETED: usize = 4;
/// With fewer gateways, each reads the tables for itself.
const MIN_GATEWAYS: usize = 9;
/// How long the first of the registered gateways leaves the tables to others that may have them.
const BASE_WAIT: Duration = Duration::from_millis(300);
/// Added for each registered gateway before this one.
const WAIT_PER_RANK: Duration = Duration::from_millis(400);
/// How long gateways that are not among the first leave the tables to others. Where all start
/// together, some first have to list them.
const LONGEST_WAIT: Duration = Duration::from_secs(9);
/// A gateway that hears no other one for this long reads the tables for itself.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval between two reads of the registered gateways where there are few. One that registers
/// later reads this one's row after that and reports to it, so that this one knows it immediately. A
/// gateway that missed both the row and the reports of another one finds its row with the next read.
const MEMBER_READ_INTERVAL: Duration = Duration::from_secs(30);
/// Interval at which a gateway checks whether it still hears others.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Joins the other gateways, and keeps knowing them until the process stops. `registered` resolves
/// when this gateway is registered.
pub(crate) async fn join_peers<C: PlatformCodec>(
    state: Arc<GatewayState>,
    registry: Arc<PeerRegistry>,
    mut registered: EventListener,
) {
    let is_registered =
        with_deadline(Instant::now() + REGISTRATION_WAIT, &mut registered).await.is_some();
    // Where that takes longer, the others' rows are read again once it is done.
    let registered = if is_registered { state.registered.listen() } else { registered };
    let mut client = StoreClient::<C>::new(&state);
    let first = client.read_first_rows(StoreTable::Members, FIRST_ROWS).await;
    let Ok(first) = first else { return follow_members::<C>(state, registry, None).await };
    let known = KnownRows { through: first.through, registered };
    let members = member_records(&first);
    leave_tables_to_peers(&state, &members, first.has_more);
    if !first.has_more {
        let mut sink = MemberSink::new(Arc::clone(&state), Arc::clone(&registry));
        sink.apply_listing(first.rows, first.through);
        return follow_members::<C>(state, registry, Some(known)).await;
    }
    registry.merge(members.clone());
    state.set_members(registry.len());
    greet(&state, members);
    if !hears_others(&state).await {
        state.shared_tables.wait_for_peers(Instant::now());
    }
    while !state.fleet().peers.is_empty() {
        smol::Timer::after(CHECK_INTERVAL).await;
    }
    // None of those that were to tell of others can be reached.
    follow_members::<C>(state, registry, None).await;
}

/// What the first read of the registered gateways has shown.
struct KnownRows {
    /// The rows up to here are known.
    through: StoreStamp,
    /// Resolves once this gateway's own row was written after that read.
    registered: EventListener,
}

/// Follows the table of gateways until the process stops, from the rows in `known` on if there are
/// any: these are not read again before [`MEMBER_READ_INTERVAL`] or this gateway's registration.
async fn follow_members<C: PlatformCodec>(
    state: Arc<GatewayState>,
    registry: Arc<PeerRegistry>,
    known: Option<KnownRows>,
) {
    let members = TableFollower {
        reader: TableReader::<C>::new(&state, StoreTable::Members),
        table: StoreTable::Members,
        expiry_time: Duration::ZERO,
        sink: MemberSink::new(state, registry),
        feed_wait: Duration::ZERO,
        min_interval: MEMBER_READ_INTERVAL,
        coordinator: None,
        initial_position: known.as_ref().map(|known| known.through),
    };
    if let Some(KnownRows { registered, .. }) = known {
        with_deadline(Instant::now() + MEMBER_READ_INTERVAL, registered).await;
    }
    members.run().await;
}

fn member_records(batch: &RowBatch) -> Vec<MemberRecord> {
    let rows = batch.rows.iter();
    rows.filter_map(|row| match &row.value {
        RowValue::Held(value) => MemberRow::decode(&row.key, value).ok(),
        RowValue::Removed | RowValue::Unreadable(_) => None,
    })
    .collect()
}

/// Decides how long the tables wait for the content that peers send. `members` are the first of the
/// registered gateways; there are more if the list `is_truncated`.
///
/// Gateways that start together wait the longer the more registered ones precede them, so that one
/// of them lists the tables and sends them to the others.
fn leave_tables_to_peers(state: &GatewayState, members: &[MemberRecord], is_truncated: bool) {
    let rank = members.iter().position(|member| member.name == state.settings.instance);
    let wait = match rank {
        _ if !is_truncated && members.len() < MIN_GATEWAYS => Duration::ZERO,
        Some(rank) => BASE_WAIT + WAIT_PER_RANK * rank as u32,
        None if is_truncated => LONGEST_WAIT.mul_f64(1.0 + 0.5 * fastrand::f64()),
        None => BASE_WAIT,
    };
    state.shared_tables.wait_for_peers(Instant::now() + wait);
    tracing::info!(
        event = events::PEERS_FOUND,
        gateways = members.len(),
        is_truncated,
        rank,
        wait_ms = wait.as_millis() as u64,
        "registered gateways found"
    );
}

/// Reports to some of `members` at once.
fn greet(state: &GatewayState, members: Vec<MemberRecord>) {
    let mut others = members;
    others.retain(|member| member.name != state.settings.instance);
    fastrand::shuffle(&mut others);
    others.iter().take(MAX_GREETED).for_each(|member| state.greet(member.address));
}

/// Returns true as soon as another gateway is heard, and false if none is for
/// [`SILENCE_TIMEOUT`].
async fn hears_others(state: &GatewayState) -> bool {
    let deadline = Instant::now() + SILENCE_TIMEOUT;
    while state.fleet().peers.is_empty() {
        if Instant::now() >= deadline {
            return false;
        }
        let heard = state.capacity_changed.listen();
        with_deadline(deadline, heard).await;
    }
    true
}
