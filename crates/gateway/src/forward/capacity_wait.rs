//! Queues streams until an engine has capacity for them.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::Response;

use super::Call;
use super::GatewayBody;
use super::Rejection;
use super::admit::log_quarantined;
use super::admit::retry_after;
use super::attempts::Attempts;
use super::reject::next_send_after;
use super::reject::reject_call;
use crate::cluster::AdmissionQueue;
use crate::cluster::EnginePlacement;
use crate::cluster::FirstEventTime;
use crate::cluster::LoadShare;
use crate::cluster::PeerQueues;
use crate::cluster::PlaceShare;
use crate::cluster::PlacementError;
use crate::cluster::PlacementRequest;
use crate::cluster::PlacementTurn;
use crate::cluster::QueueRequest;
use crate::cluster::Ticket;
use crate::cluster::name_digest;
use crate::cluster::place_engine;
use crate::events;
use crate::load_guard::LoadGuard;
use crate::model::PinnedVersion;
use crate::model::PromptShape;
use crate::model::RequestRate;
use crate::model::ServerKey;
use crate::model::SoftwareDigest;
use crate::state::GatewayState;
use crate::timing::with_deadline;

/// Assumed time from the placement to the first event, where the service's estimate is not used.
pub(super) const DEFAULT_FIRST_EVENT_TIME: Duration = FirstEventTime::DEFAULT;
/// Poll interval of the head of the queue: a server may gain capacity without an event at
/// this gateway.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Time within which peers usually know the head of this queue: a report takes a network hop
/// of under 2 ms and a wake-up at each end. A report of a sender with many other updates waits
/// up to 50 ms for send budget, and two gateways may still collide.
const REPORT_PROPAGATION_DELAY: Duration = Duration::from_millis(25);
/// `Retry-After` while a service has no server: about the time in which a new one registers.
pub(super) const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(1000);
/// Callers time out after the longest of this, four target latencies and eight target gaps
/// without an event.
const MIN_CALLER_TIMEOUT: Duration = Duration::from_secs(2);

/// The placement of a stream, whose load is counted at both servers.
pub(super) struct PlacedStream {
    pub decode: LoadGuard,
    pub prefill: Option<LoadGuard>,
}

/// A place in the admission queue, left when dropped.
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
            .with_queue(&self.call.service, |queue| queue.leave(self.ticket, self.is_placed, now));
        self.state.capacity_changed.notify(usize::MAX);
    }
}

/// Waits in the admission queue until a decode server has capacity. Rejects the request at
/// once when the queue is too long or no capacity is expected in time.
pub(super) async fn wait_for_capacity(
    state: &Arc<GatewayState>,
    call: &Call,
    attempts: &Attempts,
) -> Result<PlacedStream, Response<GatewayBody>> {
    let now = Instant::now();
    let shape = &call.prompt_shape();
    let estimates = state.estimates(&call.service);
    let generation_time = estimates.outputs.generation_time(shape.expected_output());
    let queue_request = QueueRequest {
        occupancy: kv_token_millis(shape, estimates.opening.p90() + generation_time),
        target_deadline: latest_start_within_target(call, &estimates.opening),
        retrying_for: call.retrying_for,
    };
    let deadline = queue_deadline(call, generation_time);
    let max_wait = deadline.saturating_duration_since(now);
    let peers = state.peer_queues(&call.service);
    let joined = state
        .service_queues
        .with_queue(&call.service, |queue| queue.join(queue_request, max_wait, peers, now));
    let ticket = joined.map_err(|rejection| {
        log_no_capacity(state, call, peers, rejection.predicted);
        reject_call(call, Rejection::NoRoom, Some(rejection.retry_after), 0)
    })?;
    let mut queue_ticket = QueueTicket { state, call, ticket, is_placed: false };
    let mut is_reported = false;
    loop {
        let wakeup = state.capacity_changed.listen();
        let quarantine = attempts.quarantine_status(state, call);
        let is_provisional = quarantine.is_some_and(|quarantine| quarantine.is_provisional);
        if let Some(quarantine) = quarantine.filter(|_| !is_provisional) {
            log_quarantined(call, quarantine, 0, "left the queue");
            return Err(reject_call(
                call,
                Rejection::Quarantined,
                Some(retry_after(quarantine)),
                0,
            ));
        }
        let now = Instant::now();
        let (lets_others_pass, head_since) =
            state.service_queues.with_queue(&call.service, |queue| {
                (queue.set_held(ticket, is_provisional), queue.head_since(ticket, now))
            });
        if lets_others_pass {
            state.capacity_changed.notify(usize::MAX);
        }
        let earliest_placement = head_since.map(|since| earliest_placement(state, call, since));
        if earliest_placement.is_some_and(|at| now < at) && !is_reported {
            state.report_requested.notify(1);
            is_reported = true;
        }
        if let Some(earliest_placement) = earliest_placement {
            let has_turn = now >= earliest_placement;
            match place_head(state, call, attempts, has_turn) {
                Ok(placed) => {
                    queue_ticket.is_placed = true;
                    return Ok(placed);
                }
                Err(PlacementError::NoServer) => {
                    let rejection = match attempts.pinned_version {
                        PinnedVersion::Any => Rejection::NoServer,
                        _ => Rejection::NoServerOfVersion,
                    };
                    return Err(reject_call(call, rejection, Some(NO_SERVER_RETRY_AFTER), 0));
                }
                Err(PlacementError::NoRoom) if !has_turn => {}
                Err(PlacementError::NoRoom) if is_rate_limited_until(state, call, deadline) => {
                    let retry_after = next_send_after(state, call, now);
                    return Err(reject_call(call, Rejection::RateLimited, retry_after, 0));
                }
                Err(PlacementError::NoRoom) => {
                    state
                        .service_queues
                        .with_queue(&call.service, AdmissionQueue::record_no_capacity);
                    if !is_reported {
                        state.report_requested.notify(1);
                        is_reported = true;
                    }
                }
            }
        }
        if now >= deadline {
            let retry_after = capacity_retry_after(state, call);
            log_no_capacity(state, call, state.peer_queues(&call.service), retry_after);
            return Err(reject_call(call, Rejection::NoRoom, Some(retry_after), 0));
        }
        let poll_at = match earliest_placement {
            Some(at) if now < at => at,
            Some(_) => now + POLL_INTERVAL,
            None if is_provisional => now + POLL_INTERVAL,
            None => deadline,
        };
        with_deadline(poll_at.min(deadline), wakeup).await;
    }
}

