//! Sees that a peer has closed its connection while nothing is read from it.

use std::time::Duration;

use rustix::event::PollFd;
use rustix::event::PollFlags;
use rustix::event::Timespec;
use smol::Timer;
use smol::net::TcpStream;

/// Interval at which a connection is checked that is not read.
pub const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

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
        Timer::after(CLOSE_CHECK_INTERVAL).await;
    }
}
