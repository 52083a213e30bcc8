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
use super::queue_turn::earliest_placement;
use super::queue_turn::place_head;
use super::reject::next_send_after;
use super::reject::reject_call;
use super::reject::reject_stopping;
use super::stream_placement::PlacedStream;
use crate::cluster::AdmissionQueue;
use crate::cluster::FirstEventTime;
use crate::cluster::PeerQueues;
use crate::cluster::PlacementError;
use crate::cluster::QueueRequest;
use crate::cluster::Ticket;
use crate::events;
use crate::model::PinnedVersion;
use crate::model::PromptShape;
use crate::state::GatewayState;
use crate::timing::with_deadline;

/// Assumed time from the placement to the first event, where the service's estimate is not used.
pub(super) const DEFAULT_FIRST_EVENT_TIME: Duration = FirstEventTime::DEFAULT;
/// Poll interval of the head of the queue: a server may gain capacity without an event at
/// this gateway.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(40);
/// `Retry-After` while a service has no server: about the time in which a new one registers.
pub(super) const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(1000);
/// Callers time out after the longest of this, four target latencies and eight target gaps
/// without an event.
const MIN_CALLER_TIMEOUT: Duration = Duration::from_secs(2);

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
        if !state.stop.may_begin(call.route.kind, call.deadline) {
            return Err(reject_stopping(call, 0));
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
