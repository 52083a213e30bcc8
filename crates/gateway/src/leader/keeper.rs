//! Watches the pools and, where this gateway is the one to act, changes them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::claim::LEASE_TIME;
use super::claim::LeaderRow;
use super::claim::may_claim;
use super::order::give_order;
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
use crate::model::StoreTable;
use crate::model::StoreVersion;
use crate::state::GatewayState;
use crate::store::FollowError;
use crate::store::StoreClient;
use crate::store::log_unreadable;
use crate::timing::waking_clock;
use crate::upstream::SendTarget;

/// Between two looks at the pools.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// How long a gateway must have read the store to act for all.
const CALM_TIME: Duration = Duration::from_secs(2);
/// Orders go out within this of the claim's sending, by a clock that also
/// counts the time in which the instance was suspended.
const ORDER_TIME: Duration = Duration::from_secs(2);
/// The row of the duty.
const STAGES_KEY: &str = "stages";

/// Keeps the pools in shape, for good.
pub async fn run_stage_controller<C: PlatformCodec>(state: Arc<GatewayState>) {
    let mut client = StoreClient::<C>::new(state.settings.store);
    let mut watches: HashMap<ServiceName, StageMonitor> = HashMap::new();
    loop {
        smol::Timer::after(LOOK_EVERY).await;
        let Some(table) = state.table() else { continue };
        for (service, spec) in &table.services {
            let Some(spec) = &spec.engine else { continue };
            let watch = watches.entry(service.clone()).or_default();
            let now = Instant::now();
            let look = look(&state, service, spec, now);
            let Some(change) = watch.update(look, now) else { continue };
            if !is_ours(&state, now) {
                continue;
            }
            watch.start_cooldown(now);
            act::<C>(&state, &mut client, service, look, change).await;
        }
    }
}

fn look(
    state: &GatewayState,
    service: &ServiceName,
    spec: &EngineSpec,
    now: Instant,
) -> StageSnapshot {
    let own = state.service_queues.with_queue(service, |line| line.len());
    let waiting = own + state.other_lines(service).waiting as usize;
    let look = stage_snapshot(&state.fleet(), service, waiting, now);
    let target_prefill =
        state.learned(service).balance.target_prefill_servers(look.engines(), spec);
    StageSnapshot { target_prefill, ..look }
}

fn is_ours(state: &GatewayState, now: Instant) -> bool {
    let fleet = state.fleet();
    fleet.store_stable_duration(now) >= CALM_TIME
        && fleet.peers.is_leader_candidate(state.digest, CALM_TIME, now)
}

async fn act<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    client: &mut StoreClient<C>,
    service: &ServiceName,
    look: StageSnapshot,
    change: StageChange,
) {
    let begun = waking_clock();
    let fence = match claim(state, client).await {
        Ok(Some(fence)) => fence,
        Ok(None) => {
            log_claim(service, look, change, "held by another");
            return;
        }
        Err(error) => {
            log_claim(service, look, change, &error.to_string());
            return;
        }
    };
    log_claim(service, look, change, "claimed");
    let chosen = choose_stage_change(&state.fleet(), service, change, Instant::now());
    for server in chosen {
        if state.fleet().has_limit(&server) {
            continue;
        }
        let Some(target) = send_target(state, &server) else { continue };
        // A connection of its own, so that order and report go to one process.
        let target = SendTarget { may_reuse: false, ..target };
        let may_still = || waking_clock().saturating_sub(begun) < ORDER_TIME;
        let given = give_order::<C>(state, &target, change.to, fence, may_still).await;
        if given.is_ok() {
            state.fleet().begin_stage_change(&server, change.to, Instant::now());
            state.work_changed.notify(1);
        }
        metrics::counter!("umberglade_orders_total").increment(1);
        tracing::info!(
            event = events::ENGINE_ORDERED,
            %server,
            peer = %target.address,
            stage = %change.to,
            fence,
            outcome = given.err().map_or("accepted".to_owned(), |error| error.to_string()),
            "engine told to change its stage"
        );
    }
}

/// Claims the duty; its fencing number, or `None` when another has it.
///
/// A claim whose answer is lost is not used: it only keeps others away until
/// it ends.
async fn claim<C: PlatformCodec>(
    state: &GatewayState,
    client: &mut StoreClient<C>,
) -> Result<Option<StoreVersion>, FollowError> {
    let batch = client.look(StoreTable::Duties).await?;
    let row = batch.rows.iter().find(|row| row.key == STAGES_KEY);
    let known = row.and_then(known_claim);
    if !may_claim(known.as_ref(), batch.store_time) {
        return Ok(None);
    }
    let until = batch.store_time + LEASE_TIME;
    let claimed = LeaderRow { holder: state.settings.instance.clone(), until };
    let value = postcard::to_allocvec(&claimed).expect("encoding plain fields");
    let version = row.map_or(0, |row| row.version);
    client.claim(StoreTable::Duties, STAGES_KEY, &value, version).await
}

/// The claim that `row` holds. One that can't be read counts as none: nobody
/// could ever renew it or wait for its end.
fn known_claim(row: &StoreRow) -> Option<LeaderRow> {
    let RowValue::Held(value) = &row.value else { return None };
    match postcard::from_bytes(value) {
        Ok(claim) => Some(claim),
        Err(error) => {
            log_unreadable(StoreTable::Duties, row, &error.to_string());
            None
        }
    }
}

fn log_claim(service: &ServiceName, look: StageSnapshot, change: StageChange, outcome: &str) {
    tracing::info!(
        event = events::DUTY_CLAIMED,
        %service,
        stage = %change.to,
        count = change.count,
        prefill = look.prefill,
        prefill_busy = look.prefill_busy,
        decode = look.decode,
        waiting = look.queued,
        wanted = look.target_prefill,
        outcome,
        "engines should change their stage"
    );
}
