//! When the first request of this gateway's queue may be placed beside those of other gateways, and
//! where.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::Call;
use super::attempts::Attempts;
use super::stream_placement::PlacedStream;
use super::stream_placement::place_stream;
use crate::cluster::PlaceShare;
use crate::cluster::PlacementError;
use crate::cluster::PlacementTurn;
use crate::cluster::name_digest;
use crate::state::GatewayState;

/// Time within which peers usually know the head of this queue: a report takes a network hop
/// of under 2 ms and a wake-up at each end. A report of a sender with many other updates waits
/// up to 50 ms for send budget, and two gateways may still collide.
const REPORT_PROPAGATION_DELAY: Duration = Duration::from_millis(25);

/// Returns when a request that became the head of the queue at `since` may be placed beyond this
/// gateway's share: at `since` while no peer has queued requests, [`REPORT_PROPAGATION_DELAY`] later
/// otherwise.
///
/// Prevents gateways from competing for the last slot of an engine. At 250 requests per second
/// a request checks for capacity every 4 ms, and each counts as the head of all queues until
/// reports of peers show otherwise. Without the delay, full engines reject a quarter of the
/// requests that 79 gateways place in a burst, after a wasted prefill.
pub(super) fn earliest_placement(state: &GatewayState, call: &Call, since: Instant) -> Instant {
    if state.peer_queues(&call.service).waiting == 0 {
        since
    } else {
        since + REPORT_PROPAGATION_DELAY
    }
}

/// Places the stream at the head of this gateway's queue: within this gateway's share of the free
/// places, or, if `has_turn`, behind those of peers that go first.
pub(super) fn place_head(
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
