//! A response body that knows whether it was handed to the connection completely.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::task::ready;

use http::Method;
use http::Response;
use http::StatusCode;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use pin_project_lite::pin_project;

use super::accepted_request::RequestGuard;
use crate::forward::RequestStage;

pin_project! {
    /// A body that records in a [`RequestGuard`] when it has ended.
    #[derive(Debug)]
    pub struct AnswerBody<B: Body> {
        #[pin]
        body: B,
        guard: RequestGuard,
    }

    impl<B: Body> PinnedDrop for AnswerBody<B> {
        fn drop(this: Pin<&mut Self>) {
            let this = this.project();
            if has_ended(this.body) {
                this.guard.record_end_of_body();
            }
        }
    }
}

/// Returns true when what is left of `body` is complete, though the connection has not taken it.
fn has_ended<B: Body>(mut body: Pin<&mut B>) -> bool {
    let mut cx = Context::from_waker(Waker::noop());
    while !body.is_end_stream() {
        match body.as_mut().poll_frame(&mut cx) {
            Poll::Ready(Some(Ok(_))) => {}
            Poll::Ready(None) => return true,
            Poll::Ready(Some(Err(_))) | Poll::Pending => return false,
        }
    }
    true
}

impl<B: Body> AnswerBody<B> {
    /// Returns `response`, to a request with `method`, with a body that holds `guard`.
    pub fn wrap(
        response: Response<B>,
        method: &Method,
        mut guard: RequestGuard,
    ) -> Response<AnswerBody<B>> {
        guard.progress().reach(RequestStage::Answering);
        if response.body().is_end_stream() || !has_body(method, response.status()) {
            guard.record_handed_over();
        }
        response.map(|body| AnswerBody { body, guard })
    }
}

/// Returns true unless HTTP allows the response no body.
fn has_body(method: &Method, status: StatusCode) -> bool {
    let is_bodiless = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    *method != Method::HEAD && !is_bodiless
}

impl<B: Body> Body for AnswerBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let mut this = self.project();
        let frame = ready!(this.body.as_mut().poll_frame(cx));
        // A connection may stop polling once the body states that it has ended.
        if frame.is_none() || this.body.is_end_stream() {
            this.guard.record_handed_over();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