/// Returns when a request that became the head of the queue at `since` may be placed beyond this
/// gateway's share: at `since` while no peer has queued requests, [`REPORT_PROPAGATION_DELAY`] later
/// otherwise.
///
/// Prevents gateways from competing for the last slot of an engine. At 250 requests per second
/// a request checks for capacity every 4 ms, and each counts as the head of all queues until
/// reports of peers show otherwise. Without the delay, full engines reject a quarter of the
/// requests that 79 gateways place in a burst, after a wasted prefill.
fn earliest_placement(state: &GatewayState, call: &Call, since: Instant) -> Instant {
    if state.peer_queues(&call.service).waiting == 0 {
        since
    } else {
        since + REPORT_PROPAGATION_DELAY
    }
}

/// Returns true when the rate limits allow this gateway no request to a decode server
/// until after `until`.
fn is_rate_limited_until(state: &GatewayState, call: &Call, until: Instant) -> bool {
    let now = Instant::now();
    next_send_after(state, call, now).is_some_and(|after| now + after > until)
}

/// Returns the `Retry-After` after which the queues of all gateways should have drained.
pub(super) fn capacity_retry_after(state: &GatewayState, call: &Call) -> Duration {
    let peers = state.peer_queues(&call.service);
    state.service_queues.with_queue(&call.service, |queue| queue.retry_after(peers, Instant::now()))
}

/// Returns when waiting for capacity ends; see [`queue_deadline`].
pub(super) fn stream_deadline(state: &GatewayState, call: &Call) -> Instant {
    let outputs = state.estimates(&call.service).outputs;
    queue_deadline(call, outputs.generation_time(call.prompt_shape().expected_output()))
}

/// Logs that a request finds no capacity, with the load and the queues of its service.
fn log_no_capacity(state: &GatewayState, call: &Call, peers: PeerQueues, predicted: Duration) {
    let waiting = state.service_queues.with_queue(&call.service, |queue| queue.len());
    let now = Instant::now();
    let fleet = state.fleet();
    let (mut servers, mut running) = (0, 0);
    for (server_state, peer_load) in fleet.available_servers(&call.service, now) {
        servers += 1;
        running += server_state.local_load.plus(peer_load.load).running;
    }
    tracing::info!(
        event = events::NO_CAPACITY,
        request_id = call.id(),
        service = %call.service,
        config = call.config,
        servers,
        running,
        waiting,
        waiting_elsewhere = peers.waiting,
        pace_elsewhere = peers.placement_rate,
        gateways_heard = fleet.peers.fresh_count(now),
        predicted_ms = predicted.as_millis() as u64,
        waited_ms = call.age_ms(),
        "no engine has capacity"
    );
}

/// Returns the KV cache tokens of a stream of `shape`, multiplied by its `duration` in
/// milliseconds. On average an engine holds half of the output.
fn kv_token_millis(shape: &PromptShape, duration: Duration) -> u64 {
    let kv_tokens = u64::from(shape.prompt_tokens) + u64::from(shape.expected_output()) / 2;
    kv_tokens.saturating_mul(duration.as_millis() as u64)
}

/// Returns the latest start at which a response that takes `first_event_time` to its first event
/// is within its latency target.
///
/// The target counts from the caller's first attempt. This prevents callers that retry after a
/// rejection, and are past their target anyway, from taking capacity from requests that can
/// still meet theirs.
fn latest_start_within_target(call: &Call, first_event_time: &FirstEventTime) -> Instant {
    let target = call.route.target_latency.unwrap_or(MIN_CALLER_TIMEOUT);
    call.arrived + first_event_time.max_placement_delay(target).saturating_sub(call.retrying_for)
}

