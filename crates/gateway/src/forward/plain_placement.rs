//! Reserves the server and the permit of an attempt of a plain call.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::Call;
use super::attempt_permit::AttemptPermit;
use super::attempts::Attempts;
use super::stream_placement::placement_request;
use crate::cluster::MAX_SOUND_SILENCE;
use crate::cluster::PlainPlacement;
use crate::cluster::place_plain;
use crate::events;
use crate::model::RequestRate;
use crate::model::ServerKey;
use crate::state::GatewayState;

/// Returns the server of the next attempt and its permit. Consumes retry budget only if there is a
/// server.
pub fn reserve_server(
    state: &Arc<GatewayState>,
    call: &Call,
    attempts: &Attempts,
) -> Option<(ServerKey, AttemptPermit)> {
    let placement = {
        let fleet = state.fleet();
        place_plain(&fleet, &placement_request(state, call, &attempts.tried, None)).ok()?
    };
    let permit = attempts.permit(state, call)?;
    log_placed(state, call, attempts, &placement);
    Some((placement.server, permit))
}

/// Returns a server that opened no connection in time, and a permit for another attempt there, once
/// there is no other server to try.
///
/// Prevents a call from being rejected because the server that was tried in place of a silent one
/// rejected it: the silent one may respond again by now.
pub fn reserve_unopened(
    state: &Arc<GatewayState>,
    call: &Call,
    attempts: &mut Attempts,
) -> Option<(ServerKey, AttemptPermit)> {
    attempts.readmit_unopened().then(|| reserve_server(state, call, attempts))?
}

/// Returns how long an attempt may try to connect, where `tried` were tried, its server included: for
/// as long as a sound server may be silent if there is no other one to try, and no longer than a
/// single connection takes otherwise.
///
/// Prevents calls from being rejected because all servers are silent for a second.
pub fn connect_patience(state: &GatewayState, call: &Call, tried: &[ServerKey]) -> Duration {
    let fleet = state.fleet();
    let other = place_plain(&fleet, &placement_request(state, call, tried, None));
    if other.is_ok() { Duration::ZERO } else { MAX_SOUND_SILENCE }
}

fn log_placed(state: &GatewayState, call: &Call, attempts: &Attempts, placement: &PlainPlacement) {
    let now = Instant::now();
    let fleet = state.fleet();
    let Some(server_state) = fleet.server(&placement.server) else { return };
    tracing::info!(
        event = events::PLAIN_PLACED,
        request_id = call.id(),
        route = %call.route.name,
        service = %call.service,
        config = call.config,
        server = %placement.server,
        domain = %server_state.entry.domain,
        row_version = server_state.stamp.version(),
        own = server_state.local_load.running,
        all = fleet.load(server_state, now).running,
        failure_share = server_state.health.failure_fraction(now),
        limit = fleet.limits.limit(server_state.incarnation).map(RequestRate::per_second),
        cost = placement.cost,
        attempt = attempts.count(),
        "placed"
    );
}
