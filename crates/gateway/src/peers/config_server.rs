//! Sends the configuration in force, or what changed in it, to peers that ask.

use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use futures_lite::AsyncWriteExt;
use smol::net::TcpStream;

use super::config_messages::ConfigReply;
use super::config_messages::ConfigRequest;
use super::config_messages::PartHead;
use super::config_messages::write_message;
use super::transfer_server::SendSlots;
use super::transfer_server::write_chunks;
use crate::cluster::ConfigPart;
use crate::events;
use crate::model::encode_snapshot;
use crate::state::GatewayState;

/// Answers one request.
pub(super) async fn answer(
    state: &GatewayState,
    slots: &SendSlots,
    stream: &mut TcpStream,
    peer: SocketAddr,
    request: ConfigRequest,
) -> io::Result<()> {
    let Some(_send) = slots.take_send() else {
        metrics::counter!("umberglade_config_busy_total").increment(1);
        write_message(stream, &ConfigReply::Busy).await?;
        return stream.close().await;
    };
    let Some((part, offset)) = part_for(state, request) else {
        write_message(stream, &ConfigReply::NothingNewer).await?;
        return stream.close().await;
    };
    let started_at = Instant::now();
    let active = slots.active();
    let head = PartHead::of(&part, offset as u64);
    let sent = async {
        write_message(stream, &ConfigReply::Part(head)).await?;
        write_chunks(stream, &part.bytes[offset..]).await
    };
    state.link_use.tables.add(part.bytes.len().saturating_sub(offset));
    let sent = sent.await;
    tracing::info!(
        event = events::CONFIG_SENT,
        %peer,
        from = part.from.map_or(0, |id| id.version),
        version = part.to.version,
        bytes = part.bytes.len(),
        offset,
        active,
        elapsed_ms = started_at.elapsed().as_millis() as u64,
        outcome = sent.as_ref().err().map_or("sent".to_owned(), |error| error.to_string()),
        "configuration sent to a peer"
    );
    sent
}

/// Returns the part with which to answer `request`, and the offset from which to send it.
fn part_for(state: &GatewayState, request: ConfigRequest) -> Option<(ConfigPart, usize)> {
    let config = state.config()?;
    if request.held.is_some_and(|held| !config.id.is_newer_than(&held)) {
        return None;
    }
    if let Some(partial) = request.partial {
        let is_image = partial.from.is_none() && partial.to == config.id;
        let kept =
            state.with_config(|in_force| in_force.log().part(partial.from, partial.to).cloned());
        let part = if is_image { Some(config.image().clone()) } else { kept };
        if let Some(part) = part {
            let offset = (partial.received as usize).min(part.bytes.len());
            return Some((part, offset));
        }
    }
    let step = request
        .held
        .and_then(|held| state.with_config(|in_force| in_force.log().step_from(held).cloned()));
    Some((step.unwrap_or_else(|| config.image().clone()), 0))
}

/// Sends a whole configuration in the encoding of the previous build.
pub(super) async fn send_snapshot(
    state: &GatewayState,
    slots: &SendSlots,
    stream: &mut TcpStream,
) -> io::Result<()> {
    let Some(_send) = slots.take_send() else { return Ok(()) };
    let Some(config) = state.config() else { return Ok(()) };
    let bytes = encode_snapshot(config.id, &config.table);
    write_chunks(stream, &bytes).await
}