/// Returns when waiting in the queue ends, so that the first event arrives before the caller
/// times out, and the complete response, which takes `generation_time` from then on, before the
/// deadline.
///
/// Prevents responses from being cut at their deadline: a caller that retries after a rejection
/// has little time left, and engines would work for seconds on responses that nobody receives.
fn queue_deadline(call: &Call, generation_time: Duration) -> Instant {
    let target = call.route.target_latency.unwrap_or_default();
    let gap = call.route.target_gap.unwrap_or_default();
    let caller_timeout = MIN_CALLER_TIMEOUT.max(target * 4).max(gap * 8);
    (call.arrived + caller_timeout).min(call.deadline - generation_time)
        - DEFAULT_FIRST_EVENT_TIME * 2
}

/// Places the stream at the head of this gateway's queue: within this gateway's share of the free
/// places, or, if `has_turn`, behind those of peers that go first.
fn place_head(
    state: &Arc<GatewayState>,
    call: &Call,
    attempts: &Attempts,
    has_turn: bool,
) -> Result<PlacedStream, PlacementError> {
    match place_within_share(state, call, attempts) {
        Err(PlacementError::NoRoom) if has_turn => place_ranked(state, call, attempts),
        placed => placed,
    }
}

/// Places a stream within this gateway's share of the free places, whatever peers place at the same
/// time.
fn place_within_share(
    state: &Arc<GatewayState>,
    call: &Call,
    attempts: &Attempts,
) -> Result<PlacedStream, PlacementError> {
    let now = Instant::now();
    let waiting_peers = state.fleet().peers.queue_count(name_digest(&call.service), now);
    if waiting_peers == 0 || waiting_peers >= call.engine_spec().slots {
        // There is nothing to share, or no server has a place for each gateway.
        return Err(PlacementError::NoRoom);
    }
    let unreported =
        state.service_queues.with_queue(&call.service, |queue| queue.unreported.servers(now));
    let share = PlaceShare { queues: 1 + waiting_peers, unreported: &unreported };
    place_stream(state, call, attempts, PlacementTurn::Shared(share))
}

/// Places a stream behind those at the heads of peers' queues that go first.
fn place_ranked(
    state: &Arc<GatewayState>,
    call: &Call,
    attempts: &Attempts,
) -> Result<PlacedStream, PlacementError> {
    let now = Instant::now();
    let update = state.service_queues.with_queue(&call.service, |queue| queue.queue_update(now));
    let service_digest = name_digest(&call.service);
    let queued_ahead =
        update.map_or(0, |update| state.fleet().peers.queued_ahead(service_digest, &update, now));
    place_stream(state, call, attempts, PlacementTurn::Ranked(queued_ahead))
}

/// Places a stream where `turn` allows it, and counts its load.
pub(super) fn place_stream(
    state: &Arc<GatewayState>,
    call: &Call,
    attempts: &Attempts,
    turn: PlacementTurn<'_>,
) -> Result<PlacedStream, PlacementError> {
    let shape = call.prompt_shape();
    let EnginePlacement { decode, prefill, cost } = {
        let fleet = state.fleet();
        let request =
            placement_request(state, call, &attempts.tried, attempts.pinned_version.known());
        place_engine(&fleet, &call.engine_spec(), &shape, turn, &request)?
    };
    log_placed(state, call, &decode, prefill.as_ref(), 0, cost);
    state.service_queues.with_queue(&call.service, |queue| {
        queue.unreported.record(decode.clone(), Instant::now());
    });
    let prefill = prefill
        .map(|server| LoadGuard::begin(state, server, LoadShare::of_prompt(shape.prompt_tokens)));
    let decode = LoadGuard::begin(state, decode, LoadShare::of_stream(&shape));
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
    let prefill_state = prefill.and_then(|server| fleet.server(server));
    let prefill_tokens =
        prefill_state.map_or(0, |server_state| fleet.load(server_state, now).prompt_tokens);
    tracing::info!(
        event = events::ENGINE_PLACED,
        request_id = call.id(),
        route = %call.route.name,
        service = %call.service,
        config = call.config,
        decode = %decode,
        prefill = prefill.map(|server| &**server),
        software = &*server_state.entry.software,
        prefill_software = prefill_state.map(|server_state| &*server_state.entry.software),
        domain = %server_state.entry.domain,
        row_version = server_state.stamp.version(),
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

pub(super) fn placement_request<'a>(
    state: &'a GatewayState,
    call: &'a Call,
    tried: &'a [ServerKey],
    software: Option<SoftwareDigest>,
) -> PlacementRequest<'a> {
    PlacementRequest {
        service: &call.service,
        gateway: state.digest,
        domain: &state.settings.domain,
        tried,
        software,
        now: Instant::now(),
    }
}
