//! Opens a stream at a server, up to its first event.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::HeaderMap;
use http::Response;
use http::StatusCode;
use umberglade_wire::client_connection::BodyError;
use umberglade_wire::client_connection::read_whole;

use super::Call;
use super::EventReader;
use super::GatewayBody;
use super::StreamEvent;
use super::answer_end::AnswerEnd;
use super::answer_end::end_break;
use super::answer_end::is_delimited;
use super::attempt_permit::AttemptPermit;
use super::exchange;
use super::exchange::AttemptFailure;
use super::exchange::OpenResponse;
use super::response_body;
use crate::cluster::ServerOutcome;
use crate::codec::PlatformCodec;
use crate::load_guard::LoadGuard;
use crate::model::AttemptSpec;
use crate::model::SoftwareDigest;
use crate::origins::SentVersion;
use crate::paths::NO_PATIENCE;
use crate::state::GatewayState;
use crate::timing::with_deadline;
use crate::upstream::SendTarget;
use crate::upstream::ServerConnection;
use crate::upstream::answer_limits::MAX_HELD_BYTES;

/// A stream whose first event has arrived.
#[derive(Debug)]
pub struct OpenStream {
    pub status: StatusCode,
    /// The headers of the response to the caller.
    pub headers: HeaderMap,
    /// `None` for a stream that ended without any event.
    pub first: Option<StreamEvent>,
    pub sent_at: Instant,
    pub first_event_at: Instant,
    /// True once the server has gone on with the stream for a while.
    pub has_survived: bool,
    pub reader: EventReader,
    pub target: SendTarget,
    /// Version of the server that sent the first event; `None` if it may have been started again at
    /// another one.
    pub software: Option<SoftwareDigest>,
    /// Returned to the pool when the stream completes; `None` if the server closes it.
    pub connection: Option<ServerConnection>,
    pub keep_alive: Option<Duration>,
    /// False if the end of the stream does not show whether its server had finished.
    pub is_delimited: bool,
    /// When its end arrived, if it has.
    pub ended_at: Option<Instant>,
    pub load_guard: LoadGuard,
}

/// The versions that a server must have to go on with a stream.
#[derive(Debug, Clone, Copy)]
pub struct NeededVersion {
    /// The version that wrote the caller's events.
    pub pinned: Option<SoftwareDigest>,
    /// The version that wrote the KV cache.
    pub cached: Option<SoftwareDigest>,
}

/// The outcome of opening a stream.
#[derive(Debug)]
pub enum OpenOutcome {
    Stream(Box<OpenStream>),
    /// The server's complete error response.
    Responded(Response<GatewayBody>),
    Failed(AttemptFailure),
}

/// Sends `call` as `attempt_spec` states to the server of `load_guard` and waits for the first
/// event until the call's deadline.
pub async fn open<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: &Call,
    load_guard: LoadGuard,
    permit: AttemptPermit,
    attempt_spec: &AttemptSpec,
    needed: NeededVersion,
) -> OpenOutcome {
    let software = needed.pinned.or(needed.cached);
    let is_conflict = needed.cached.is_some_and(|cached| Some(cached) != software);
    let target = exchange::send_target(state, &load_guard.server, software);
    let Some(target) = target.filter(|_| !is_conflict) else {
        return OpenOutcome::Failed(AttemptFailure::Unsent);
    };
    open_at::<C>(state, call, load_guard, permit, attempt_spec, &target, needed.pinned).await
}

async fn open_at<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: &Call,
    load_guard: LoadGuard,
    permit: AttemptPermit,
    attempt_spec: &AttemptSpec,
    target: &SendTarget,
    pinned: Option<SoftwareDigest>,
) -> OpenOutcome {
    let sent_version = SentVersion::of(state, target);
    let sent_at = Instant::now();
    let deadline = call.deadline;
    let timeout = call.time_left(Instant::now());
    let patience = NO_PATIENCE;
    let exchanged =
        exchange::exchange::<C>(state, call, target, attempt_spec, permit, timeout, patience);
    let opened = match exchanged.await {
        Ok(opened) => opened,
        Err(failure) => return OpenOutcome::Failed(failure),
    };
    let fail = async |failure, problem: &str| {
        let failure =
            exchange::record_failure(state, call, target, failure, problem, sent_at).await;
        OpenOutcome::Failed(failure)
    };
    let status = opened.response.status();
    if !status.is_success() {
        let is_delimited = is_delimited(&opened.response);
        let response = match with_deadline(deadline, read_error_response::<C>(opened)).await {
            Some(Ok(response)) => response,
            Some(Err(error)) => {
                return fail(AttemptFailure::of_body(&error), &error.to_string()).await;
            }
            None => return fail(AttemptFailure::Silent, "no response body in time").await,
        };
        let broken =
            end_break::<C>(state, call, target, AnswerEnd::now(is_delimited), deadline).await;
        if let Some(broken) = broken {
            return fail(broken.failure, &broken.problem).await;
        }
        state.record_outcome(target, ServerOutcome::Erred);
        return OpenOutcome::Responded(response);
    }
    let OpenResponse { response, head, connection, .. } = opened;
    let is_delimited = is_delimited(&response);
    let (parts, body) = response.into_parts();
    let mut reader = EventReader::new(body);
    let first = match with_deadline(deadline, reader.next_event()).await {
        Some(Ok(first)) => first,
        Some(Err(error)) => {
            return fail(AttemptFailure::of_body(&error), &error.to_string()).await;
        }
        None => return fail(AttemptFailure::Silent, "no first event in time").await,
    };
    if first.is_none() && !is_delimited {
        if attempt_spec.resume_after.is_none() {
            return fail(AttemptFailure::Broken, "ended before its first event").await;
        }
        // The caller may have the last event already.
        let broken =
            end_break::<C>(state, call, target, AnswerEnd::now(is_delimited), deadline).await;
        if let Some(broken) = broken {
            return fail(broken.failure, &broken.problem).await;
        }
    }
    let first_event_at = Instant::now();
    let software = sent_version.confirm::<C>(state, target, connection.opened_at).await;
    if pinned.is_some() && software != pinned {
        return fail(AttemptFailure::Garbled, "the server may have another version").await;
    }
    state.record_outcome(target, ServerOutcome::Fine);
    OpenOutcome::Stream(Box::new(OpenStream {
        status,
        headers: C::response_headers(&parts.headers),
        first,
        sent_at,
        first_event_at,
        has_survived: false,
        reader,
        target: target.clone(),
        software,
        connection: (!head.closes).then_some(connection),
        keep_alive: head.keep_alive,
        is_delimited,
        ended_at: None,
        load_guard,
    }))
}

async fn read_error_response<C: PlatformCodec>(
    opened: OpenResponse,
) -> Result<Response<GatewayBody>, BodyError> {
    let (parts, body) = opened.response.into_parts();
    let body = read_whole(body, MAX_HELD_BYTES).await?;
    let mut response = Response::new(response_body::full(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = C::response_headers(&parts.headers);
    Ok(response)
}
