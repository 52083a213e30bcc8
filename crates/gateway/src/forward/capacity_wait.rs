//! Waits until engines have room for a stream.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::Response;

use super::Call;
use super::GatewayBody;
use super::Rejection;
use super::admit::log_held;
use super::admit::retry_after;
use super::attempts::Attempts;
use super::reject::next_send_after;
use super::reject::reject_call;
use crate::cluster::AdmissionQueue;
use crate::cluster::EnginePlacement;
use crate::cluster::FirstEventTime;
use crate::cluster::LoadShare;
use crate::cluster::PeerQueues;
use crate::cluster::PlacementError;
use crate::cluster::PlacementRequest;
use crate::cluster::QueueRequest;
use crate::cluster::Ticket;
use crate::cluster::place_engine;
use crate::cluster::server_digest;
use crate::events;
use crate::load_guard::LoadGuard;
use crate::model::EngineSpec;
use crate::model::PromptShape;
use crate::model::RequestRate;
use crate::model::ServerKey;
use crate::state::GatewayState;
use crate::timing::by_deadline;

/// From the room's being found to the first event, where what is learned of it
/// is not asked for.
pub(super) const FIRST_EVENT_TIME: Duration = FirstEventTime::UNKNOWN;
/// The first in line looks again this often: room at a server may come free
/// without any event of ours.
const LOOK_AGAIN: Duration = Duration::from_millis(40);
/// Within this the others usually know who is first here: a report takes a hop
/// of under two milliseconds, and a wake-up at each end. Where its sender has told
/// of much else it waits up to 50 ms for its budget, and two may meet.
const TELL_TIME: Duration = Duration::from_millis(25);
/// How soon to come back when a service has no server at all: about the
/// time in which a new one registers.
const NO_SERVER_RETRY: Duration = Duration::from_millis(1000);
/// Callers give up on a stream after the longest of this, four target
/// latencies and eight target gaps without an event.
const MIN_GIVE_UP: Duration = Duration::from_secs(2);

/// Room for a stream: the work is counted at both servers.
pub(super) struct PlacedStream {
    pub decode: LoadGuard,
    pub prefill: Option<LoadGuard>,
}

/// A place in line, given up when dropped.
struct QueueTicket<'a> {
    state: &'a Arc<GatewayState>,
    call: &'a Call,
    ticket: Ticket,
    is_placed: bool,
}

impl Drop for QueueTicket<'_> {
    fn drop(&mut self) {
        let now = Instant::now();
        self.state
            .service_queues
            .with_line(&self.call.service, |line| line.leave(self.ticket, self.is_placed, now));
        self.state.room.notify(usize::MAX);
    }
}

