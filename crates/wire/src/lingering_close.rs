//! Closes a connection whose caller may still be sending.

use std::net::Shutdown;
use std::time::Duration;

use futures_lite::AsyncReadExt;
use futures_lite::FutureExt;
use smol::net::TcpStream;

/// How long a caller may go on sending after its response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of the buffer for discarded bytes.
const BUFFER_BYTES: usize = 8 * 1024;

/// Closes the sending direction of `stream`, and discards what its caller still sends until the
/// caller closes too or [`LINGER_TIMEOUT`] is over.
///
/// Prevents the loss of a response that was sent before its request had arrived completely: closing
/// a connection with unread bytes resets it, and the caller may discard the response.
pub async fn close(mut stream: TcpStream) {
    // Fails only if the connection has already been reset.
    let _ = stream.shutdown(Shutdown::Write);
    let discard = async {
        let mut buffer = [0; BUFFER_BYTES];
        while matches!(stream.read(&mut buffer).await, Ok(1..)) {}
    };
    let timed_out = async {
        smol::Timer::after(LINGER_TIMEOUT).await;
    };
    discard.or(timed_out).await;
}
