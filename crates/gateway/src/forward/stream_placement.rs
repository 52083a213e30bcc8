//! Places streams at engines.

use std::sync::Arc;
use std::time::Instant;

use super::Call;
use super::attempts::Attempts;
use crate::cluster::EnginePlacement;
use crate::cluster::LoadShare;
use crate::cluster::PlacementError;
use crate::cluster::PlacementRequest;
use crate::cluster::PlacementTurn;
use crate::cluster::place_engine;
use crate::events;
use crate::load_guard::LoadGuard;
use crate::model::RequestRate;
use crate::model::ServerKey;
use crate::model::SoftwareDigest;
use crate::state::GatewayState;

/// The placement of a stream, whose load is counted at both servers.
pub(super) struct PlacedStream {
    pub decode: LoadGuard,
    pub prefill: Option<LoadGuard>,
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
