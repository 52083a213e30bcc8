//! The body of a request that is sent, in pieces.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;

/// Size of a piece, in bytes.
const PIECE_BYTES: usize = 16 * 1024;

/// A whole body that is handed over in pieces: an HTTP client copies each piece that it sends.
#[derive(Debug, Clone, Default)]
pub struct RequestContent {
    left: Bytes,
}

impl From<Bytes> for RequestContent {
    fn from(bytes: Bytes) -> Self {
        RequestContent { left: bytes }
    }
}

impl Body for RequestContent {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.left.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.left.len().min(PIECE_BYTES);
        let piece = self.left.split_to(length);
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.left.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left.len() as u64)
    }
}
