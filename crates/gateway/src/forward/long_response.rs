//! Passes long responses to plain calls on as they arrive.

use std::sync::Arc;
use std::time::Instant;

use async_channel::Sender;
use bytes::Bytes;
use futures_lite::FutureExt;
use http::HeaderValue;
use http::Response;
use http::header;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Body;
use umberglade_wire::client_connection::BodyError;
use umberglade_wire::client_connection::ResponseBody;
use umberglade_wire::client_connection::TooLongSnafu;
use umberglade_wire::pool;

use super::Call;
use super::GatewayBody;
use super::StreamBroken;
use super::answer_end::AnswerBreak;
use super::answer_end::AnswerEnd;
use super::answer_end::end_break;
use super::exchange;
use super::plain_run;
use super::response_body;
use super::response_body::BodyFrame;
use crate::codec::PlatformCodec;
use crate::load_guard::LoadGuard;
use crate::model::ResponseHead;
use crate::panics;
use crate::state::GatewayState;
use crate::timing::with_deadline;
use crate::upstream::SendTarget;
use crate::upstream::ServerConnection;
use crate::upstream::answer_limits::MAX_HELD_BYTES;
use crate::upstream::answer_limits::MAX_PASSED_BYTES;

/// The part of a body that has been read before any of it is passed on.
pub enum BodyStart {
    Whole(Bytes),
    /// The first bytes of a body that is too long to be held.
    Long(Bytes),
}

/// Reads `body` to its end, or until it is longer than what is held whole.
pub async fn read_start(body: &mut ResponseBody) -> Result<BodyStart, BodyError> {
    let stated_bytes = body.size_hint().lower();
    snafu::ensure!(
        stated_bytes <= MAX_PASSED_BYTES as u64,
        TooLongSnafu { limit: MAX_PASSED_BYTES }
    );
    let mut held = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|source| BodyError::Broken { source })?;
        held.extend_from_slice(&frame.into_data().unwrap_or_default());
        if held.len() > MAX_HELD_BYTES {
            return Ok(BodyStart::Long(held.into()));
        }
    }
    Ok(BodyStart::Whole(held.into()))
}

/// A response whose body is too long to be held.
pub struct LongResponse {
    pub head: ResponseHead,
    pub parts: Parts,
    /// False if the end of the body does not show whether its server had finished.
    pub is_delimited: bool,
    pub start: Bytes,
    pub body: ResponseBody,
    pub connection: ServerConnection,
    pub sent_at: Instant,
    pub load_guard: LoadGuard,
}

/// Returns the response to the caller of `call`; a task passes its body on.
pub fn pass_on<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: &Arc<Call>,
    target: &SendTarget,
    long: LongResponse,
) -> Response<GatewayBody> {
    let (sender, body) = response_body::streamed();
    let mut response = Response::new(body);
    *response.status_mut() = long.parts.status;
    *response.headers_mut() = C::response_headers(&long.parts.headers);
    if let Some(rest) = long.body.size_hint().exact() {
        let length = HeaderValue::from(long.start.len() as u64 + rest);
        response.headers_mut().insert(header::CONTENT_LENGTH, length);
    }
    let (state, call, target) = (Arc::clone(state), Arc::clone(call), target.clone());
    let in_flight = state.in_flight.enter_request();
    pool::spawn(async move {
        let _in_flight = in_flight;
        let caller_left = async {
            sender.closed().await;
        };
        let passing = async {
            // A panic drops the sender, which would end the body as if it were complete.
            if panics::catch(pass::<C>(&state, &call, &target, long, &sender)).await != Ok(true) {
                // Fails only if the caller has left.
                let _ = sender.send(Err(StreamBroken)).await;
            }
        };
        passing.or(caller_left).await;
    });
    response
}

/// Passes the body of `long` on; returns whether it was complete.
async fn pass<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: &Call,
    target: &SendTarget,
    mut long: LongResponse,
    sender: &Sender<BodyFrame>,
) -> bool {
    let pieces = pass_pieces(std::mem::take(&mut long.start), &mut long.body, sender);
    let passed = with_deadline(call.deadline, pieces).await;
    let broken = match passed {
        Some(Ok(())) => {
            end_break::<C>(state, call, target, AnswerEnd::now(long.is_delimited), call.deadline)
                .await
        }
        Some(Err(error)) => Some(AnswerBreak::of_body(&error)),
        None => Some(AnswerBreak::silent("the body did not arrive in time")),
    };
    let Some(AnswerBreak { failure, problem }) = broken else {
        let LongResponse { head, parts, connection, load_guard, .. } = long;
        drop(load_guard);
        plain_run::record_whole(state, call, target, &parts, connection, &head);
        return true;
    };
    exchange::record_failure(state, call, target, failure, &problem, long.sent_at).await;
    false
}

async fn pass_pieces(
    start: Bytes,
    body: &mut ResponseBody,
    sender: &Sender<BodyFrame>,
) -> Result<(), BodyError> {
    let mut passed_bytes = 0;
    let mut piece = start;
    loop {
        passed_bytes += piece.len();
        snafu::ensure!(passed_bytes <= MAX_PASSED_BYTES, TooLongSnafu { limit: MAX_PASSED_BYTES });
        // Fails when the caller has left, which ends this task too.
        let _ = response_body::send_all(sender, piece).await;
        let Some(frame) = body.frame().await else { return Ok(()) };
        let frame = frame.map_err(|source| BodyError::Broken { source })?;
        piece = frame.into_data().unwrap_or_default();
    }
}
