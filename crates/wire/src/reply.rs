//! Response bodies: a whole body or a stream of chunks fed by a channel.

use std::convert::Infallible;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Frame;
use serde::Serialize;

/// One chunk of a streamed body.
pub type BodyChunk = Result<Frame<Bytes>, Infallible>;
/// The sending half of a streamed body; dropping it ends the body.
pub type ChunkSender = async_channel::Sender<BodyChunk>;
/// A body that is either sent whole or streamed chunk by chunk.
pub type ReplyBody = Either<Full<Bytes>, StreamBody<async_channel::Receiver<BodyChunk>>>;

/// How many chunks a streamed body buffers before the sender waits.
const STREAM_BUFFER_CHUNKS: usize = 64;

/// A JSON response with `status` and the serialised `value`.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<ReplyBody> {
    let body = serde_json::to_vec(value).expect("serialising a reply never fails");
    full(status, "application/json", Bytes::from(body))
}

/// A response carrying `body` whole, with the given content type.
pub fn full(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<ReplyBody> {
    let mut response = Response::new(Either::Left(Full::new(body)));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// A JSON error body `{"error": {"message", "type"}}` in the OpenAI shape,
/// with `Retry-After` when the caller should come back later.
pub fn rejection(
    status: StatusCode,
    kind: &str,
    message: &str,
    retry_after_s: Option<u64>,
) -> Response<ReplyBody> {
    let body = serde_json::json!({ "error": { "message": message, "type": kind } });
    let mut response = json(status, &body);
    if let Some(seconds) = retry_after_s {
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// A streamed response and the sender that feeds it.
pub fn stream(
    status: StatusCode,
    content_type: &'static str,
) -> (ChunkSender, Response<ReplyBody>) {
    let (sender, receiver) = async_channel::bounded(STREAM_BUFFER_CHUNKS);
    let mut response = Response::new(Either::Right(StreamBody::new(receiver)));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    (sender, response)
}

/// Sends `bytes` as the next chunk; false when the receiver (the caller's
/// connection) is gone.
pub async fn send_chunk(sender: &ChunkSender, bytes: Bytes) -> bool {
    sender.send(Ok(Frame::data(bytes))).await.is_ok()
}
