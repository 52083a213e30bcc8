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
use crate::quarantine::content_key;
use crate::state::GatewayState;
use crate::timing::by_deadline;

/// How soon to come back where the next probe is not known to be further off.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What is left of a caller's time when waiting for a probe ends.
const RESPONSE_RESERVE: Duration = Duration::from_millis(200);
/// A request that waits for a probe looks this often whether one is due.
const POLL_INTERVAL: Duration = Duration::from_millis(40);

/// The sends that `call` may make; a refusal when it is held back.
pub(super) async fn admit<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: &Call,
) -> Result<Attempts, Response<GatewayBody>> {
    loop {
        let (quarantine, outcome) = match state.quarantines.admit(call.fingerprint) {
            QuarantineVerdict::Admitted => return Ok(Attempts::default()),
            QuarantineVerdict::HeldBack(held) => (held, "refused".to_owned()),
            QuarantineVerdict::Probe(quarantine) => return Ok(new_probe(state, call, quarantine)),
            QuarantineVerdict::ProbeDue(quarantine) => {
                match claim_probe::<C>(state, call.fingerprint, quarantine).await {
                    Ok(true) => return Ok(new_probe(state, call, quarantine)),
                    Ok(false) => (quarantine, "refused; another gateway finds out".to_owned()),
                    Err(error) => (quarantine, format!("refused; probe not claimed: {error}")),
                }
            }
        };
        if !wait_for_probe(state, call, quarantine).await {
            log_quarantined(call, quarantine, 0, &outcome);
            return Err(reject_call(
                call,
                Rejection::Quarantined,
                Some(retry_after(quarantine)),
                0,
            ));
        }
    }
}

/// Waits until `call` may be let through, or be a probe itself; false when it is
/// held back for longer than its caller waits.
pub(super) async fn wait_for_probe(
    state: &GatewayState,
    call: &Call,
    quarantine: QuarantineStatus,
) -> bool {
    let has_time = call.time_left(Instant::now()) > RESPONSE_RESERVE;
    if !quarantine.is_undecided || !has_time {
        return false;
    }
    by_deadline(Instant::now() + POLL_INTERVAL, state.room.listen()).await;
    true
}

/// The sends of the one request that is let through.
fn new_probe(state: &Arc<GatewayState>, call: &Call, quarantine: QuarantineStatus) -> Attempts {
    log_quarantined(call, quarantine, 0, "let through to find out");
    Attempts::probe(ProbeGuard::new(state, call.fingerprint))
}

/// When a caller of what is held back may come back.
pub(super) fn retry_after(quarantine: QuarantineStatus) -> Duration {
    quarantine.left.max(MIN_RETRY_AFTER)
}

/// Logs what decided that `call` is held back after `sends` sends, or let
/// through.
pub(super) fn log_quarantined(
    call: &Call,
    quarantine: QuarantineStatus,
    sends: u32,
    outcome: &str,
) {
    metrics::counter!("umberglade_calls_held_total").increment(1);
    tracing::info!(
        event = events::CALL_HELD_BACK,
        request_id = call.id(),
        content = content_key(call.fingerprint),
        service = %call.service,
        crashes = quarantine.crashes,
        probes = quarantine.probes,
        row_version = quarantine.version,
        held_ms = quarantine.age.as_millis() as u64,
        left_ms = quarantine.left.as_millis() as u64,
        sends,
        outcome,
        "servers crash under such requests"
    );
}
