//! Polls the prefill and decode pools, and changes their sizes if this gateway claims the
//! leadership.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::leader_row::LEASE_DURATION;
use super::leader_row::LeaderRow;
use super::leader_row::is_claimable;
use super::order::send_order;
use crate::cluster::StageChange;
use crate::cluster::StageMonitor;
use crate::cluster::StageSnapshot;
use crate::cluster::choose_stage_change;
use crate::cluster::stage_snapshot;
use crate::codec::PlatformCodec;
use crate::events;
use crate::forward::send_target;
use crate::model::EngineSpec;
use crate::model::RowValue;
use crate::model::ServiceName;
use crate::model::StoreRow;
use crate::model::StoreStamp;
use crate::model::StoreTable;
use crate::state::GatewayState;
use crate::store::StoreClient;
use crate::store::StoreError;
use crate::store::log_unreadable;
use crate::timing::boottime_clock;
use crate::upstream::SendTarget;

/// Interval at which the pools are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// How long a gateway must have read the store without an outage before it may act as the leader.
const MIN_STABLE_DURATION: Duration = Duration::from_secs(2);
/// Time after sending the claim in which orders may be sent, by a clock that also counts the time
/// for which the instance was suspended.
const ORDER_WINDOW: Duration = Duration::from_secs(2);
/// Key of the leader's row.
const STAGES_KEY: &str = "stages";

/// Adjusts the sizes of the prefill and decode pools until the process stops.
pub async fn run_stage_controller<C: PlatformCodec>(state: Arc<GatewayState>) {
    let mut client = StoreClient::<C>::new(&state);
    let mut monitors: HashMap<ServiceName, StageMonitor> = HashMap::new();
    loop {
        smol::Timer::after(POLL_INTERVAL).await;
        let Some(table) = state.route_table() else { continue };
        for (service, spec) in &table.services {
            let Some(spec) = &spec.engine else { continue };
            let monitor = monitors.entry(service.clone()).or_default();
            let now = Instant::now();
            let snapshot = service_snapshot(&state, service, spec, now);
            let Some(change) = monitor.update(snapshot, now) else { continue };
            if !is_leader_candidate(&state, now) {
                continue;
            }
            monitor.start_cooldown(now);
            change_stages::<C>(&state, &mut client, service, snapshot, change).await;
        }
    }
}

fn service_snapshot(
    state: &GatewayState,
    service: &ServiceName,
    spec: &EngineSpec,
    now: Instant,
) -> StageSnapshot {
    let local_queued = state.service_queues.with_queue(service, |queue| queue.len());
    let queued = local_queued + state.peer_queues(service).waiting as usize;
    let snapshot = stage_snapshot(&state.fleet(), service, queued, now);
    let target_prefill =
        state.estimates(service).balance.target_prefill_servers(snapshot.engines(), spec);
    StageSnapshot { target_prefill, ..snapshot }
}

/// Returns false also while a claim may be in force that the store has lost with its copy, and while
/// this gateway reaches few engines: an order goes to its engine directly.
fn is_leader_candidate(state: &GatewayState, now: Instant) -> bool {
    if state.store_eras.age().is_some_and(|age| age < LEASE_DURATION) {
        return false;
    }
    let fleet = state.fleet();
    fleet.store_stable_duration(now) >= MIN_STABLE_DURATION
        && !fleet.paths.is_cut()
        && fleet.peers.is_leader_candidate(state.digest, MIN_STABLE_DURATION, now)
}

async fn change_stages<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    client: &mut StoreClient<C>,
    service: &ServiceName,
    snapshot: StageSnapshot,
    change: StageChange,
) {
    let started_at = boottime_clock();
    let fence = match claim_leadership(state, client).await {
        Ok(Some(fence)) => fence,
        Ok(None) => {
            log_claim(service, snapshot, change, "held by another");
            return;
        }
        Err(error) => {
            log_claim(service, snapshot, change, &error.to_string());
            return;
        }
    };
    log_claim(service, snapshot, change, "claimed");
    let chosen = choose_stage_change(&state.fleet(), service, change, Instant::now());
    for server in chosen {
        if state.fleet().has_limit(&server) {
            continue;
        }
        let Some(target) = send_target(state, &server, None) else { continue };
        // Uses a new connection, so that the report and the order reach the same process.
        let target = SendTarget { may_reuse: false, ..target };
        let is_within_window = || boottime_clock().saturating_sub(started_at) < ORDER_WINDOW;
        let result = send_order::<C>(state, &target, change.to, fence, is_within_window).await;
        if result.is_ok() {
            state.fleet().begin_stage_change(&server, change.to, Instant::now());
            state.report_requested.notify(1);
        }
        metrics::counter!("umberglade_orders_total").increment(1);
        tracing::info!(
            event = events::ENGINE_ORDERED,
            %server,
            peer = %target.address,
            stage = %change.to,
            fence = fence.fencing_token(),
            outcome = result.err().map_or("accepted".to_owned(), |error| error.to_string()),
            "stage order sent to engine"
        );
    }
}

/// Claims the leadership. Returns its fencing token, or `None` if another gateway holds it.
///
/// A claim whose response is lost is not used: it only excludes other gateways until it expires.
async fn claim_leadership<C: PlatformCodec>(
    state: &GatewayState,
    client: &mut StoreClient<C>,
) -> Result<Option<StoreStamp>, StoreError> {
    let batch = client.read_small_table(StoreTable::Duties).await?;
    let row = batch.rows.iter().find(|row| row.key == STAGES_KEY);
    let current = row.and_then(decode_claim);
    if !is_claimable(current.as_ref(), batch.store_time) {
        return Ok(None);
    }
    let until = batch.store_time + LEASE_DURATION;
    let claimed = LeaderRow { holder: state.settings.instance.clone(), until };
    let value = postcard::to_allocvec(&claimed).expect("encoding plain fields");
    let stamp = row.map_or(StoreStamp::NONE, |row| row.stamp);
    client.claim(StoreTable::Duties, STAGES_KEY, &value, stamp).await
}

/// Decodes the claim in `row`. One that can't be decoded counts as none: no gateway could renew it
/// or wait for its end.
fn decode_claim(row: &StoreRow) -> Option<LeaderRow> {
    let RowValue::Held(value) = &row.value else { return None };
    match postcard::from_bytes(value) {
        Ok(claim) => Some(claim),
        Err(error) => {
            log_unreadable(StoreTable::Duties, row, &error.to_string());
            None
        }
    }
}

fn log_claim(service: &ServiceName, snapshot: StageSnapshot, change: StageChange, outcome: &str) {
    tracing::info!(
        event = events::LEADERSHIP_CLAIMED,
        %service,
        stage = %change.to,
        count = change.count,
        prefill = snapshot.prefill,
        prefill_busy = snapshot.prefill_busy,
        decode = snapshot.decode,
        waiting = snapshot.queued,
        wanted = snapshot.target_prefill,
        outcome,
        "stage change needed"
    );
}
