//! Opens a tunnel at a peer.

use std::io;
use std::net::SocketAddr;

use smol::net::TcpStream;
use snafu::ResultExt;
use snafu::Snafu;

use super::ConnectSign;
use super::TunnelReply;
use super::TunnelRequest;
use super::TunnelStream;
use super::messages::MAGIC;
use super::messages::decode_answer;
use crate::framing::read_frame;
use crate::framing::write_message;

/// Why a peer opened no tunnel. Nothing was sent to the server.
#[derive(Debug, Snafu)]
pub enum TunnelError {
    #[snafu(display("{step} at gateway {peer}: {source}"))]
    Peer { step: &'static str, peer: SocketAddr, source: io::Error },
    #[snafu(display("no tunnel from gateway {peer} in time"))]
    Timeout { peer: SocketAddr },
    #[snafu(display("gateway {peer} opened no tunnel: {reply} ({sign})"))]
    Rejected { peer: SocketAddr, reply: TunnelReply, sign: ConnectSign },
}

impl TunnelError {
    /// Returns true if the peer reaches servers, but not this one: it can still be asked for others.
    pub fn is_of_server(&self) -> bool {
        matches!(
            self,
            TunnelError::Rejected {
                reply: TunnelReply::Unreachable | TunnelReply::Unavailable,
                ..
            }
        )
    }

    /// Returns true if no connection opened in time.
    pub fn is_timeout(&self) -> bool {
        matches!(
            self,
            TunnelError::Timeout { .. } | TunnelError::Rejected { sign: ConnectSign::Silent, .. }
        )
    }

    /// Returns true if the server refused the peer's connection.
    pub fn is_refusal(&self) -> bool {
        matches!(self, TunnelError::Rejected { sign: ConnectSign::Refused, .. })
    }
}

/// Opens a tunnel at the gateway `peer`.
pub async fn open_tunnel(
    peer: SocketAddr,
    request: &TunnelRequest,
) -> Result<TunnelStream, TunnelError> {
    let mut stream =
        TcpStream::connect(peer).await.context(PeerSnafu { step: "connecting", peer })?;
    // A failure only costs the delay of Nagle's algorithm.
    let _ = stream.set_nodelay(true);
    write_message(&mut stream, MAGIC, request)
        .await
        .context(PeerSnafu { step: "asking for a tunnel", peer })?;
    let (magic, body) =
        read_frame(&mut stream).await.context(PeerSnafu { step: "awaiting a tunnel", peer })?;
    let answer = decode_answer(magic, &body);
    match answer.context(PeerSnafu { step: "reading the answer", peer })? {
        (TunnelReply::Open, _) => Ok(TunnelStream::new(stream)),
        (reply, sign) => RejectedSnafu { peer, reply, sign }.fail(),
    }
}
