//! Opens a stream at a server: up to its first event.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;

use super::Call;
use super::EventReader;
use super::GatewayBody;
use super::StreamEvent;
use super::answer;
use super::exchange;
use super::exchange::OpenReply;
use super::exchange::SendFailure;
use super::send_permit::SendPermit;
use crate::cluster::ServerOutcome;
use crate::codec::PlatformCodec;
use crate::load_guard::LoadGuard;
use crate::model::OnwardOrder;
use crate::state::GatewayState;
use crate::timing::by_deadline;
use crate::upstream::KeptConnection;
use crate::upstream::SendTarget;

/// A stream whose first event has come.
#[derive(Debug)]
pub struct OpenStream {
    pub status: StatusCode,
    /// As the caller gets them.
    pub headers: HeaderMap,
    /// `None` for a stream that ended without any event.
    pub first: Option<StreamEvent>,
    pub reader: EventReader,
    pub target: SendTarget,
    /// Kept once the stream has ended well; `None` when the server closes.
    pub connection: Option<KeptConnection>,
    pub keep_alive: Option<Duration>,
    /// False when its end looks like its server's.
    pub is_delimited: bool,
    pub hold: LoadGuard,
}

/// How opening a stream ended.
#[derive(Debug)]
pub enum OpenEnd {
    Stream(Box<OpenStream>),
    /// The server's own failure, read whole.
    Answered(Response<GatewayBody>),
    Failed(SendFailure),
}

/// Sends `call` by `order` to the server of `hold` and waits up to
/// `patience` for the first event.
pub async fn open<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: &Call,
    hold: LoadGuard,
    permit: SendPermit,
    order: &OnwardOrder,
    patience: Duration,
) -> OpenEnd {
    let Some(target) = exchange::send_target(state, &hold.server) else {
        return OpenEnd::Failed(SendFailure::Unsent);
    };
    let until = Instant::now() + patience;
    let reply = match exchange::exchange::<C>(state, call, &target, order, permit, patience).await {
        Ok(reply) => reply,
        Err(failure) => return OpenEnd::Failed(failure),
    };
    let fail = |failure, problem: &str| {
        OpenEnd::Failed(exchange::fail(state, call, &target, failure, problem))
    };
    let status = reply.response.status();
    if !status.is_success() {
        return match by_deadline(until, read_failure::<C>(reply)).await {
            Some(Ok(response)) => {
                state.note_outcome(&target, ServerOutcome::Erred);
                OpenEnd::Answered(response)
            }
            Some(Err(error)) => fail(SendFailure::Broken, &error.to_string()),
            None => fail(SendFailure::Silent, "no answer body in time"),
        };
    }
    let OpenReply { response, head, connection, .. } = reply;
    let (parts, body) = response.into_parts();
    let mut reader = EventReader::new(body);
    let first = match by_deadline(until, reader.next_event()).await {
        Some(Ok(first)) => first,
        Some(Err(error)) => return fail(SendFailure::Broken, &error.to_string()),
        None => return fail(SendFailure::Silent, "no first event in time"),
    };
    state.note_outcome(&target, ServerOutcome::Fine);
    OpenEnd::Stream(Box::new(OpenStream {
        status,
        headers: C::response_headers(&parts.headers),
        first,
        reader,
        target,
        connection: (!head.closes).then_some(connection),
        keep_alive: head.keep_alive,
        is_delimited: exchange::is_delimited(&parts.headers),
        hold,
    }))
}

async fn read_failure<C: PlatformCodec>(
    reply: OpenReply,
) -> Result<Response<GatewayBody>, hyper::Error> {
    let (parts, body) = reply.response.into_parts();
    let body = body.collect().await?.to_bytes();
    let mut response = Response::new(answer::whole(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = C::response_headers(&parts.headers);
    Ok(response)
}
