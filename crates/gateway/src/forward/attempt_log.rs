//! Logs attempts that failed.

use super::Call;
use super::exchange::AttemptFailure;
use crate::cluster::ServerOutcome;
use crate::events;
use crate::quarantine::fingerprint_key;
use crate::state::GatewayState;
use crate::upstream::SendTarget;

/// Records and logs that no connection to `target` opened in time. A server that is only slow to
/// accept one is neither down nor unreachable: this counts as a silence.
pub fn record_connect_timeout(
    state: &GatewayState,
    call: &Call,
    target: &SendTarget,
    problem: &str,
) {
    if !state.fleet().paths.is_broken(target.incarnation) {
        state.record_outcome(target, ServerOutcome::Silent);
    }
    log_attempt(state, call, target, AttemptFailure::Unsent, problem);
}

/// Counts and logs a failed attempt.
pub fn log_attempt(
    state: &GatewayState,
    call: &Call,
    target: &SendTarget,
    failure: AttemptFailure,
    problem: &str,
) {
    let is_path_broken = state.fleet().paths.is_broken(target.incarnation);
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
