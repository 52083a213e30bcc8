//! A response body whose abort cannot overtake the head of its response.
//!
//! An HTTP server drops what it has not written yet when a body fails, the response head
//! included. [`OrderedBody`] therefore holds an error back until the connection, a
//! [`TrackedStream`], has written everything before it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use event_listener::Event;
use event_listener::EventListener;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use pin_project_lite::pin_project;

/// How long an error waits for a caller that does not read.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Notifies the bodies of one connection when it has written all its buffered bytes.
#[derive(Debug, Clone, Default)]
pub struct FlushSignal {
    flushed: Arc<Event>,
    flush_count: Arc<AtomicU64>,
}

impl FlushSignal {
    /// Returns how many times the connection has written all its buffered bytes.
    pub fn flush_count(&self) -> u64 {
        self.flush_count.load(Ordering::Acquire)
    }

    fn record_flush(&self) {
        self.flush_count.fetch_add(1, Ordering::AcqRel);
        self.flushed.notify(usize::MAX);
    }
}

pin_project! {
    /// A connection that notifies a [`FlushSignal`] of each completed flush.
    #[derive(Debug)]
    pub struct TrackedStream<S> {
        #[pin]
        stream: S,
        signal: FlushSignal,
    }
}

impl<S> TrackedStream<S> {
    /// Wraps `stream`, whose flushes notify `signal`.
    pub fn new(stream: S, signal: FlushSignal) -> Self {
        TrackedStream { stream, signal }
    }
}

impl<S: AsyncRead> AsyncRead for TrackedStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.project().stream.poll_read(cx, buffer)
    }
}

impl<S: AsyncWrite> AsyncWrite for TrackedStream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.project().stream.poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.project().stream.poll_write_vectored(cx, slices)
    }

    // The HTTP server calls this only once its own buffer is empty.
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.project();
        let flushed = ready!(this.stream.poll_flush(cx));
        if flushed.is_ok() {
            this.signal.record_flush();
        }
        Poll::Ready(flushed)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.project().stream.poll_close(cx)
    }
}

pin_project! {
    /// A body whose error is returned only after the connection has written the response head
    /// and all earlier frames, or after [`FLUSH_TIMEOUT`].
    #[derive(Debug)]
    pub struct OrderedBody<B: Body> {
        #[pin]
        body: B,
        signal: FlushSignal,
        held_error: Option<HeldError<B::Error>>,
    }
}

/// An error that waits for the next flush.
#[derive(Debug)]
struct HeldError<E> {
    error: E,
    flushed: EventListener,
    timeout: smol::Timer,
}

impl<E> HeldError<E> {
    fn is_due(&mut self, cx: &mut Context<'_>) -> bool {
        Pin::new(&mut self.flushed).poll(cx).is_ready()
            || Pin::new(&mut self.timeout).poll(cx).is_ready()
    }
}

impl<B: Body> OrderedBody<B> {
    /// Wraps `body`, which is sent on the connection whose flushes notify `signal`.
    pub fn new(body: B, signal: FlushSignal) -> Self {
        OrderedBody { body, signal, held_error: None }
    }
}

impl<B: Body> Body for OrderedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let this = self.project();
        if this.held_error.is_none() {
            match ready!(this.body.poll_frame(cx)) {
                Some(Err(error)) => {
                    // Listens before the server can flush, which it does once this body is pending.
                    let flushed = this.signal.flushed.listen();
                    let timeout = smol::Timer::after(FLUSH_TIMEOUT);
                    *this.held_error = Some(HeldError { error, flushed, timeout });
                }
                frame => return Poll::Ready(frame),
            }
        }
        match this.held_error.take_if(|held_error| held_error.is_due(cx)) {
            Some(held_error) => Poll::Ready(Some(Err(held_error.error))),
            None => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.held_error.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
