//! One send of a call to one server, and what its answer's head says.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_lite::FutureExt;
use http::HeaderMap;
use http::Response;
use http::header;
use hyper::body::Incoming;
use strum::Display;

use super::Call;
use super::send_permit::SendPermit;
use crate::cluster::ServerOutcome;
use crate::codec::PlatformCodec;
use crate::events;
use crate::model::OnwardOrder;
use crate::model::ReplyHead;
use crate::model::SendPurpose;
use crate::quarantine::fingerprint_key;
use crate::state::GatewayState;
use crate::upstream;
use crate::upstream::KeptConnection;
use crate::upstream::SendTarget;

/// Why a send gave no answer of the server's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum SendFailure {
    /// The server never saw the request.
    Unsent,
    /// The server states that it did not run it.
    NotRun,
    /// The same, since it is another server, or does another part of the work.
    Misdirected,
    /// No answer came in time.
    Silent,
    /// The connection broke.
    Broken,
    /// What came is no answer to this request.
    Garbled,
}

impl SendFailure {
    /// True when the server has certainly not run the request.
    pub fn is_not_run(self) -> bool {
        matches!(self, SendFailure::Unsent | SendFailure::NotRun | SendFailure::Misdirected)
    }

    /// What it says of the server's health.
    pub fn outcome(self) -> ServerOutcome {
        match self {
            SendFailure::Unsent => ServerOutcome::Unreachable,
            SendFailure::NotRun => ServerOutcome::Refused,
            SendFailure::Misdirected => ServerOutcome::Misdirected,
            SendFailure::Silent | SendFailure::Broken | SendFailure::Garbled => {
                ServerOutcome::Failed
            }
        }
    }
}

/// An answer whose head is the server's own.
#[derive(Debug)]
pub struct OpenReply {
    pub response: Response<Incoming>,
    pub head: ReplyHead,
    pub connection: KeptConnection,
    pub permit: SendPermit,
}

/// Where `server` is now, for a request that is sent at once: takes a token of its rate
/// limit. `None` when it is no longer known, gets no new work, or has no token left.
///
/// Guards against a server chosen before a prompt was read, which takes seconds
/// where readers are slow or hang: it may have announced its leaving since, and
/// the stream reached it 2.4 s after that.
pub fn send_target(state: &GatewayState, server: &str) -> Option<SendTarget> {
    let now = Instant::now();
    let mut fleet = state.fleet();
    let server_state =
        fleet.server(server).filter(|server_state| server_state.is_available(now))?;
    let target = SendTarget {
        server: server_state.entry.server.clone(),
        incarnation: server_state.incarnation,
        address: server_state.entry.address,
        may_reuse: !server_state.health.is_suspect(now),
    };
    fleet.take_send_token(target.incarnation, now).then_some(target)
}

/// Sends `call` by `order` and waits up to `patience` for the answer head.
pub async fn exchange<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: &Call,
    target: &SendTarget,
    order: &OnwardOrder,
    permit: SendPermit,
    patience: Duration,
) -> Result<OpenReply, SendFailure> {
    let request = call.onward::<C>(order);
    let sent_at = Instant::now();
    if order.purpose != SendPurpose::Prefill
        && let Some(charge) = &call.charge
    {
        charge.keep();
    }
    let sent = async {
        upstream::send(&state.pool, target, request).await.map_err(|error| {
            let failure = if error.is_unsent() { SendFailure::Unsent } else { SendFailure::Broken };
            (failure, error.to_string())
        })
    };
    let late = async {
        smol::Timer::after(patience).await;
        Err((SendFailure::Silent, format!("no answer within {} ms", patience.as_millis())))
    };
    let (response, connection) = match sent.or(late).await {
        Ok(answered) => answered,
        Err((failure, problem)) => {
            if failure == SendFailure::Unsent {
                permit.settle();
            }
            return Err(fail(state, call, target, failure, &problem));
        }
    };
    let head = C::response_head(response.headers());
    let status = response.status();
    if head.request_id != call.head.request_id || head.is_encoded {
        state.fleet().record_malformed(&target.server, Instant::now());
        let problem = format!("status {status}, answers {:?}", head.request_id);
        return Err(fail(state, call, target, SendFailure::Garbled, &problem));
    }
    let is_misdirected = status == http::StatusCode::MISDIRECTED_REQUEST;
    if !is_misdirected {
        state.note_flow_control(target, status, head.flow_control, sent_at);
    }
    if head.is_not_run || is_misdirected {
        let failure = if is_misdirected { SendFailure::Misdirected } else { SendFailure::NotRun };
        if !head.closes {
            state.pool.keep(target, connection, head.keep_alive, Instant::now());
        }
        return Err(fail(state, call, target, failure, &format!("status {status}")));
    }
    // A prefill server's answer is for us, and servers sign only what is for
    // the caller.
    let needs_signature = order.purpose != SendPurpose::Prefill;
    if status.is_success() && needs_signature && !head.is_signed {
        return Err(fail(state, call, target, SendFailure::Garbled, "not signed"));
    }
    Ok(OpenReply { response, head, connection, permit })
}

/// True for an answer that says where it ends. One that ends with its
/// connection looks whole also when its server has crashed, and so does not show
/// that the server lived on.
pub fn is_delimited(headers: &HeaderMap) -> bool {
    headers.contains_key(header::TRANSFER_ENCODING) || headers.contains_key(header::CONTENT_LENGTH)
}

/// Notes and logs a send that failed before its first event.
pub fn fail(
    state: &GatewayState,
    call: &Call,
    target: &SendTarget,
    failure: SendFailure,
    problem: &str,
) -> SendFailure {
    fail_midway(state, call, target, failure, problem, Duration::ZERO)
}

/// The same for one whose server had given events for `lived`.
pub fn fail_midway(
    state: &GatewayState,
    call: &Call,
    target: &SendTarget,
    failure: SendFailure,
    problem: &str,
    lived: Duration,
) -> SendFailure {
    state.note_outcome(target, failure.outcome());
    if failure == SendFailure::Broken {
        state.note_crash(call.id(), call.content, target, lived);
    }
    let kind = failure.to_string();
    metrics::counter!("umberglade_send_failures_total", "failure" => kind).increment(1);
    tracing::info!(
        event = events::ATTEMPT_FAILED,
        request_id = call.id(),
        content = fingerprint_key(call.content),
        server = %target.server,
        peer = %target.address,
        failure = %failure,
        problem,
        elapsed_ms = call.age_ms(),
        "send failed"
    );
    failure
}
