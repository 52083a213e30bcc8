//! A bound on the bytes that a peer may send without the answer getting on.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use snafu::Snafu;

/// Maximum number of bytes that are read of an answer until its head, and then until each further
/// piece of its body, is complete. Larger than what an HTTP client reads ahead.
///
/// Bounds what no limit on a head or a body counts: interim responses, empty lines, the digits and
/// extensions of chunks.
const MAX_BYTES_WITHOUT_PROGRESS: usize = 256 * 1024;

/// The peer has sent more bytes than any answer needs.
#[derive(Debug, Clone, Copy, Snafu)]
#[snafu(display("{MAX_BYTES_WITHOUT_PROGRESS} bytes were no part of an answer"))]
pub struct AllowanceSpent;

/// The bytes that may still be read from one connection.
#[derive(Debug, Clone)]
pub struct ReadAllowance {
    left: Arc<AtomicUsize>,
}

impl Default for ReadAllowance {
    fn default() -> Self {
        ReadAllowance { left: Arc::new(AtomicUsize::new(MAX_BYTES_WITHOUT_PROGRESS)) }
    }
}

impl ReadAllowance {
    /// Records that a request was sent, or that a part of its answer has arrived.
    pub fn renew(&self) {
        self.left.store(MAX_BYTES_WITHOUT_PROGRESS, Ordering::Release);
    }

    fn left(&self) -> usize {
        self.left.load(Ordering::Acquire)
    }

    fn spend(&self, bytes: usize) {
        // A renewal in between allows a little more, never less.
        self.left.store(self.left().saturating_sub(bytes), Ordering::Release);
    }
}

/// A connection whose reads fail once its [`ReadAllowance`] is spent.
#[derive(Debug)]
pub struct BoundedStream<S> {
    stream: S,
    allowance: ReadAllowance,
}

impl<S> BoundedStream<S> {
    pub fn new(stream: S, allowance: ReadAllowance) -> Self {
        BoundedStream { stream, allowance }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BoundedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let wanted = buffer.len().min(self.allowance.left());
        if wanted == 0 && !buffer.is_empty() {
            return Poll::Ready(Err(io::Error::other(AllowanceSpent)));
        }
        let count = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buffer[..wanted]))?;
        self.allowance.spend(count);
        Poll::Ready(Ok(count))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for BoundedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
