//! Admission control for poison requests, which crash the servers that run them.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::Response;
use smallvec::SmallVec;

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
use crate::model::ServerIncarnation;
use crate::model::ServerKey;
use crate::model::ServerStage;
use crate::quarantine::claim_probe;
use crate::quarantine::fingerprint_key;
use crate::quarantine::suspect_kind;
use crate::state::GatewayState;
use crate::timing::with_deadline;

/// Minimum `Retry-After` of a quarantined request.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Waiting for a probe ends when the caller's deadline is this close.
const RESPONSE_RESERVE: Duration = Duration::from_millis(200);
/// Interval at which a request that waits for a probe checks whether one is due.
const POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Returns the attempts that `call` may make, or a rejection while it is quarantined.
pub(super) async fn admit<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: &Call,
) -> Result<Attempts, Response<GatewayBody>> {
    loop {
        let has_probe_server = || !probe_servers(state, call).up.is_empty();
        let verdict = state.quarantines.admit(&call.suspects, has_probe_server);
        let (quarantine, outcome) = match verdict {
            QuarantineVerdict::Admitted => return Ok(Attempts::default()),
            QuarantineVerdict::Quarantined(quarantine) => (quarantine, "refused".to_owned()),
            QuarantineVerdict::Probe(quarantine) => return Ok(new_probe(state, call, quarantine)),
            QuarantineVerdict::ProbeDue(quarantine) => {
                match claim_probe::<C>(state, quarantine).await {
                    Ok(true) => return Ok(new_probe(state, call, quarantine)),
                    Ok(false) => (quarantine, "refused; another gateway probes".to_owned()),
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

/// Servers that may respond to a call, by whether they are known to be down.
#[derive(Debug, Default)]
struct ProbeServers {
    up: SmallVec<[ServerKey; 16]>,
    down: SmallVec<[ServerKey; 4]>,
}

/// Returns the servers that may respond to `call` and may run its probe.
fn probe_servers(state: &GatewayState, call: &Call) -> ProbeServers {
    let now = Instant::now();
    let candidates: Vec<(ServerKey, ServerIncarnation, bool)> = {
        let fleet = state.fleet();
        let servers = fleet.available_servers(&call.service, now);
        servers
            .map(|(server_state, _)| server_state)
            .filter(|server_state| server_state.entry.stage != ServerStage::Prefill)
            .map(|server_state| {
                let is_ejected = server_state.health.is_ejected(now);
                (server_state.entry.server.clone(), server_state.incarnation, is_ejected)
            })
            .collect()
    };
    let mut servers = ProbeServers::default();
    for (server, incarnation, is_ejected) in candidates {
        if is_ejected || state.quarantines.is_down(incarnation) {
            servers.down.push(server);
        } else {
            servers.up.push(server);
        }
    }
    servers
}

/// Waits for a change or one poll interval, after which `call` may be admitted or become the
/// probe. Returns false at once when its quarantine is decided or its deadline is too close.
pub(super) async fn wait_for_probe(
    state: &GatewayState,
    call: &Call,
    quarantine: QuarantineStatus,
) -> bool {
    let has_time = call.time_left(Instant::now()) > RESPONSE_RESERVE;
    if !quarantine.is_provisional || !has_time {
        return false;
    }
    with_deadline(Instant::now() + POLL_INTERVAL, state.capacity_changed.listen()).await;
    true
}

/// Returns the attempts of `call` as the probe of its quarantine.
fn new_probe(state: &Arc<GatewayState>, call: &Call, quarantine: QuarantineStatus) -> Attempts {
    log_quarantined(call, quarantine, 0, "sent as a probe");
    let servers = probe_servers(state, call);
    Attempts::probe(ProbeGuard::new(state, quarantine.fingerprint), servers.down)
}

/// Returns the `Retry-After` of a quarantined request.
pub(super) fn retry_after(quarantine: QuarantineStatus) -> Duration {
    quarantine.until_probe.max(MIN_RETRY_AFTER)
}

/// Logs that `call`, after `sends` attempts, is rejected as quarantined or sent as a probe.
pub(super) fn log_quarantined(
    call: &Call,
    quarantine: QuarantineStatus,
    sends: u32,
    outcome: &str,
) {
    let kind = suspect_kind(quarantine.fingerprint);
    metrics::counter!("umberglade_calls_held_total", "kind" => kind).increment(1);
    tracing::info!(
        event = events::CALL_QUARANTINED,
        request_id = call.id(),
        content = fingerprint_key(quarantine.fingerprint),
        kind,
        service = %call.service,
        crashes = quarantine.crashes,
        probes = quarantine.probes,
        row_version = quarantine.stamp.version(),
        held_ms = quarantine.age.as_millis() as u64,
        left_ms = quarantine.until_probe.as_millis() as u64,
        sends,
        outcome,
        "quarantined: servers crash while they run such requests"
    );
}