/// Waits in line until a decode server has room. The refusal, when there is
/// none in time or the line is too long, is made at once.
pub(super) async fn wait_for_capacity(
    state: &Arc<GatewayState>,
    call: &Call,
    attempts: &Attempts,
    spec: &EngineSpec,
    shape: &PromptShape,
) -> Result<PlacedStream, Response<GatewayBody>> {
    let now = Instant::now();
    let learned = state.learned(&call.service);
    let run_time = learned.outputs.run_time(shape.expected_output());
    let asker = QueueRequest {
        occupancy: occupancy(shape, learned.opening.likely() + run_time),
        on_time_until: on_time_until(call, &learned.opening),
        tried_for: call.tried_for,
    };
    let give_up = give_up_at(call, run_time);
    let patience = give_up.saturating_duration_since(now);
    let others = state.other_lines(&call.service);
    let joined = state
        .service_queues
        .with_line(&call.service, |line| line.join(asker, patience, others, now));
    let ticket = joined.map_err(|refusal| {
        log_no_room(state, call, others, refusal.predicted);
        reject_call(call, Rejection::NoRoom, Some(refusal.retry_after), 0)
    })?;
    let mut place = QueueTicket { state, call, ticket, is_placed: false };
    let mut is_told = false;
    loop {
        let woken = state.room.listen();
        let held = attempts.held_back(state, call);
        let is_provisional = held.is_some_and(|held| held.is_provisional);
        if let Some(held) = held.filter(|_| !is_provisional) {
            log_held(call, held, 0, "left the line");
            return Err(reject_call(call, Rejection::Quarantined, Some(retry_after(held)), 0));
        }
        let now = Instant::now();
        let leads =
            state.service_queues.with_line(&call.service, |line| line.leads_since(ticket, now));
        let tries_at = leads.map(|since| tries_at(state, call, since));
        if tries_at.is_some_and(|at| now < at) && !is_told {
            state.work_changed.notify(1);
            is_told = true;
        }
        if tries_at.is_some_and(|at| now >= at) && !is_provisional {
            match try_place(state, call, spec, shape) {
                Ok(placed) => {
                    place.is_placed = true;
                    return Ok(placed);
                }
                Err(PlacementError::NoServer) => {
                    return Err(reject_call(call, Rejection::NoServer, Some(NO_SERVER_RETRY), 0));
                }
                Err(PlacementError::NoRoom) if is_rate_limited_until(state, call, give_up) => {
                    let after = next_send_after(state, call, now);
                    return Err(reject_call(call, Rejection::RateLimited, after, 0));
                }
                Err(PlacementError::NoRoom) => {
                    state.service_queues.with_line(&call.service, AdmissionQueue::note_no_room);
                    if !is_told {
                        state.work_changed.notify(1);
                        is_told = true;
                    }
                }
            }
        }
        if now >= give_up {
            let after = room_after(state, call);
            log_no_room(state, call, state.other_lines(&call.service), after);
            return Err(reject_call(call, Rejection::NoRoom, Some(after), 0));
        }
        let look_at = match tries_at {
            Some(at) if now < at => at,
            Some(_) => now + LOOK_AGAIN,
            None if is_provisional => now + LOOK_AGAIN,
            None => give_up,
        };
        by_deadline(look_at.min(give_up), woken).await;
    }
}

/// When the first in line, which it has been `since` then, may look for room: at
/// once while nobody waits anywhere.
///
/// Guards against gateways that meet at an engine's last place: 250 requests a
/// second look for room, one each 4 ms, and each that comes takes itself for
/// the first of all until the others' reports say otherwise. A quarter of what
/// 79 gateways placed in a burst was rejected by a full engine, its prompt read
/// for nothing.
fn tries_at(state: &GatewayState, call: &Call, since: Instant) -> Instant {
    if state.other_lines(&call.service).waiting == 0 { since } else { since + TELL_TIME }
}

/// True when the rate limits allow this gateway no request to a server that decodes
/// until after `until`.
fn is_rate_limited_until(state: &GatewayState, call: &Call, until: Instant) -> bool {
    let now = Instant::now();
    next_send_after(state, call, now).is_some_and(|after| now + after > until)
}

/// When the lines ahead should have passed.
pub(super) fn room_after(state: &GatewayState, call: &Call) -> Duration {
    let others = state.other_lines(&call.service);
    state.service_queues.with_line(&call.service, |line| line.retry_after(others, Instant::now()))
}

/// Logs what decided that a request finds no room.
fn log_no_room(state: &GatewayState, call: &Call, others: PeerQueues, predicted: Duration) {
    let waiting = state.service_queues.with_line(&call.service, |line| line.len());
    let now = Instant::now();
    let fleet = state.fleet();
    let (mut servers, mut running) = (0, 0);
    for (server_state, others) in fleet.available_servers(&call.service, now) {
        servers += 1;
        running += server_state.local_load.plus(others.load).running;
    }
    tracing::info!(
        event = events::NO_CAPACITY,
        request_id = call.id(),
        service = %call.service,
        config = call.config,
        servers,
        running,
        waiting,
        waiting_elsewhere = others.waiting,
        pace_elsewhere = others.pace,
        gateways_heard = fleet.peers.fresh_count(now),
        predicted_ms = predicted.as_millis() as u64,
        waited_ms = call.age_ms(),
        "no room at any engine"
    );
}

