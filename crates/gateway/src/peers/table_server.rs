//! Sends the content of tables, and the list of gateways, to peers that ask.

use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use futures_lite::AsyncWriteExt;
use smol::net::TcpStream;

use super::PeerRegistry;
use super::transfer_messages::Content;
use super::transfer_messages::MAGIC;
use super::transfer_messages::PartialContent;
use super::transfer_messages::TableHead;
use super::transfer_messages::TransferReply;
use super::transfer_messages::TransferRequest;
use super::transfer_server::SendSlots;
use super::transfer_server::write_chunks;
use crate::events;
use crate::framing::write_message;
use crate::model::StoreStamp;
use crate::model::StoreTable;
use crate::state::GatewayState;

/// Answers one request.
pub(super) async fn answer(
    state: &GatewayState,
    registry: &PeerRegistry,
    slots: &SendSlots,
    stream: &mut TcpStream,
    peer: SocketAddr,
    request: TransferRequest,
) -> io::Result<()> {
    let Some(_send) = slots.take_send() else {
        metrics::counter!("umberglade_config_busy_total").increment(1);
        return refuse(stream, TransferReply::Busy).await;
    };
    match request {
        TransferRequest::Table { table, held, partial } => {
            send_table(state, stream, peer, table, held, partial).await
        }
        TransferRequest::Members => {
            let records = registry.records();
            let bytes = postcard::to_allocvec(&records).expect("encoding plain fields");
            send(stream, None, Content::new(bytes.into()), 0).await
        }
    }
}

async fn send_table(
    state: &GatewayState,
    stream: &mut TcpStream,
    peer: SocketAddr,
    table: StoreTable,
    held: Option<StoreStamp>,
    partial: Option<PartialContent>,
) -> io::Result<()> {
    let started_at = Instant::now();
    let image = match table.holds_keys() {
        true => None,
        false => state.shared_tables.image(table, held, started_at),
    };
    let Some(image) = image else { return refuse(stream, TransferReply::Unknown).await };
    let head = TableHead {
        is_whole: image.is_whole,
        fingerprint: image.fingerprint,
        through: image.through,
        age_ms: image.age.as_millis() as u64,
    };
    let content = Content::new(image.bytes);
    let (bytes, offset) = (content.bytes.len(), content.offset_after(partial));
    state.link_use.tables.add(bytes.saturating_sub(offset));
    let sent = send(stream, Some(head), content, offset).await;
    tracing::info!(
        event = events::TABLE_SENT,
        %peer,
        %table,
        is_whole = image.is_whole,
        bytes,
        offset,
        elapsed_ms = started_at.elapsed().as_millis() as u64,
        outcome = sent.as_ref().err().map_or("sent".to_owned(), |error| error.to_string()),
        "content of a table sent to a peer"
    );
    sent
}

async fn send(
    stream: &mut TcpStream,
    table: Option<TableHead>,
    content: Content,
    offset: usize,
) -> io::Result<()> {
    let Content { bytes, checksum } = content;
    let (total, from) = (bytes.len() as u64, offset as u64);
    let reply = TransferReply::Content { table, total, offset: from, checksum };
    write_message(stream, MAGIC, &reply).await?;
    write_chunks(stream, &bytes[offset..]).await
}

async fn refuse(stream: &mut TcpStream, reply: TransferReply) -> io::Result<()> {
    write_message(stream, MAGIC, &reply).await?;
    stream.close().await
}
