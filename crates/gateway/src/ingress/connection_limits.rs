//! Limits of callers' connections that change while connections are open.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_lite::AsyncWriteExt;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Either;
use http_body_util::Full;
use smol::net::TcpStream;
use umberglade_wire::lingering_close;
use umberglade_wire::memory::ConnectionShare;

use super::head_stream::HeadProgress;
use super::head_stream::HeadStage;
use crate::events;
use crate::forward::GatewayBody;
use crate::state::GatewayState;
use crate::timing::with_deadline;

/// Size of heads that a connection can read whatever the limit was when it opened.
const MIN_HEAD_CAPACITY_BYTES: usize = 64 * 1024;
/// Smallest limit on the size of heads that is enforced.
const MIN_HEADER_LIMIT_BYTES: usize = 8 * 1024;
/// Bytes that separate a header's name from its value and from the next header.
const HEADER_SEPARATOR_BYTES: usize = 4;
/// Reason of a rejection in logs and metrics.
const HEAD_TOO_LARGE: &str = "head_too_large";
/// How long writing [`HEAD_TIMEOUT_RESPONSE`] may take.
const REJECTION_TIMEOUT: Duration = Duration::from_secs(1);
/// The response to a head that did not arrive in time.
const HEAD_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Returns the size of heads that a connection opened now can read, in bytes.
pub fn head_capacity(state: &GatewayState) -> usize {
    let limits = state.caller_limits_since(Instant::now());
    limits.max_header_bytes.max(MIN_HEAD_CAPACITY_BYTES)
}

/// Returns the response that rejects `request` if its head is larger than the limit.
pub fn reject_large_head<B>(
    state: &GatewayState,
    request: &Request<B>,
) -> Option<Response<GatewayBody>> {
    let limit = state.caller_limits_since(Instant::now()).max_header_bytes;
    let bytes = head_bytes(request);
    if bytes <= limit.max(MIN_HEADER_LIMIT_BYTES) {
        return None;
    }
    tracing::info!(
        event = events::CALL_REJECTED,
        request_id = "-",
        reason = HEAD_TOO_LARGE,
        bytes,
        limit,
        config = state.config_version(),
        "rejected"
    );
    metrics::counter!("umberglade_refusals_total", "reason" => HEAD_TOO_LARGE).increment(1);
    let mut response = Response::new(Either::Left(Full::new(Bytes::new())));
    *response.status_mut() = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    Some(response)
}

/// Returns the size of the head of `request`, as HTTP/1.1 encodes it.
fn head_bytes<B>(request: &Request<B>) -> usize {
    let target = request.uri().path_and_query().map_or(1, |target| target.as_str().len());
    let headers = request.headers().iter();
    let header_bytes =
        headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_SEPARATOR_BYTES);
    request.method().as_str().len() + target + header_bytes.sum::<usize>()
}

/// Closes a connection after a time limit, if one has passed: rejects a head that had begun, and
/// prevents a request that crosses the close from resetting the connection.
pub async fn close_expired(
    mut stream: TcpStream,
    share: &ConnectionShare,
    progress: &HeadProgress,
) {
    // Written after an unsent rest of the response before, it would be part of that one.
    if progress.is(HeadStage::HeadExpired) && progress.is_flushed() {
        let deadline = Instant::now() + REJECTION_TIMEOUT;
        // Fails if the caller has left or does not read.
        let _ = with_deadline(deadline, stream.write_all(HEAD_TIMEOUT_RESPONSE)).await;
    }
    if progress.is(HeadStage::HeadExpired) || progress.is(HeadStage::IdleExpired) {
        lingering_close::close(stream, share).await;
    }
}
