//! One attempt of a call at one server, up to the response head.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::Response;
use http::StatusCode;
use strum::Display;
use umberglade_wire::client_connection::BodyError;
use umberglade_wire::client_connection::ResponseBody;
use umberglade_wire::client_connection::is_final;
use umberglade_wire::pool;

use super::Call;
use super::attempt_log::record_attempt;
use super::attempt_permit::AttemptPermit;
use crate::cluster::BrokenRun;
use crate::cluster::Fleet;
use crate::cluster::PathVerdict;
use crate::cluster::ServerOutcome;
use crate::cluster::ServerState;
use crate::codec::PlatformCodec;
use crate::model::AttemptPurpose;
use crate::model::AttemptSpec;
use crate::model::ResponseHead;
use crate::model::SoftwareDigest;
use crate::paths::PathConnector;
use crate::paths::Patience;
use crate::paths::locate_failure;
use crate::paths::watch_silence;
use crate::state::GatewayState;
use crate::upstream;
use crate::upstream::SendError;
use crate::upstream::SendTarget;
use crate::upstream::ServerConnection;
use crate::upstream::ServerPath;

/// Why an attempt got no valid response from the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptFailure {
    /// The server never received the request.
    Unsent,
    /// Like [`AttemptFailure::Unsent`], since no connection opened in time: the server may only be
    /// silent.
    Unopened,
    /// The server states that it did not run it.
    NotRun,
    /// Like [`AttemptFailure::NotRun`], since the server is not the intended one or has another
    /// stage.
    Misdirected,
    /// The status promises that the server has not run the request, which it does not state: it may
    /// have run.
    FalsePromise,
    /// No response arrived in time.
    Silent,
    /// The connection failed.
    Broken,
    /// The response is malformed or belongs to another request.
    Garbled,
}

impl AttemptFailure {
    /// Returns the failure of an attempt without a response head.
    fn of(error: &SendError) -> Self {
        match error {
            SendError::Broken { .. } => AttemptFailure::Broken,
            SendError::Malformed { .. } => AttemptFailure::Garbled,
            SendError::Silent { .. } => AttemptFailure::Silent,
            // Nor does it show anything of the server that this process could open no connection.
            error if error.is_connect_timeout() || error.is_local() => AttemptFailure::Unopened,
            _ => AttemptFailure::Unsent,
        }
    }

    /// Returns the failure of an attempt whose body was not read to its end.
    pub fn of_body(error: &BodyError) -> Self {
        if error.is_malformed() { AttemptFailure::Garbled } else { AttemptFailure::Broken }
    }

    /// Returns true when the server has certainly not received the request.
    pub fn is_unsent(self) -> bool {
        matches!(self, AttemptFailure::Unsent | AttemptFailure::Unopened)
    }

    /// Returns true when the server has certainly not run the request.
    pub fn is_not_run(self) -> bool {
        self.is_unsent() || matches!(self, AttemptFailure::NotRun | AttemptFailure::Misdirected)
    }

    /// Returns what the failure means for the server's health.
    pub fn outcome(self) -> ServerOutcome {
        match self {
            AttemptFailure::Unsent => ServerOutcome::Unreachable,
            AttemptFailure::NotRun => ServerOutcome::Refused,
            AttemptFailure::FalsePromise => ServerOutcome::Erred,
            AttemptFailure::Misdirected => ServerOutcome::Misdirected,
            AttemptFailure::Unopened | AttemptFailure::Silent => ServerOutcome::Silent,
            AttemptFailure::Broken | AttemptFailure::Garbled => ServerOutcome::Failed,
        }
    }
}

/// A response with a valid head, whose body is not read yet.
#[derive(Debug)]
pub struct OpenResponse {
    pub response: Response<ResponseBody>,
    pub head: ResponseHead,
    pub connection: ServerConnection,
    pub permit: AttemptPermit,
    pub sent_at: Instant,
}

/// Returns the current address of `server` for a request that is sent at once, and consumes a
/// token of its rate limit. `None` when the server is unknown or unavailable, or has no token
/// left, or when it has another version than `software`.
///
/// A server that was chosen before the prefill may have announced its departure since, as a
/// prefill takes seconds where prefill servers are slow or hang. Without this check, a stream
/// can reach such a server 2.4 s after the announcement.
pub fn send_target(
    state: &GatewayState,
    server: &str,
    software: Option<SoftwareDigest>,
) -> Option<SendTarget> {
    let now = Instant::now();
    let mut fleet = state.fleet();
    let server_state =
        fleet.server(server).filter(|server_state| server_state.is_available(now))?;
    if software.is_some_and(|software| software != server_state.software) {
        return None;
    }
    let target = target_of(&fleet, server_state, now);
    fleet.take_send_token(target.incarnation, now).then_some(target)
}

fn target_of(fleet: &Fleet, server_state: &ServerState, now: Instant) -> SendTarget {
    SendTarget {
        server: server_state.entry.server.clone(),
        incarnation: server_state.incarnation,
        address: server_state.entry.address,
        may_reuse: !server_state.health.is_suspect(now)
            && !fleet.paths.is_doubted(server_state.incarnation, now),
    }
}

/// Returns the current address of `server`, whatever its state.
pub(super) fn known_target(state: &GatewayState, server: &str) -> Option<SendTarget> {
    let fleet = state.fleet();
    let server_state = fleet.server(server)?;
    Some(target_of(&fleet, server_state, Instant::now()))
}

