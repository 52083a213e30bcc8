//! Accepts peers that ask for a transfer, a tunnel, the origin of a stream or the use of shared
//! limits, and bounds how many transfers are sent at a time.

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
use umberglade_wire::memory::ProcessLimits;
use umberglade_wire::pool;

use super::PeerRegistry;
use super::config_messages;
use super::config_messages::ConfigRequest;
use super::config_server;
use super::origin_messages;
use super::origin_messages::OriginRequest;
use super::table_server;
use super::transfer_messages;
use super::transfer_messages::TransferRequest;
use super::usage_messages;
use super::usage_messages::UsageRequest;
use crate::events;
use crate::framing::decode;
use crate::framing::invalid;
use crate::framing::read_frame;
use crate::state::GatewayState;
use crate::timing::with_deadline;
use crate::tunnel;
use crate::tunnel::TunnelRequest;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// A gateway that sends no request for this long is of the previous build, which expects a whole
/// configuration at once and waits 600 ms for it.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);
/// A gateway that takes no bytes for this long has gone.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of bytes written at a time.
const CHUNK_BYTES: usize = 32 * 1024;
/// Maximum number of connections whose request has not been read, unless the process's sockets
/// allow fewer.
const MAX_CONNECTIONS: usize = 256;
/// Part of the process's sockets that these may take.
const SOCKETS_FRACTION: usize = 12;
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
    max_connections: usize,
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
    fn new(link_bytes_per_s: Option<f64>, limits: ProcessLimits) -> Self {
        let (min, max) = SEND_RANGE;
        let by_link = link_bytes_per_s.map_or(max, |link| (link / SEND_BYTES_PER_S) as usize);
        let max_sends = by_link.clamp(min, max);
        let max_connections = MAX_CONNECTIONS.min(limits.sockets() / SOCKETS_FRACTION);
        let (sends, connections) = (AtomicUsize::new(0), AtomicUsize::new(0));
        SendSlots { max_sends, max_connections, sends, connections }
    }

    /// Returns the number of transfers that are being sent.
    pub fn active(&self) -> usize {
        self.sends.load(Ordering::Relaxed)
    }

    fn take(counter: &AtomicUsize, max: usize) -> Option<SlotGuard<'_>> {
        let guard = SlotGuard(counter);
        (counter.fetch_add(1, Ordering::AcqRel) < max).then_some(guard)
    }

    pub fn take_send(&self) -> Option<SlotGuard<'_>> {
        SendSlots::take(&self.sends, self.max_sends)
    }

    fn take_connection(&self) -> Option<SlotGuard<'_>> {
        SendSlots::take(&self.connections, self.max_connections)
    }
}

/// Answers each gateway that connects, until the process stops.
pub async fn serve_transfers(
    state: Arc<GatewayState>,
    registry: Arc<PeerRegistry>,
    listener: TcpListener,
) {
    let slots = Arc::new(SendSlots::new(state.settings.link_bytes_per_s, state.settings.limits));
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
    let Some(connection) = slots.take_connection() else { return };
    let request_due = Instant::now() + REQUEST_TIMEOUT;
    let result = match with_deadline(request_due, read_request(&mut stream)).await {
        Some(Ok(PeerRequest::Config(request))) => {
            config_server::answer(&state, &slots, &mut stream, peer, request).await
        }
        Some(Ok(PeerRequest::Transfer(request))) => {
            table_server::answer(&state, &registry, &slots, &mut stream, peer, request).await
        }
        Some(Ok(PeerRequest::Tunnel(request))) => {
            // Tunnels are bounded by themselves.
            drop(connection);
            tunnel::serve_tunnel(&state, stream, request).await
        }
        Some(Ok(PeerRequest::Origin(request))) => {
            origin_messages::answer_origin_request(&state, &mut stream, request).await
        }
        Some(Ok(PeerRequest::Usage(_))) => {
            usage_messages::answer_usage_request(&state, &slots, &mut stream).await
        }
        Some(Err(error)) => Err(error),
        None => config_server::send_snapshot(&state, &slots, &mut stream).await,
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
    Tunnel(TunnelRequest),
    Origin(OriginRequest),
    Usage(UsageRequest),
}

async fn read_request(stream: &mut TcpStream) -> io::Result<PeerRequest> {
    let (magic, body) = read_frame(stream).await?;
    match magic {
        config_messages::MAGIC => decode(&body).map(PeerRequest::Config),
        tunnel::MAGIC => decode(&body).map(PeerRequest::Tunnel),
        origin_messages::MAGIC => decode(&body).map(PeerRequest::Origin),
        usage_messages::MAGIC => decode(&body).map(PeerRequest::Usage),
        transfer_messages::MAGIC => decode(&body).map(PeerRequest::Transfer),
        _ => Err(invalid("not a message of this build")),
    }
}

/// Sends `bytes`, and closes the connection.
pub(super) async fn write_chunks(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    for chunk in bytes.chunks(CHUNK_BYTES) {
        let written = with_deadline(Instant::now() + STALL_TIMEOUT, stream.write_all(chunk)).await;
        written.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
    }
    stream.close().await
}
