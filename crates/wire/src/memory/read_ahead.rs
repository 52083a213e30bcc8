//! Bytes that are read ahead of the HTTP server, behind a request that is served.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Buf;
use bytes::BytesMut;
use rustix::net::RecvFlags;
use smol::net::TcpStream;

use super::connection_share::ConnectionShare;
use super::connection_share::MemoryGrant;

/// Bytes that are read ahead at most.
const MAX_AHEAD_BYTES: usize = 128 * 1024;

/// The bytes of one connection that have been read ahead.
///
/// The receive window of a connection is small, and the end of what a caller sends lies behind the
/// bytes that found no place in it: without this, a caller that leaves after the beginning of a
/// further request would be seen only when that is read.
#[derive(Debug, Default)]
pub struct ReadAhead {
    state: Mutex<AheadState>,
}

/// Invariant: `grant` covers `bytes`.
#[derive(Debug, Default)]
struct AheadState {
    bytes: BytesMut,
    grant: Option<MemoryGrant>,
}

impl ReadAhead {
    fn state(&self) -> MutexGuard<'_, AheadState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes up to `buffer.len()` bytes that have been read ahead.
    pub(super) fn take(&self, buffer: &mut [u8]) -> usize {
        let mut state = self.state();
        let count = buffer.len().min(state.bytes.len());
        buffer[..count].copy_from_slice(&state.bytes[..count]);
        state.bytes.advance(count);
        if state.bytes.is_empty() {
            *state = AheadState::default();
        }
        count
    }

    /// Reads ahead what has arrived at `stream` behind the request that is served, as far as
    /// `share` can draw for it, and records how much lies there.
    pub(crate) fn fill(&self, stream: &TcpStream, share: &ConnectionShare) {
        if !share.is_serving() {
            return;
        }
        let mut state = self.state();
        let unread = unread_bytes(stream);
        share.record_behind(state.bytes.len() + unread);
        let wanted = unread.min(MAX_AHEAD_BYTES.saturating_sub(state.bytes.len()));
        if wanted > 0 && state.draw(share, wanted) {
            state.receive(stream, wanted);
        }
    }
}

impl AheadState {
    /// Draws for `more` bytes; returns false if there is no room for them.
    fn draw(&mut self, share: &ConnectionShare, more: usize) -> bool {
        let needed = self.bytes.len() + more;
        match &mut self.grant {
            Some(grant) => grant.try_grow_small(needed).is_ok(),
            None => {
                self.grant = share.grant(needed).ok();
                self.grant.is_some()
            }
        }
    }

    fn receive(&mut self, stream: &TcpStream, wanted: usize) {
        let length = self.bytes.len();
        self.bytes.resize(length + wanted, 0);
        let received = rustix::net::recv(stream, &mut self.bytes[length..], RecvFlags::DONTWAIT);
        // An error tells nothing here: the next read of the HTTP server finds out.
        let count = received.map_or(0, |(count, _)| count);
        self.bytes.truncate(length + count);
    }
}

/// Returns how many bytes have arrived at `stream` and are not read.
fn unread_bytes(stream: &TcpStream) -> usize {
    // An error tells nothing of the peer: the next read finds out.
    rustix::io::ioctl_fionread(stream).map_or(0, |bytes| bytes as usize)
}
