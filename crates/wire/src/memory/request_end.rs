//! The end of a request, in its handler or with the body of its answer.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use pin_project_lite::pin_project;

use super::connection_share::ConnectionShare;

/// Ends a request when it is dropped, in its handler or with the body of its answer.
#[derive(Debug)]
pub struct RequestEnd {
    share: ConnectionShare,
}

impl RequestEnd {
    pub(super) fn new(share: ConnectionShare) -> Self {
        RequestEnd { share }
    }

    /// Returns `body`, with which the request ends.
    pub fn attach<B: Body<Data = Bytes>>(self, body: B) -> GuardedBody<B> {
        GuardedBody { body, rest: Bytes::new(), request_end: self }
    }
}

impl Drop for RequestEnd {
    fn drop(&mut self) {
        self.share.end_request();
    }
}

pin_project! {
    /// The body of an answer, with which its request ends. It is handed over in pieces, as far as
    /// the caller takes them.
    #[derive(Debug)]
    pub struct GuardedBody<B> {
        #[pin]
        body: B,
        // The rest of a frame that was too large to be handed over.
        rest: Bytes,
        request_end: RequestEnd,
    }
}

impl<B: Body<Data = Bytes>> Body for GuardedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let this = self.project();
        let unwritten = this.request_end.share.unwritten();
        let room = ready!(unwritten.poll_room(cx));
        if this.rest.is_empty() {
            match ready!(this.body.poll_frame(cx)) {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => *this.rest = data,
                    Err(trailers) => return Poll::Ready(Some(Ok(trailers))),
                },
                end => return Poll::Ready(end),
            }
        }
        let piece = this.rest.split_to(room.min(this.rest.len()));
        unwritten.add(piece.len());
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let rest = self.rest.len() as u64;
        let body = self.body.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(body.lower() + rest);
        if let Some(upper) = body.upper() {
            hint.set_upper(upper + rest);
        }
        hint
    }
}
