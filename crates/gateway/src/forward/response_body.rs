//! Bodies of responses to callers.

use bytes::Bytes;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Frame;
use snafu::Snafu;

/// The stream ended early. The connection is closed before the end of the body, so that callers
/// do not mistake the response for a complete one.
#[derive(Debug, Clone, Copy, Snafu)]
#[snafu(display("the response ended early"))]
pub struct StreamBroken;

/// One frame of a streamed response.
pub type BodyFrame = Result<Frame<Bytes>, StreamBroken>;
/// The body of a response: buffered or streamed.
pub type GatewayBody = Either<Full<Bytes>, StreamBody<async_channel::Receiver<BodyFrame>>>;

/// Returns a body that is sent at once.
pub fn full(body: Bytes) -> GatewayBody {
    Either::Left(Full::new(body))
}

/// Returns a streamed body and the sender of its frames. Dropping the sender completes the
/// body; sending [`StreamBroken`] aborts it.
pub fn streamed() -> (async_channel::Sender<BodyFrame>, GatewayBody) {
    streamed_with(MAX_BUFFERED_FRAMES)
}

/// Like [`streamed`], with at most `max_buffered` frames that the caller has not taken.
pub fn streamed_with(max_buffered: usize) -> (async_channel::Sender<BodyFrame>, GatewayBody) {
    let (sender, receiver) = async_channel::bounded(max_buffered);
    (sender, Either::Right(StreamBody::new(receiver)))
}

/// Number of frames buffered for a slow caller before backpressure reaches the server.
const MAX_BUFFERED_FRAMES: usize = 16;
