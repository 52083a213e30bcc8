//! Closes a connection whose caller may still be sending.

use std::net::Shutdown;
use std::time::Duration;

use futures_lite::AsyncReadExt;
use futures_lite::FutureExt;
use smol::net::TcpStream;

use crate::memory::ConnectionShare;

/// How long a caller may go on sending after its response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// The same while others need the connection's share.
const EVICTED_LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// What a caller may go on sending after its response: more than any body within the limits.
const MAX_LINGER_BYTES: usize = 8 * 1024 * 1024;
/// Size of the buffer for discarded bytes.
const BUFFER_BYTES: usize = 4 * 1024;

/// Closes the sending direction of `stream`, and discards what its caller still sends until the
/// caller closes too, [`LINGER_TIMEOUT`] is over, [`MAX_LINGER_BYTES`] have come, or others have
/// needed its `share`, to which it still belongs, for [`EVICTED_LINGER_TIMEOUT`].
///
/// Prevents the loss of a response that was sent before its request had arrived completely: closing
/// a connection with unread bytes resets it, and the caller may discard the response.
pub async fn close(mut stream: TcpStream, share: &ConnectionShare) {
    share.begin_closing();
    // Fails only if the connection has already been reset.
    let _ = stream.shutdown(Shutdown::Write);
    let timed_out = async {
        smol::Timer::after(LINGER_TIMEOUT).await;
    };
    let evicted = async {
        share.wait_evicted().await;
        smol::Timer::after(EVICTED_LINGER_TIMEOUT).await;
    };
    discard(&mut stream).or(timed_out).or(evicted).await;
}

async fn discard(stream: &mut TcpStream) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut left = MAX_LINGER_BYTES;
    while let Ok(count @ 1..) = stream.read(&mut buffer).await {
        left = left.saturating_sub(count);
        if left == 0 {
            return;
        }
    }
}
