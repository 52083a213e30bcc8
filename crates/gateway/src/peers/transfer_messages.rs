//! Messages with which gateways transfer the content of tables and the list of gateways, over TCP.
//!
//! A gateway connects to a peer and sends a [`TransferRequest`]. The peer sends a
//! [`TransferReply`], which the bytes of the content may follow, and closes the connection.

use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use futures_lite::AsyncReadExt;
use serde::Deserialize;
use serde::Serialize;
use smol::net::TcpStream;

use crate::cluster::TableFingerprint;
use crate::framing::read_message;
use crate::framing::write_message;
use crate::model::StoreStamp;
use crate::model::StoreTable;
use crate::timing::with_deadline;

/// First bytes of each message.
pub const MAGIC: [u8; 4] = *b"UGT1";
/// Number of bytes read or written at a time.
const CHUNK_BYTES: usize = 32 * 1024;

/// Names content that a gateway has received the beginning of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialContent {
    /// Checksum of the whole content.
    pub checksum: u64,
    /// Number of bytes received.
    pub received: u64,
}

/// Asks a peer for content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransferRequest {
    Table {
        table: StoreTable,
        /// The store's version up to which the table is known; `None` to get all rows.
        held: Option<StoreStamp>,
        partial: Option<PartialContent>,
    },
    /// The gateways that the peer knows.
    Members,
}

/// Describes the rows of a table that follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableHead {
    /// True if these are all rows.
    pub is_whole: bool,
    /// Fingerprint of the peer's content.
    pub fingerprint: TableFingerprint,
    pub through: StoreStamp,
    /// Milliseconds since the peer's content matched the store.
    pub age_ms: u64,
}

/// The answer to a [`TransferRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransferReply {
    /// The peer is sending to as many gateways as its link bears.
    Busy,
    /// The peer does not know the content.
    Unknown,
    Content {
        /// `None` for the list of gateways.
        table: Option<TableHead>,
        /// Size of the whole content, in bytes.
        total: u64,
        /// The bytes follow from here on.
        offset: u64,
        /// Checksum of the whole content.
        checksum: u64,
    },
}

/// Connects to the peer at `address`, sends `request` and receives the reply, until `deadline`.
pub async fn ask(
    address: SocketAddr,
    request: &TransferRequest,
    deadline: Instant,
) -> io::Result<(TcpStream, TransferReply)> {
    let reply = async {
        let mut stream = TcpStream::connect(address).await?;
        write_message(&mut stream, MAGIC, request).await?;
        let reply = read_message(&mut stream, MAGIC).await?;
        Ok((stream, reply))
    };
    with_deadline(deadline, reply).await.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}

/// Receives bytes into `received` until it holds `total` bytes.
pub async fn receive(
    stream: &mut TcpStream,
    received: &mut Vec<u8>,
    total: usize,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    while received.len() < total {
        let wanted = (total - received.len()).min(CHUNK_BYTES);
        let count = stream.read(&mut chunk[..wanted]).await?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        received.extend_from_slice(&chunk[..count]);
    }
    Ok(())
}

/// Content and its checksum.
#[derive(Debug, Clone)]
pub struct Content {
    pub bytes: Bytes,
    pub checksum: u64,
}

impl Content {
    pub fn new(bytes: Bytes) -> Self {
        Content { checksum: umberglade_wire::digest(&bytes), bytes }
    }

    /// Returns how much of this content a gateway that has received `partial` lacks not.
    pub fn offset_after(&self, partial: Option<PartialContent>) -> usize {
        let is_same = |partial: &PartialContent| partial.checksum == self.checksum;
        let received = partial.filter(is_same).map_or(0, |partial| partial.received as usize);
        received.min(self.bytes.len())
    }
}
