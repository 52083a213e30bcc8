//! Messages with which gateways transfer configurations, over TCP.
//!
//! A gateway connects to a peer and sends a [`ConfigRequest`]. The peer sends a [`ConfigReply`],
//! which the bytes of a part may follow, and closes the connection.

use std::io;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::net::TcpStream;

use crate::cluster::ConfigPart;
use crate::framing;
use crate::model::ConfigId;

/// First bytes of each message. Gateways of the previous build send nothing, or a configuration
/// without them.
pub const MAGIC: [u8; 4] = *b"UGC2";

/// Names a part that a gateway has received the beginning of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialPart {
    pub from: Option<ConfigId>,
    pub to: ConfigId,
    /// Number of bytes received.
    pub received: u64,
}

/// Asks for a configuration newer than the one held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRequest {
    /// `None` to get a whole configuration.
    pub held: Option<ConfigId>,
    pub partial: Option<PartialPart>,
}

/// Describes a part whose bytes follow from `offset` on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartHead {
    pub from: Option<ConfigId>,
    pub to: ConfigId,
    pub row_bytes: u64,
    /// Size of the whole part, in bytes.
    pub total: u64,
    pub offset: u64,
    /// Checksum of the whole part.
    pub checksum: u64,
}

impl PartHead {
    /// Describes `part`, sent from `offset` on.
    pub fn of(part: &ConfigPart, offset: u64) -> Self {
        let ConfigPart { from, to, row_bytes, ref bytes, checksum } = *part;
        let (row_bytes, total) = (row_bytes as u64, bytes.len() as u64);
        PartHead { from, to, row_bytes, total, offset, checksum }
    }

    /// Returns true if `other` describes the same part.
    pub fn is_same_part(&self, other: &PartHead) -> bool {
        PartHead { offset: 0, ..*self } == PartHead { offset: 0, ..*other }
    }
}

/// The answer to a [`ConfigRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigReply {
    /// The peer is sending to as many gateways as its link bears.
    Busy,
    /// The peer has no newer configuration.
    NothingNewer,
    Part(PartHead),
}

/// Sends one message.
pub async fn write_message<M: Serialize>(stream: &mut TcpStream, message: &M) -> io::Result<()> {
    framing::write_message(stream, MAGIC, message).await
}

/// Receives one message.
pub async fn read_message<M: DeserializeOwned>(stream: &mut TcpStream) -> io::Result<M> {
    framing::read_message(stream, MAGIC).await
}
