//! Errors of requests that got no response head from a server.

use std::io::ErrorKind;
use std::net::SocketAddr;

use snafu::Snafu;

use crate::tunnel::TunnelError;

/// Linux's error numbers `ENFILE`, `EMFILE` and `ENOBUFS`, for which there is no [`ErrorKind`].
const OUT_OF_RESOURCES: [i32; 3] = [23, 24, 105];

/// Why a request got no response head.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SendError {
    /// No connection could be opened: nothing was sent.
    #[snafu(display("connecting to {peer}: {source}"))]
    Connect { peer: SocketAddr, source: std::io::Error },
    /// No connection could be opened in time: nothing was sent.
    #[snafu(display("connecting to {peer}: no response within {timeout_ms} ms"))]
    ConnectTimeout { peer: SocketAddr, timeout_ms: u64 },
    /// No other gateway opened a tunnel: nothing was sent.
    #[snafu(display("tunnel to {peer}: {source}"))]
    Tunnel { peer: SocketAddr, source: TunnelError },
    /// The HTTP handshake failed: nothing was sent.
    #[snafu(display("HTTP handshake with {peer}: {source}"))]
    Handshake { peer: SocketAddr, source: hyper::Error },
    /// The peer closed the new connection before anything was written on it: nothing was sent. So
    /// does a server that is ending, whose listener still accepts.
    #[snafu(display("new connection with {peer}: {source}"))]
    ClosedAtOnce { peer: SocketAddr, source: hyper::Error },
    /// The request may have been sent, and no response arrived in time.
    #[snafu(display("no response within {timeout_ms} ms"))]
    Silent { peer: SocketAddr, timeout_ms: u64 },
    /// The peer sent bytes that are no answer; the request may have run.
    #[snafu(display("{peer} sent no answer: {source}"))]
    Malformed { peer: SocketAddr, source: hyper::Error },
    /// The connection failed when the request may already have been sent.
    #[snafu(display("waiting for the response of {peer}: {source}"))]
    Broken { peer: SocketAddr, source: hyper::Error },
}

impl SendError {
    /// Returns true when the server has certainly not received the request.
    pub fn is_unsent(&self) -> bool {
        !matches!(
            self,
            SendError::Broken { .. } | SendError::Malformed { .. } | SendError::Silent { .. }
        )
    }

    /// Returns true when no connection opened in time, while none was refused.
    pub fn is_connect_timeout(&self) -> bool {
        match self {
            SendError::ConnectTimeout { .. } => true,
            SendError::Tunnel { source, .. } => source.is_timeout(),
            _ => false,
        }
    }

    /// Returns true when this process had no descriptor, memory or port for a connection, which tells
    /// nothing of the server.
    pub fn is_local(&self) -> bool {
        let SendError::Connect { source, .. } = self else { return false };
        matches!(source.kind(), ErrorKind::AddrNotAvailable | ErrorKind::OutOfMemory)
            || source.raw_os_error().is_some_and(|number| OUT_OF_RESOURCES.contains(&number))
    }

    /// Returns true when the attempt shows that the server refuses connections.
    pub fn is_refusal(&self) -> bool {
        match self {
            SendError::Connect { .. } => !self.is_local(),
            SendError::Tunnel { source, .. } => source.is_refusal(),
            _ => false,
        }
    }
}
