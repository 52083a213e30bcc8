//! A caller's connection on which the arrival of a request's first bytes is seen.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;

/// Interval at which a connection that is to be closed is checked for being idle.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum HeadStage {
    /// The first byte of a request.
    Idle,
    /// The rest of a request's head; or a request has been read.
    Begun,
    /// Nothing: its idle limit has passed.
    IdleExpired,
    /// Nothing: the time limit for a head that had begun has passed.
    HeadExpired,
}

/// The stage of the head that is read on one connection.
#[derive(Debug, Clone)]
pub struct HeadProgress {
    /// A [`HeadStage`].
    stage: Arc<AtomicU8>,
    /// Whether all that the HTTP server has written so far has been sent.
    is_flushed: Arc<AtomicBool>,
}

impl Default for HeadProgress {
    fn default() -> Self {
        HeadProgress {
            stage: Arc::new(AtomicU8::new(HeadStage::Idle as u8)),
            is_flushed: Arc::new(AtomicBool::new(true)),
        }
    }
}

impl HeadProgress {
    pub fn set(&self, stage: HeadStage) {
        self.stage.store(stage as u8, Ordering::Release);
    }

    /// Waits until no request is being read or served. HTTP servers count a connection as idle
    /// while a head is half read, and close it then.
    pub async fn wait_idle(&self) {
        while self.is(HeadStage::Begun) {
            smol::Timer::after(IDLE_POLL_INTERVAL).await;
        }
    }

    /// Returns whether all responses so far have been sent completely.
    pub fn is_flushed(&self) -> bool {
        self.is_flushed.load(Ordering::Acquire)
    }

    pub fn is(&self, stage: HeadStage) -> bool {
        self.stage.load(Ordering::Acquire) == stage as u8
    }
}

/// A connection whose reads are noted in a [`HeadProgress`].
#[derive(Debug)]
pub struct HeadStream<S> {
    stream: S,
    progress: HeadProgress,
}

impl<S> HeadStream<S> {
    pub fn new(stream: S, progress: HeadProgress) -> Self {
        HeadStream { stream, progress }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        if count > 0 {
            self.progress.set(HeadStage::Begun);
        }
        Poll::Ready(Ok(count))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.progress.is_flushed.store(false, Ordering::Release);
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP server calls this only once its own buffer is empty.
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.progress.is_flushed.store(true, Ordering::Release);
        Poll::Ready(Ok(()))
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