/// Sends `call` as `attempt_spec` states and waits up to `timeout` for the response head.
pub async fn exchange<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: &Call,
    target: &SendTarget,
    attempt_spec: &AttemptSpec,
    permit: AttemptPermit,
    timeout: Duration,
    patience: Patience<'_>,
) -> Result<OpenResponse, AttemptFailure> {
    let request = call.upstream_request::<C>(attempt_spec);
    state.link_use.requests.add(call.body.bytes.len());
    let sent_at = Instant::now();
    if attempt_spec.purpose != AttemptPurpose::Prefill
        && let Some(charge) = &call.charge
    {
        charge.commit();
    }
    let (request_id, deadline) = (call.id(), call.deadline);
    let connector = PathConnector { state, request_id, deadline, patience };
    let deadline = Some(sent_at + timeout);
    let sent = upstream::send_with(&connector, &state.pool, target, request, deadline);
    let (response, connection) = match watch_silence(state, target, sent).await {
        Ok(opened) => opened,
        Err(error) => {
            let failure = AttemptFailure::of(&error);
            if failure.is_unsent() {
                permit.settle();
            }
            let problem = error.to_string();
            let outcome = failure.outcome();
            if outcome == ServerOutcome::Silent {
                record_attempt(state, call, target, failure, outcome, &problem, sent_at);
                return Err(failure);
            }
            return Err(record_failure(state, call, target, failure, &problem, sent_at).await);
        }
    };
    if connection.path == ServerPath::Direct {
        state.fleet().paths.record_response(target.incarnation, Instant::now());
    }
    let head = C::response_head(response.headers());
    let status = response.status();
    let is_of_call = head.request_id == call.head.request_id;
    if !is_of_call || head.is_encoded || !is_final(status) {
        state.fleet().record_malformed(&target.server, Instant::now());
        let problem = format!("status {status}, response to {:?}", head.request_id);
        let failure = AttemptFailure::Garbled;
        return Err(record_failure(state, call, target, failure, &problem, sent_at).await);
    }
    let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST;
    if !is_misdirected {
        state.record_flow_control(target, status, head.flow_control, sent_at);
    }
    if !is_misdirected {
        state.record_response(target, sent_at);
    }
    if head.is_not_run || is_misdirected {
        let failure =
            if is_misdirected { AttemptFailure::Misdirected } else { AttemptFailure::NotRun };
        if !head.closes {
            state.pool.put(target, connection, head.keep_alive, Instant::now());
        }
        let problem = format!("status {status}");
        return Err(record_failure(state, call, target, failure, &problem, sent_at).await);
    }
    // A prefill server's response is for the gateway, and no run.
    let is_for_caller = attempt_spec.purpose != AttemptPurpose::Prefill;
    if is_for_caller && !call.route.is_retryable() && promises_not_run(status) {
        let problem = format!("status {status} without the statement that it has not run");
        let failure = AttemptFailure::FalsePromise;
        return Err(record_failure(state, call, target, failure, &problem, sent_at).await);
    }
    // Servers sign only responses for callers.
    if status.is_success() && is_for_caller && !head.is_signed {
        let failure = AttemptFailure::Garbled;
        return Err(record_failure(state, call, target, failure, "not signed", sent_at).await);
    }
    Ok(OpenResponse { response, head, connection, permit, sent_at })
}

/// Returns true for a status by which callers may repeat a request that may run only once. So is 421,
/// which states by itself that the server has not run it.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
    )
}

/// Records and logs an attempt, sent at `sent_at`, that failed before its first event.
pub async fn record_failure(
    state: &Arc<GatewayState>,
    call: &Call,
    target: &SendTarget,
    failure: AttemptFailure,
    problem: &str,
    sent_at: Instant,
) -> AttemptFailure {
    let run = BrokenRun { sent_at, duration: Duration::ZERO, sent_events_for: Duration::ZERO };
    record_midstream_failure(state, call, target, failure, problem, run).await
}

/// Records and logs an attempt whose server failed after `run`.
///
/// Returns once it is known whether the server may have crashed. Prevents the caller from coming
/// again, and its request from crashing another server, before the crash counts.
pub async fn record_midstream_failure(
    state: &Arc<GatewayState>,
    call: &Call,
    target: &SendTarget,
    failure: AttemptFailure,
    problem: &str,
    run: BrokenRun,
) -> AttemptFailure {
    let now = Instant::now();
    record_attempt(state, call, target, failure, failure.outcome(), problem, now);
    match failure {
        AttemptFailure::Broken => record_break(state, call, target, run).await,
        AttemptFailure::Unsent => state.quarantines.record_unreachable(target),
        _ => {}
    }
    failure
}

/// Records that the connection of an attempt broke: a crash of its server, unless other gateways
/// still reach it and only the path of this one is broken.
///
/// Prevents the quarantine of requests that are in flight when a gateway loses its paths.
async fn record_break(state: &Arc<GatewayState>, call: &Call, target: &SendTarget, run: BrokenRun) {
    let failed_at = Instant::now();
    if !state.fleet().has_tunnel_peer(target.incarnation, failed_at) {
        state.record_crash(call.id(), &call.suspects, target, run);
        return;
    }
    let (state, target) = (Arc::clone(state), target.clone());
    let (request_id, suspects) = (call.id().to_owned(), call.suspects.clone());
    let (sender, recorded) = async_channel::bounded::<()>(1);
    // Goes on if the caller leaves meanwhile.
    pool::spawn(async move {
        let verdict = locate_failure(&state, &target, failed_at).await;
        if verdict != PathVerdict::Broken {
            state.record_crash(&request_id, &suspects, &target, run);
        }
        drop(sender);
    });
    // Fails when the task has ended.
    let _ = recorded.recv().await;
}
