//! Bodies of answers to callers.

use bytes::Bytes;
use http_body_util::Either;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Frame;
use snafu::Snafu;

/// The stream ended early: the connection is closed without the mark of a
/// whole body, so that the answer can't be taken for complete.
#[derive(Debug, Clone, Copy, Snafu)]
#[snafu(display("the answer ended early"))]
pub struct StreamBroken;

/// One piece of a streamed answer.
pub type BodyFrame = Result<Frame<Bytes>, StreamBroken>;
/// An answer's body: whole, or piece by piece.
pub type GatewayBody = Either<Full<Bytes>, StreamBody<async_channel::Receiver<BodyFrame>>>;

/// A body sent whole.
pub fn full(body: Bytes) -> GatewayBody {
    Either::Left(Full::new(body))
}

/// A body sent piece by piece, and what feeds it. Dropping the sender ends
/// the body as complete; a [`StreamBroken`] ends it as broken.
pub fn streamed() -> (async_channel::Sender<BodyFrame>, GatewayBody) {
    let (sender, receiver) = async_channel::bounded(MAX_BUFFERED_FRAMES);
    (sender, Either::Right(StreamBody::new(receiver)))
}

/// Pieces that wait for a slow caller; then the server is made to wait.
const MAX_BUFFERED_FRAMES: usize = 16;
