//! The server at which a stream goes on when its server sends nothing.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::Call;
use super::attempt_permit::AttemptPermit;
use super::attempts::Attempts;
use super::capacity_wait::DEFAULT_FIRST_EVENT_TIME;
use super::stream_run;
use crate::load_guard::LoadGuard;
use crate::state::GatewayState;

/// Interval at which another server is looked for while a stream's server remains silent.
pub const RESERVE_INTERVAL: Duration = Duration::from_millis(250);

/// Another server for a stream, with the permit to send to it.
#[derive(Debug)]
pub struct NextServer {
    pub load_guard: LoadGuard,
    pub permit: AttemptPermit,
}

/// Returns another server for `call`, whose server is silent, unless its route, its time, its
/// quarantine or the retry budget forbid a further attempt, or no server has capacity.
///
/// A silent server may still be at work: an engine preempts streams and continues them seconds
/// later. Prevents the end of such a stream with nothing in its place.
pub fn reserve(state: &Arc<GatewayState>, call: &Call, attempts: &Attempts) -> Option<NextServer> {
    let has_time = call.time_left(Instant::now()) > DEFAULT_FIRST_EVENT_TIME;
    if !has_time || !attempts.allows_replacement(call) {
        return None;
    }
    let server = stream_run::choose_retry(state, call, attempts)?;
    let permit = attempts.permit_replacement(state, call)?;
    let load_guard = stream_run::begin_retry(state, call, attempts, server);
    Some(NextServer { load_guard, permit })
}

/// Like [`reserve`], once `silence` is over and there is another server.
pub async fn reserve_after(
    silence: Duration,
    state: &Arc<GatewayState>,
    call: &Call,
    attempts: &Attempts,
) -> NextServer {
    smol::Timer::after(silence).await;
    loop {
        if let Some(next) = reserve(state, call, attempts) {
            return next;
        }
        smol::Timer::after(RESERVE_INTERVAL).await;
    }
}
