//! The receive window of callers' connections: what they may send before it is read.

use smol::net::TcpListener;

/// Size of the receive buffer that is asked for; the system takes twice that, half of it for its
/// own bookkeeping. Carries 10 Mbit/s to callers 12 ms away.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;

/// Limits the receive window of the connections that `listener` accepts: bytes that have arrived
/// and are not read count as memory of the process.
pub fn limit(listener: &TcpListener) {
    let limited = rustix::net::sockopt::set_socket_recv_buffer_size(listener, RECEIVE_BUFFER_BYTES);
    if let Err(error) = limited {
        tracing::warn!(
            event = RECEIVE_WINDOW_NOT_LIMITED,
            %error,
            "cannot limit the receive window of callers' connections"
        );
    }
}

/// The log event of a listener whose connections have the system's receive window.
pub const RECEIVE_WINDOW_NOT_LIMITED: u32 = 9004;
