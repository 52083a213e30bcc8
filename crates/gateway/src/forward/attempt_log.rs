//! Records and logs attempts that failed.

use std::time::Instant;

use super::Call;
use super::exchange::AttemptFailure;
use crate::cluster::ServerOutcome;
use crate::events;
use crate::quarantine::fingerprint_key;
use crate::state::GatewayState;
use crate::upstream::SendTarget;

/// Counts and logs a failed attempt, and records its outcome for the server's health unless only the
/// path of this gateway to the server may be broken. The attempt has waited for the server since
/// `waited_since`.
pub fn record_attempt(
    state: &GatewayState,
    call: &Call,
    target: &SendTarget,
    failure: AttemptFailure,
    outcome: ServerOutcome,
    problem: &str,
    waited_since: Instant,
) {
    let is_path_broken = state.fleet().paths.is_broken(target.incarnation);
    let may_be_path = failure == AttemptFailure::Broken || outcome == ServerOutcome::Silent;
    if !(is_path_broken && may_be_path) {
        state.record_outcome_since(target, outcome, waited_since);
    }
    let kind = failure.to_string();
    metrics::counter!("umberglade_send_failures_total", "failure" => kind).increment(1);
    tracing::info!(
        event = events::ATTEMPT_FAILED,
        request_id = call.id(),
        content = fingerprint_key(call.suspects.content),
        parts = call.suspects.parts_text(),
        server = %target.server,
        peer = %target.address,
        failure = %failure,
        is_path_broken,
        problem,
        elapsed_ms = call.age_ms(),
        "attempt failed"
    );
}
