//! Log lines and counts of streams whose servers send nothing for a while.

use std::time::Duration;
use std::time::Instant;

use super::Call;
use super::attempt_log::record_attempt;
use super::exchange::AttemptFailure;
use crate::events;
use crate::model::ServerKey;
use crate::state::GatewayState;
use crate::upstream::SendTarget;

/// Logs once for each silence that `server` has sent nothing for `silence`. It is waited for, at
/// least until another one goes on with the stream.
pub fn log_stall(call: &Call, server: &ServerKey, relayed: u64, silence: Duration) {
    metrics::counter!("umberglade_stream_stalls_total").increment(1);
    let message = "stream is silent; its server is kept until another one goes on";
    log_silence(call, events::STREAM_STALLED, message, server, relayed, silence, None);
}

/// Logs that the silent `server` has gone on before another one did.
pub fn log_recovery(call: &Call, server: &ServerKey, relayed: u64, silence: Duration, sends: u32) {
    metrics::counter!("umberglade_stream_recoveries_total").increment(1);
    let (event, message) = (events::STREAM_RECOVERED, "silent stream has gone on");
    log_silence(call, event, message, server, relayed, silence, Some(sends));
}

fn log_silence(
    call: &Call,
    event: u32,
    message: &str,
    server: &ServerKey,
    relayed: u64,
    silence: Duration,
    sends: Option<u32>,
) {
    tracing::info!(
        event,
        request_id = call.id(),
        %server,
        relayed,
        silent_ms = silence.as_millis() as u64,
        sends,
        elapsed_ms = call.age_ms(),
        "{message}"
    );
}

/// Records and logs that `target`, which has sent nothing for `silence`, is left for another one.
pub fn record_replacement(
    state: &GatewayState,
    call: &Call,
    target: &SendTarget,
    silence: Duration,
) {
    let problem = format!("no event for {} ms", silence.as_millis());
    let failure = AttemptFailure::Silent;
    let now = Instant::now();
    let silent_since = now.checked_sub(silence).unwrap_or(now);
    record_attempt(state, call, target, failure, failure.outcome(), &problem, silent_since);
}
