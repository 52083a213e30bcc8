//! Sees that a caller has left while nothing is read from its connection.

use std::pin::Pin;
use std::pin::pin;
use std::task::Poll;
use std::task::ready;

use smol::Timer;
use smol::net::TcpStream;

use super::head_stream::HeadProgress;
use crate::peer_close::CLOSE_CHECK_INTERVAL;
use crate::peer_close::is_closed_by_peer;

/// Waits until the caller leaves while the HTTP server, which `progress` follows, does not wait for
/// its bytes: the HTTP server sees that itself only while nothing lies unread behind a request.
///
/// Must be polled in the connection's task, after the connection.
pub async fn wait_left(stream: &TcpStream, progress: &HeadProgress) {
    let mut timer = pin!(None::<Timer>);
    std::future::poll_fn(|cx| {
        loop {
            if progress.is_read_awaited() {
                timer.set(None);
                return Poll::Pending;
            }
            if timer.is_none() {
                timer.set(Some(Timer::after(CLOSE_CHECK_INTERVAL)));
            }
            let running = timer.as_mut().as_pin_mut().expect("set above");
            ready!(Future::poll(running as Pin<&mut Timer>, cx));
            if is_closed_by_peer(stream) {
                return Poll::Ready(());
            }
            timer.set(None);
        }
    })
    .await
}
