//! Messages with which gateways ask each other for the origin of a stream, over TCP.

use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use futures_lite::AsyncWriteExt;
use serde::Deserialize;
use serde::Serialize;
use smol::net::TcpStream;

use crate::cluster::KnownOrigin;
use crate::cluster::StreamDigest;
use crate::framing::read_message;
use crate::framing::write_message;
use crate::state::GatewayState;
use crate::timing::with_deadline;

/// First bytes of each message.
pub(super) const MAGIC: [u8; 4] = *b"UGO1";

/// Asks another gateway which version began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct OriginRequest {
    pub stream: StreamDigest,
}

/// The answer to an [`OriginRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct OriginReply {
    known: Option<KnownOrigin>,
}

/// Asks the gateway at `address` until `deadline`.
pub async fn ask_origin(
    address: SocketAddr,
    stream: StreamDigest,
    deadline: Instant,
) -> io::Result<Option<KnownOrigin>> {
    let reply = async {
        let mut connection = TcpStream::connect(address).await?;
        write_message(&mut connection, MAGIC, &OriginRequest { stream }).await?;
        let reply: OriginReply = read_message(&mut connection, MAGIC).await?;
        Ok(reply.known)
    };
    with_deadline(deadline, reply).await.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}

/// Answers another gateway.
pub(super) async fn answer_origin_request(
    state: &GatewayState,
    connection: &mut TcpStream,
    request: OriginRequest,
) -> io::Result<()> {
    let known = state.origins.known().find(request.stream);
    write_message(connection, MAGIC, &OriginReply { known }).await?;
    connection.close().await
}
