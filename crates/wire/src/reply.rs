//! HTTP responses with a complete body or with a body that is streamed from a channel.

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

/// One chunk of a streamed response body.
pub type BodyChunk = Result<Frame<Bytes>, Infallible>;
/// The sending half of a streamed response body. Dropping it ends the body.
pub type ChunkSender = async_channel::Sender<BodyChunk>;
/// A response body that is either complete or streamed in chunks.
pub type ReplyBody = Either<Full<Bytes>, StreamBody<async_channel::Receiver<BodyChunk>>>;

/// The number of chunks that a streamed body buffers before its sender has to wait.
const STREAM_BUFFER_CHUNKS: usize = 1;

/// Returns a response with `status` and `value` serialised as JSON.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<ReplyBody> {
    let body = serde_json::to_vec(value).expect("serialising a reply never fails");
    full(status, "application/json", Bytes::from(body))
}

/// Returns a response with `status`, `content_type` and the complete `body`.
pub fn full(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<ReplyBody> {
    let mut response = Response::new(Either::Left(Full::new(body)));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Returns an error response with the JSON body `{"error": {"message", "type"}}` of the OpenAI
/// API, and with a `Retry-After` header when `retry_after_s` is given.
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

/// Returns a streamed response and the sender of its body.
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

/// Sends `bytes` as the next chunk. Returns false when the receiver, the caller's connection, is
/// closed.
pub async fn send_chunk(sender: &ChunkSender, bytes: Bytes) -> bool {
    sender.send(Ok(Frame::data(bytes))).await.is_ok()
}
