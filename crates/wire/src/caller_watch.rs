//! Sees that the peer of a connection has closed it while nothing is read from it.

use std::io;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use futures_lite::AsyncRead;
use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::event::Timespec;
use smol::Timer;
use smol::net::TcpStream;

use crate::filtered_stream::ReadFilter;
use crate::memory::ConnectionShare;
use crate::memory::ReadAhead;

/// Interval at which a connection is checked that is not read.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Returns true when the peer has closed its sending direction, or the connection is broken,
/// whatever it has sent before that is not read yet.
pub fn is_closed_by_peer(stream: &TcpStream) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    let count = rustix::event::poll(&mut polled, Some(&Timespec { tv_sec: 0, tv_nsec: 0 }));
    let signs = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    // An error tells nothing of the peer: the next read finds out.
    count.is_ok_and(|count| count > 0) && polled[0].revents().intersects(signs)
}

/// Waits until the peer has closed its connection.
pub async fn wait_closed(stream: &TcpStream) {
    while !is_closed_by_peer(stream) {
        Timer::after(CHECK_INTERVAL).await;
    }
}

/// Whether the HTTP server of a connection waits for its caller's bytes, and so sees when the caller
/// leaves.
#[derive(Debug, Clone)]
pub struct ReadWatch {
    is_read_awaited: Arc<AtomicBool>,
}

impl Default for ReadWatch {
    fn default() -> Self {
        ReadWatch { is_read_awaited: Arc::new(AtomicBool::new(true)) }
    }
}

impl ReadWatch {
    fn is_read_awaited(&self) -> bool {
        self.is_read_awaited.load(Ordering::Acquire)
    }
}

impl ReadFilter for ReadWatch {
    /// Notes whether the read has to wait.
    fn poll_read<S: AsyncRead + Unpin>(
        &self,
        stream: &mut S,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(stream).poll_read(cx, buffer);
        self.is_read_awaited.store(read.is_pending(), Ordering::Release);
        read
    }
}

/// Waits until the caller at `stream` leaves while its HTTP server does not wait for its bytes: HTTP
/// servers see that only while nothing lies unread behind a request. Reads `ahead` what lies there,
/// as far as `share` can draw for it.
///
/// Must be polled in the connection's task, after the connection.
pub async fn wait_left(
    stream: &TcpStream,
    watch: &ReadWatch,
    ahead: &ReadAhead,
    share: &ConnectionShare,
) {
    let mut timer = pin!(None::<Timer>);
    std::future::poll_fn(|cx| {
        loop {
            if watch.is_read_awaited() {
                timer.set(None);
                return Poll::Pending;
            }
            if timer.is_none() {
                timer.set(Some(Timer::after(CHECK_INTERVAL)));
            }
            let running = timer.as_mut().as_pin_mut().expect("set above");
            ready!(Future::poll(running as Pin<&mut Timer>, cx));
            if is_closed_by_peer(stream) {
                return Poll::Ready(());
            }
            ahead.fill(stream, share);
            timer.set(None);
        }
    })
    .await
}
