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
use snafu::Snafu;

use crate::filtered_stream::ReadFilter;

/// Maximum number of bytes that are read of an answer until its head, and then until each further
/// piece of its body, is complete. Larger than what an HTTP client reads ahead.
///
/// Bounds what no limit on a head or a body counts: interim responses, empty lines, the digits and
/// extensions of chunks.
const MAX_BYTES_WITHOUT_PROGRESS: usize = 256 * 1024;

/// Bytes that are read at once. An HTTP client doubles its buffer of 8 KB when a read fills it.
const MAX_READ_BYTES: usize = 8 * 1024 - 1;

/// The peer has sent more bytes than any answer needs.
#[derive(Debug, Clone, Copy, Snafu)]
#[snafu(display("{MAX_BYTES_WITHOUT_PROGRESS} bytes were no part of an answer"))]
struct AllowanceSpent;

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

impl ReadFilter for ReadAllowance {
    /// Fails once the allowance is spent.
    fn poll_read<S: AsyncRead + Unpin>(
        &self,
        stream: &mut S,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let wanted = buffer.len().min(self.left()).min(MAX_READ_BYTES);
        if wanted == 0 && !buffer.is_empty() {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, AllowanceSpent)));
        }
        let count = ready!(Pin::new(stream).poll_read(cx, &mut buffer[..wanted]))?;
        self.spend(count);
        Poll::Ready(Ok(count))
    }
}
