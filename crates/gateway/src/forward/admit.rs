//! Whether a request may be sent at all, or crashes the servers that run it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::Response;

use super::Call;
use super::GatewayBody;
use super::Rejection;
use super::attempts::Attempts;
use super::probe_guard::ProbeGuard;
use super::reject::reject_call;
use crate::cluster::QuarantineStatus;
use crate::cluster::QuarantineVerdict;
use crate::codec::PlatformCodec;
use crate::events;
use crate::quarantine::claim_probe;
use crate::quarantine::fingerprint_key;
use crate::state::GatewayState;
use crate::timing::by_deadline;

/// How soon to come back where the next probe is not known to be further off.
const MIN_RETRY: Duration = Duration::from_secs(1);

/// What is left of a caller's time when waiting for a probe ends.
const ANSWER_TIME: Duration = Duration::from_millis(200);
/// A request that waits for a probe looks this often whether one is due.
const LOOK_AGAIN: Duration = Duration::from_millis(40);

/// The sends that `call` may make; a refusal when it is held back.
pub(super) async fn admit<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: &Call,
) -> Result<Attempts, Response<GatewayBody>> {
    loop {
        let (held, outcome) = match state.quarantines.admit(call.content) {
            QuarantineVerdict::Admitted => return Ok(Attempts::default()),
            QuarantineVerdict::Quarantined(held) => (held, "refused".to_owned()),
            QuarantineVerdict::Probe(held) => return Ok(probe(state, call, held)),
            QuarantineVerdict::ProbeDue(held) => {
                match claim_probe::<C>(state, call.content, held).await {
                    Ok(true) => return Ok(probe(state, call, held)),
                    Ok(false) => (held, "refused; another gateway finds out".to_owned()),
                    Err(error) => (held, format!("refused; probe not claimed: {error}")),
                }
            }
        };
        if !wait_for_probe(state, call, held).await {
            log_held(call, held, 0, &outcome);
            return Err(reject_call(call, Rejection::Quarantined, Some(retry_after(held)), 0));
        }
    }
}

/// Waits until `call` may be let through, or be a probe itself; false when it is
/// held back for longer than its caller waits.
pub(super) async fn wait_for_probe(
    state: &GatewayState,
    call: &Call,
    held: QuarantineStatus,
) -> bool {
    let has_time = call.time_left(Instant::now()) > ANSWER_TIME;
    if !held.is_provisional || !has_time {
        return false;
    }
    by_deadline(Instant::now() + LOOK_AGAIN, state.room.listen()).await;
    true
}

/// The sends of the one request that is let through.
fn probe(state: &Arc<GatewayState>, call: &Call, held: QuarantineStatus) -> Attempts {
    log_held(call, held, 0, "let through to find out");
    Attempts::probe(ProbeGuard::new(state, call.content))
}

/// When a caller of what is held back may come back.
pub(super) fn retry_after(held: QuarantineStatus) -> Duration {
    held.until_probe.max(MIN_RETRY)
}

/// Logs what decided that `call` is held back after `sends` sends, or let
/// through.
pub(super) fn log_held(call: &Call, held: QuarantineStatus, sends: u32, outcome: &str) {
    metrics::counter!("umberglade_calls_held_total").increment(1);
    tracing::info!(
        event = events::CALL_QUARANTINED,
        request_id = call.id(),
        content = fingerprint_key(call.content),
        service = %call.service,
        crashes = held.crashes,
        probes = held.probes,
        row_version = held.version,
        held_ms = held.age.as_millis() as u64,
        left_ms = held.until_probe.as_millis() as u64,
        sends,
        outcome,
        "servers crash under such requests"
    );
}
