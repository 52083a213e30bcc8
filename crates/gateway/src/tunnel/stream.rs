//! The end of a tunnel at the gateway that has the request.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use rustix::net::sockopt;
use smol::net::TcpStream;

use super::messages::CHUNK_HEAD_BYTES;

/// What is read next from the peer.
#[derive(Debug)]
enum ReadState {
    /// The length of a chunk, of which `filled` bytes have arrived.
    Head { bytes: [u8; CHUNK_HEAD_BYTES], filled: usize },
    /// A chunk, of which `left` bytes have not arrived.
    Chunk { left: usize },
    /// The server has closed the connection.
    Ended,
}

impl ReadState {
    const START: ReadState = ReadState::Head { bytes: [0; CHUNK_HEAD_BYTES], filled: 0 };
}

/// A connection to a server through a peer.
///
/// Reads return the server's bytes, and fail if the tunnel ends before the server closes its
/// connection. Prevents a response that ends with its connection from looking complete when only
/// the tunnel broke.
#[derive(Debug)]
pub struct TunnelStream {
    stream: TcpStream,
    state: ReadState,
}

impl TunnelStream {
    /// Returns the tunnel on `stream`, whose peer has replied that it is open.
    pub fn new(stream: TcpStream) -> Self {
        TunnelStream { stream, state: ReadState::START }
    }
}

impl Drop for TunnelStream {
    /// Resets a tunnel that is left before its server has closed it: a close would arrive only behind
    /// the bytes that a server, and so the peer, does not read.
    fn drop(&mut self) {
        if !matches!(self.state, ReadState::Ended) {
            // Without it the peer sees the close later, at the end of the tunnel's lifetime at most.
            let _ = sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let TunnelStream { stream, state } = &mut *self;
        loop {
            match state {
                ReadState::Ended => return Poll::Ready(Ok(0)),
                ReadState::Head { bytes, filled } => {
                    let rest = &mut bytes[*filled..];
                    let count = ready!(Pin::new(&mut *stream).poll_read(context, rest))?;
                    if count == 0 {
                        return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
                    }
                    *filled += count;
                    if *filled == CHUNK_HEAD_BYTES {
                        *state = match u16::from_le_bytes(*bytes) {
                            0 => ReadState::Ended,
                            left => ReadState::Chunk { left: left.into() },
                        };
                    }
                }
                ReadState::Chunk { left } => {
                    let wanted = buffer.len().min(*left);
                    let read = Pin::new(&mut *stream).poll_read(context, &mut buffer[..wanted]);
                    let count = ready!(read)?;
                    if count == 0 && wanted > 0 {
                        return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
                    }
                    *left -= count;
                    if *left == 0 {
                        *state = ReadState::START;
                    }
                    return Poll::Ready(Ok(count));
                }
            }
        }
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
