//! Messages with which a gateway asks a peer for a tunnel, over TCP.

use std::io;

use serde::Deserialize;
use serde::Serialize;

use crate::framing::decode;
use crate::framing::invalid;
use crate::model::ServerIncarnation;
use crate::model::ServerKey;

/// First bytes of each message.
pub const MAGIC: [u8; 4] = *b"UGR1";

/// Asks a peer to forward a connection to a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TunnelRequest {
    /// Id of the request that the tunnel is for, for the peer's log.
    pub request_id: String,
    /// Name of the gateway that asks, for the peer's log.
    pub gateway: String,
    pub server: ServerKey,
    pub incarnation: ServerIncarnation,
    /// Milliseconds after which the peer closes the tunnel: the gateway does not need it longer.
    pub lifetime_ms: u64,
}

/// The answer to a [`TunnelRequest`]. Bytes of the server follow [`TunnelReply::Open`] only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum TunnelReply {
    /// The peer is connected to the server.
    Open,
    /// The peer does not reach the server either.
    Unreachable,
    /// The peer does not use the server: it does not know it, or knows that it is leaving.
    Unavailable,
    /// The peer serves as many tunnels as it may, or is stopping.
    Busy,
}

/// What the peer's attempt to connect showed of the server. Follows the [`TunnelReply`] in its
/// message; gateways of the previous build ignore it and send none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ConnectSign {
    /// Nothing.
    Unknown,
    /// The server did not open a connection in time.
    Silent,
    /// The server refused the connection.
    Refused,
}

/// Decodes the answer to a [`TunnelRequest`].
pub fn decode_answer(magic: [u8; 4], body: &[u8]) -> io::Result<(TunnelReply, ConnectSign)> {
    if magic != MAGIC {
        return Err(invalid("not a message of this build"));
    }
    decode(body).or_else(|_| Ok((decode(body)?, ConnectSign::Unknown)))
}

/// Size of the length that precedes each chunk of the server's bytes, in bytes. A chunk without
/// bytes shows that the server has closed the connection properly; a connection that ends without
/// one was broken somewhere.
pub const CHUNK_HEAD_BYTES: usize = 2;
/// Maximum size of a chunk without its length, in bytes.
pub const MAX_CHUNK_BYTES: usize = 16 * 1024;
