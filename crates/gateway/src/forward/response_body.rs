//! Bodies of responses to callers.

use async_channel::SendError;
use async_channel::Sender;
use bytes::Buf;
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

/// Number of frames held for a caller that reads slowly, before the server has to wait too.
const MAX_HELD_FRAMES: usize = 1;
/// Maximum size of a frame that [`send_all`] sends, in bytes.
const MAX_FRAME_BYTES: usize = 16 * 1024;

/// Returns a streamed body and the sender of its frames. Dropping the sender completes the
/// body; sending [`StreamBroken`] aborts it.
pub fn streamed() -> (Sender<BodyFrame>, GatewayBody) {
    let (sender, receiver) = async_channel::bounded(MAX_HELD_FRAMES);
    (sender, Either::Right(StreamBody::new(receiver)))
}

/// Sends `bytes` in frames of at most [`MAX_FRAME_BYTES`], none of which shares memory with a longer
/// piece: so is bounded what is held for a caller that reads slowly. Fails if the body was dropped.
pub async fn send_all(
    sender: &Sender<BodyFrame>,
    mut bytes: Bytes,
) -> Result<(), SendError<BodyFrame>> {
    if bytes.len() <= MAX_FRAME_BYTES {
        return sender.send(Ok(Frame::data(bytes))).await;
    }
    while !bytes.is_empty() {
        let piece = Bytes::copy_from_slice(&bytes[..bytes.len().min(MAX_FRAME_BYTES)]);
        bytes.advance(piece.len());
        sender.send(Ok(Frame::data(piece))).await?;
    }
    Ok(())
}