/// What a stream of `shape` that stays for `stay` takes of an engine: half of
/// its answer is held on the mean.
fn occupancy(shape: &PromptShape, stay: Duration) -> u64 {
    let held = u64::from(shape.prompt_tokens) + u64::from(shape.expected_output()) / 2;
    held.saturating_mul(stay.as_millis() as u64)
}

/// Until when an answer begun, which takes `opening` to its first event, is
/// still on time.
///
/// The target counts from the caller's first try. Guards against callers who
/// come back after a refusal, late in any case, taking room from those who
/// could still be on time.
fn on_time_until(call: &Call, opening: &FirstEventTime) -> Instant {
    let target = call.route.target_latency.unwrap_or(MIN_GIVE_UP);
    call.arrived + opening.latest_start(target).saturating_sub(call.tried_for)
}

/// When waiting ends: so that the first event still comes before the caller
/// gives up on it, and the whole answer, which takes `run_time` from then on,
/// before the deadline.
///
/// Guards against answers cut at their deadline: a caller that comes back
/// after a refusal has little time left, and engines worked for seconds on
/// what nobody got.
fn give_up_at(call: &Call, run_time: Duration) -> Instant {
    let target = call.route.target_latency.unwrap_or_default();
    let gap = call.route.target_gap.unwrap_or_default();
    let caller = MIN_GIVE_UP.max(target * 4).max(gap * 8);
    (call.arrived + caller).min(call.deadline - run_time) - FIRST_EVENT_TIME * 2
}

fn try_place(
    state: &Arc<GatewayState>,
    call: &Call,
    spec: &EngineSpec,
    shape: &PromptShape,
) -> Result<PlacedStream, PlacementError> {
    let EnginePlacement { decode, prefill, cost } = {
        let now = Instant::now();
        let line = state.service_queues.with_line(&call.service, |line| line.news(now));
        let fleet = state.fleet();
        let service = server_digest(&call.service);
        let ahead = line.map_or(0, |line| fleet.peers.queued_ahead(service, &line, now));
        place_engine(&fleet, spec, shape, ahead, &need(state, call, &[]))?
    };
    log_placed(state, call, &decode, prefill.as_ref(), 0, cost);
    let prefill = prefill
        .map(|server| LoadGuard::begin(state, server, LoadShare::of_prompt(shape.prompt_tokens)));
    let decode = LoadGuard::begin(state, decode, LoadShare::of_stream(shape));
    Ok(PlacedStream { decode, prefill })
}

pub(super) fn log_placed(
    state: &GatewayState,
    call: &Call,
    decode: &ServerKey,
    prefill: Option<&ServerKey>,
    attempt: u32,
    cost: f64,
) {
    let now = Instant::now();
    let fleet = state.fleet();
    let Some(server_state) = fleet.server(decode) else { return };
    let load = fleet.load(server_state, now);
    let shape = call.prompt_shape();
    let prefill_tokens = prefill
        .and_then(|server| fleet.server(server))
        .map_or(0, |server_state| fleet.load(server_state, now).prompt_tokens);
    tracing::info!(
        event = events::ENGINE_PLACED,
        request_id = call.id(),
        route = %call.route.name,
        service = %call.service,
        config = call.config,
        decode = %decode,
        prefill = prefill.map(|server| &**server),
        domain = %server_state.entry.domain,
        row_version = server_state.version,
        own = server_state.local_load.running,
        all = load.running,
        prompt_tokens = load.prompt_tokens,
        output_tokens = load.output_tokens,
        made_tokens = load.made_tokens,
        prefill_tokens,
        own_prompt = shape.prompt_tokens,
        own_output = shape.expected_output(),
        own_limit = shape.output_limit,
        failure_share = server_state.health.failure_fraction(now),
        limit = fleet.limits.limit(server_state.incarnation).map(RequestRate::per_second),
        cost,
        attempt,
        waited_ms = call.age_ms(),
        "placed"
    );
}

pub(super) fn need<'a>(
    state: &'a GatewayState,
    call: &'a Call,
    tried: &'a [ServerKey],
) -> PlacementRequest<'a> {
    PlacementRequest {
        service: &call.service,
        gateway: state.digest,
        domain: &state.settings.domain,
        tried,
        now: Instant::now(),
    }
}
