//! Accepts peers that ask for a transfer, and sends the configuration in force, or what changed in
//! it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures_lite::AsyncWriteExt;
use smol::net::TcpListener;
use smol::net::TcpStream;
use umberglade_wire::pool;

use super::PeerRegistry;
use super::config_messages;
use super::config_messages::ConfigReply;
use super::config_messages::ConfigRequest;
use super::config_messages::PartHead;
use super::config_messages::write_message;
use super::table_server;
use super::transfer_messages;
use super::transfer_messages::TransferRequest;
use super::transfer_messages::invalid;
use super::transfer_messages::read_frame;
use crate::cluster::ConfigPart;
use crate::events;
use crate::model::encode_snapshot;
use crate::state::GatewayState;
use crate::timing::with_deadline;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// A gateway that sends no request for this long is of the previous build, which expects a whole
/// configuration at once and waits 600 ms for it.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);
/// A gateway that takes no bytes for this long has gone.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of bytes written at a time.
const CHUNK_BYTES: usize = 32 * 1024;
/// Maximum number of connections whose request has not been read.
const MAX_CONNECTIONS: usize = 256;
/// Bandwidth that a transfer should have, in bytes per second.
const SEND_BYTES_PER_S: f64 = 600e3;
/// Minimum and maximum number of simultaneous transfers.
const SEND_RANGE: (usize, usize) = (2, 16);

/// The transfers that this gateway is sending, and its open connections.
///
/// Prevents this gateway's link from carrying so many copies that none of them arrives in time,
/// and its memory from growing with the number of peers that ask at once.
#[derive(Debug)]
pub(super) struct SendSlots {
    max_sends: usize,
    sends: AtomicUsize,
    connections: AtomicUsize,
}

/// Counts one transfer or connection while it exists.
pub(super) struct SlotGuard<'a>(&'a AtomicUsize);

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl SendSlots {
    fn new(link_bytes_per_s: Option<f64>) -> Self {
        let (min, max) = SEND_RANGE;
        let by_link = link_bytes_per_s.map_or(max, |link| (link / SEND_BYTES_PER_S) as usize);
        let max_sends = by_link.clamp(min, max);
        SendSlots { max_sends, sends: AtomicUsize::new(0), connections: AtomicUsize::new(0) }
    }

    fn take(counter: &AtomicUsize, max: usize) -> Option<SlotGuard<'_>> {
        let guard = SlotGuard(counter);
        (counter.fetch_add(1, Ordering::AcqRel) < max).then_some(guard)
    }

    pub fn take_send(&self) -> Option<SlotGuard<'_>> {
        SendSlots::take(&self.sends, self.max_sends)
    }

    fn take_connection(&self) -> Option<SlotGuard<'_>> {
        SendSlots::take(&self.connections, MAX_CONNECTIONS)
    }
}

/// Answers each gateway that connects, until the process stops.
pub async fn serve_transfers(
    state: Arc<GatewayState>,
    registry: Arc<PeerRegistry>,
    listener: TcpListener,
) {
    let slots = Arc::new(SendSlots::new(state.settings.link_bytes_per_s));
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let (state, registry) = (Arc::clone(&state), Arc::clone(&registry));
                pool::spawn(serve_peer(state, registry, Arc::clone(&slots), stream, peer));
            }
            Err(error) => {
                tracing::warn!(event = events::ACCEPT_FAILED, %error, "accept of a peer failed");
                smol::Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_peer(
    state: Arc<GatewayState>,
    registry: Arc<PeerRegistry>,
    slots: Arc<SendSlots>,
    mut stream: TcpStream,
    peer: SocketAddr,
) {
    let Some(_connection) = slots.take_connection() else { return };
    let request_due = Instant::now() + REQUEST_TIMEOUT;
    let result = match with_deadline(request_due, read_request(&mut stream)).await {
        Some(Ok(PeerRequest::Config(request))) => {
            answer(&state, &slots, &mut stream, peer, request).await
        }
        Some(Ok(PeerRequest::Transfer(request))) => {
            table_server::answer(&state, &registry, &slots, &mut stream, peer, request).await
        }
        Some(Err(error)) => Err(error),
        None => send_snapshot(&state, &slots, &mut stream).await,
    };
    if let Err(error) = result {
        // The peer goes on at another gateway with what it has received.
        tracing::debug!(%peer, %error, "transfer to a peer failed");
    }
}

/// What a peer asks for.
enum PeerRequest {
    Config(ConfigRequest),
    Transfer(TransferRequest),
}

async fn read_request(stream: &mut TcpStream) -> io::Result<PeerRequest> {
    let (magic, body) = read_frame(stream).await?;
    match magic {
        config_messages::MAGIC => transfer_messages::decode(&body).map(PeerRequest::Config),
        transfer_messages::MAGIC => transfer_messages::decode(&body).map(PeerRequest::Transfer),
        _ => Err(invalid("not a message of this build")),
    }
}

async fn answer(
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
    let active = slots.sends.load(Ordering::Relaxed);
    let head = PartHead::of(&part, offset as u64);
    let sent = async {
        write_message(stream, &ConfigReply::Part(head)).await?;
        write_chunks(stream, &part.bytes[offset..]).await
    };
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
async fn send_snapshot(
    state: &GatewayState,
    slots: &SendSlots,
    stream: &mut TcpStream,
) -> io::Result<()> {
    let Some(_send) = slots.take_send() else { return Ok(()) };
    let Some(config) = state.config() else { return Ok(()) };
    let bytes = encode_snapshot(config.id, &config.table);
    write_chunks(stream, &bytes).await
}

pub(super) async fn write_chunks(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    for chunk in bytes.chunks(CHUNK_BYTES) {
        let written = with_deadline(Instant::now() + STALL_TIMEOUT, stream.write_all(chunk)).await;
        written.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
    }
    stream.close().await
}
