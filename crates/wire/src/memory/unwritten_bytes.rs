//! Bytes of answers that an HTTP server has taken and not written.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

/// Bytes that an HTTP server takes of a body before it has written what it took before.
const MAX_UNWRITTEN_BYTES: usize = 16 * 1024;

/// Keeps an HTTP server from copying more of a body than its caller takes.
#[derive(Debug, Default)]
pub(super) struct UnwrittenBytes {
    state: Mutex<UnwrittenState>,
}

#[derive(Debug, Default)]
struct UnwrittenState {
    bytes: usize,
    /// The body that waits until bytes have been written.
    waiting: Option<Waker>,
}

impl UnwrittenBytes {
    fn state(&self) -> MutexGuard<'_, UnwrittenState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how many more bytes the server may take; waits while it is none.
    pub fn poll_room(&self, cx: &mut Context<'_>) -> Poll<usize> {
        let mut state = self.state();
        let room = MAX_UNWRITTEN_BYTES.saturating_sub(state.bytes);
        if room > 0 {
            return Poll::Ready(room);
        }
        state.waiting = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Records that the server has taken `bytes`.
    pub fn add(&self, bytes: usize) {
        self.state().bytes += bytes;
    }

    /// Records that `bytes` have been written.
    pub fn subtract(&self, bytes: usize) {
        let mut state = self.state();
        state.bytes = state.bytes.saturating_sub(bytes);
        if state.bytes < MAX_UNWRITTEN_BYTES
            && let Some(waiting) = state.waiting.take()
        {
            waiting.wake();
        }
    }

    /// Records that all that was taken has been written.
    pub fn clear(&self) {
        self.subtract(usize::MAX);
    }
}
