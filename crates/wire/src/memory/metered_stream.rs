//! A caller's connection, read in small pieces and drawn from a budget.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use snafu::Snafu;

use super::connection_share::ConnectionShare;
use super::connection_share::MemoryGrant;
use super::read_ahead::ReadAhead;

/// Bytes that are read at once. An HTTP server doubles its buffer of 8 KB when a read fills it.
const MAX_READ_BYTES: usize = 8 * 1024 - 1;
/// Bytes of a head that the share of a connection covers.
const COVERED_HEAD_BYTES: usize = 8 * 1024;
/// Step by which more is drawn for a head, in bytes. The buffer of a head doubles.
const HEAD_STEP_BYTES: usize = 16 * 1024;
/// Maximum number of bytes that are read until a head, and then until each further piece of its
/// body, is complete.
///
/// Bounds what no limit on a head or a body counts: empty lines, the digits and extensions of
/// chunks, trailers.
const MAX_BYTES_WITHOUT_PROGRESS: usize = 256 * 1024;

/// Why a connection is not read any more.
#[derive(Debug, Clone, Copy, Snafu)]
enum ReadRefused {
    #[snafu(display("{MAX_BYTES_WITHOUT_PROGRESS} bytes were no part of a request"))]
    NoProgress,
    #[snafu(display("no memory for the head of a request"))]
    NoMemory,
}

/// A connection whose reads and writes are noted in a [`ConnectionShare`].
#[derive(Debug)]
pub struct MeteredStream<S> {
    stream: S,
    share: ConnectionShare,
    ahead: Arc<ReadAhead>,
    /// What the head that arrives takes beyond the connection's own share.
    head_grant: Option<MemoryGrant>,
}

impl<S> MeteredStream<S> {
    /// Wraps `stream`, of which `ahead` has bytes that were read before.
    pub fn new(stream: S, share: ConnectionShare, ahead: Arc<ReadAhead>) -> Self {
        MeteredStream { stream, share, ahead, head_grant: None }
    }

    /// Draws what a head of `unparsed` bytes takes.
    fn draw_head(&mut self, unparsed: usize) -> Result<(), ReadRefused> {
        if unparsed > MAX_BYTES_WITHOUT_PROGRESS {
            return Err(ReadRefused::NoProgress);
        }
        if unparsed <= COVERED_HEAD_BYTES {
            self.head_grant = None;
            return Ok(());
        }
        let needed = (2 * unparsed).next_multiple_of(HEAD_STEP_BYTES);
        let drawn = match &mut self.head_grant {
            Some(grant) => grant.try_grow_small(needed),
            None => self.share.grant(needed).map(|grant| self.head_grant = Some(grant)),
        };
        drawn.map_err(|_| ReadRefused::NoMemory)
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let wanted = buffer.len().min(MAX_READ_BYTES);
        let count = match this.ahead.take(&mut buffer[..wanted]) {
            0 => ready!(Pin::new(&mut this.stream).poll_read(cx, &mut buffer[..wanted]))?,
            count => count,
        };
        if count > 0 {
            let unparsed = this.share.record_read(count);
            if let Err(refused) = this.draw_head(unparsed) {
                return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, refused)));
            }
        }
        Poll::Ready(Ok(count))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        let count = match &written {
            Poll::Ready(Ok(count)) => *count,
            _ => 0,
        };
        self.share.record_write(count);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP server calls this only once its own buffer is empty.
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if flushed.is_ready() {
            self.share.record_flushed();
        }
        flushed
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
