//! Serves tunnels for other gateways.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;
use smol::net::TcpStream;
use strum::Display;
use umberglade_wire::caller_watch::wait_closed;
use umberglade_wire::memory::ProcessLimits;

use super::ConnectSign;
use super::TunnelReply;
use super::TunnelRequest;
use super::messages::CHUNK_HEAD_BYTES;
use super::messages::MAGIC;
use super::messages::MAX_CHUNK_BYTES;
use crate::events;
use crate::framing::write_message;
use crate::link_use::SentBytes;
use crate::state::GatewayState;
use crate::timing::with_deadline;
use crate::upstream::connect_tcp;

/// Maximum number of tunnels that a gateway serves, two connections and 24 KB each, unless its
/// sockets allow fewer.
const MAX_TUNNELS: u32 = 256;
/// Part of the process's sockets that tunnels may be.
const SOCKETS_FRACTION: usize = 15;
/// Size of the buffer for bytes to the server, in bytes.
const UPLOAD_BUFFER_BYTES: usize = 8 * 1024;
/// Maximum time for which a tunnel stays open, whatever the gateway at its other end asks for.
const MAX_LIFETIME: Duration = Duration::from_secs(300);

/// The tunnels that this gateway serves.
#[derive(Debug)]
pub struct TunnelSlots {
    max: u32,
    used: AtomicU32,
}

impl TunnelSlots {
    /// Returns the slots of a process with `limits`.
    pub fn new(limits: ProcessLimits) -> Self {
        let by_sockets = (limits.sockets() / SOCKETS_FRACTION) as u32;
        TunnelSlots { max: MAX_TUNNELS.min(by_sockets), used: AtomicU32::new(0) }
    }

    /// Returns the number of tunnels.
    pub fn used(&self) -> u32 {
        self.used.load(Ordering::Relaxed)
    }

    fn take(&self) -> Option<TunnelSlot<'_>> {
        let slot = TunnelSlot { slots: self };
        (self.used.fetch_add(1, Ordering::AcqRel) < self.max).then_some(slot)
    }
}

/// One tunnel, counted until dropped.
struct TunnelSlot<'a> {
    slots: &'a TunnelSlots,
}

impl Drop for TunnelSlot<'_> {
    fn drop(&mut self) {
        self.slots.used.fetch_sub(1, Ordering::AcqRel);
    }
}

/// How a tunnel ended.
#[derive(Debug, Clone, Copy, Display)]
#[strum(serialize_all = "snake_case")]
enum TunnelEnd {
    /// The server closed its connection.
    ServerClosed,
    /// The server's connection broke.
    ServerBroken,
    /// The gateway at the other end closed the tunnel.
    GatewayClosed,
    /// The lifetime is over.
    Expired,
}

/// Serves the tunnel that the gateway at `stream` asks for, until either side closes it.
pub async fn serve_tunnel(
    state: &Arc<GatewayState>,
    mut stream: TcpStream,
    request: TunnelRequest,
) -> io::Result<()> {
    let started_at = Instant::now();
    let slot = state.tunnel_slots.take().filter(|_| state.accepts_tunnels());
    // A graceful stop waits for the request that the tunnel carries.
    let _in_flight = state.in_flight.enter_request();
    let server_stream = match slot {
        None => Err((TunnelReply::Busy, ConnectSign::Unknown)),
        Some(_) => connect_server(state, &request).await,
    };
    let opened = (TunnelReply::Open, ConnectSign::Unknown);
    let answer = server_stream.as_ref().err().copied().unwrap_or(opened);
    log_opened(&request, answer, started_at);
    let _ = stream.set_nodelay(true);
    write_message(&mut stream, MAGIC, &answer).await?;
    let Ok(server_stream) = server_stream else { return stream.close().await };
    metrics::counter!("umberglade_tunnels_served_total").increment(1);
    let lifetime = Duration::from_millis(request.lifetime_ms).min(MAX_LIFETIME);
    let sent = &state.link_use.tunnels;
    let has_write_failed = AtomicBool::new(false);
    let upload = upload(stream.clone(), server_stream.clone(), sent, &has_write_failed);
    let download = download(server_stream, stream, sent, &has_write_failed);
    let forwarded = with_deadline(started_at + lifetime, upload.or(download)).await;
    let end = forwarded.unwrap_or(TunnelEnd::Expired);
    tracing::info!(
        event = events::TUNNEL_CLOSED,
        request_id = request.request_id,
        gateway = request.gateway,
        server = %request.server,
        outcome = %end,
        elapsed_ms = started_at.elapsed().as_millis() as u64,
        "tunnel closed"
    );
    Ok(())
}

/// Connects to the server of `request`.
async fn connect_server(
    state: &GatewayState,
    request: &TunnelRequest,
) -> Result<TcpStream, (TunnelReply, ConnectSign)> {
    let unavailable = (TunnelReply::Unavailable, ConnectSign::Unknown);
    let address = server_address(state, request).ok_or(unavailable)?;
    connect_tcp(address).await.map_err(|error| {
        let sign = match error {
            _ if error.is_connect_timeout() => ConnectSign::Silent,
            _ if error.is_refusal() => ConnectSign::Refused,
            _ => ConnectSign::Unknown,
        };
        (TunnelReply::Unreachable, sign)
    })
}

/// Returns the address of the server of `request`, unless it is unknown here or gets no new work.
fn server_address(state: &GatewayState, request: &TunnelRequest) -> Option<SocketAddr> {
    let fleet = state.fleet();
    let server_state = fleet.server(&request.server)?;
    let is_same = server_state.incarnation == request.incarnation;
    let is_usable = is_same && server_state.is_available(Instant::now());
    is_usable.then_some(server_state.entry.address)
}

/// Forwards bytes to the server. Sets `has_write_failed` when the server's connection is found broken.
async fn upload(
    mut from: TcpStream,
    mut to: TcpStream,
    sent: &SentBytes,
    has_write_failed: &AtomicBool,
) -> TunnelEnd {
    let mut buffer = [0; UPLOAD_BUFFER_BYTES];
    loop {
        match from.read(&mut buffer).await {
            Ok(count) if count > 0 => {
                sent.add(count);
                let written = async {
                    let is_written = to.write_all(&buffer[..count]).await.is_ok();
                    has_write_failed.store(!is_written, Ordering::Release);
                    is_written
                };
                let closed = async {
                    wait_closed(&from).await;
                    false
                };
                if !written.or(closed).await {
                    // The server may still send a response to what it has read.
                    wait_closed(&from).await;
                    return TunnelEnd::GatewayClosed;
                }
            }
            _ => return TunnelEnd::GatewayClosed,
        }
    }
}

/// Forwards bytes of the server as chunks, as they arrive.
///
/// The end of its bytes counts only while no write to it has failed: on Linux, a write that fails
/// takes the error of the connection with it, and the next read finds a proper end. Prevents part of
/// an answer from looking whole whose server reset the connection before it had read the request.
async fn download(
    mut from: TcpStream,
    mut to: TcpStream,
    sent: &SentBytes,
    has_write_failed: &AtomicBool,
) -> TunnelEnd {
    let mut buffer = vec![0; CHUNK_HEAD_BYTES + MAX_CHUNK_BYTES];
    loop {
        let read = from.read(&mut buffer[CHUNK_HEAD_BYTES..]).await;
        let Ok(count) = read else { return TunnelEnd::ServerBroken };
        if count == 0 && has_write_failed.load(Ordering::Acquire) {
            return TunnelEnd::ServerBroken;
        }
        buffer[..CHUNK_HEAD_BYTES].copy_from_slice(&(count as u16).to_le_bytes());
        sent.add(count);
        if to.write_all(&buffer[..CHUNK_HEAD_BYTES + count]).await.is_err() {
            return TunnelEnd::GatewayClosed;
        }
        if count == 0 {
            // Fails if the gateway has closed the tunnel.
            let _ = to.close().await;
            return TunnelEnd::ServerClosed;
        }
    }
}

fn log_opened(
    request: &TunnelRequest,
    (reply, sign): (TunnelReply, ConnectSign),
    started_at: Instant,
) {
    tracing::info!(
        event = events::TUNNEL_SERVED,
        request_id = request.request_id,
        gateway = request.gateway,
        server = %request.server,
        outcome = %reply,
        %sign,
        elapsed_ms = started_at.elapsed().as_millis() as u64,
        "tunnel requested by another gateway"
    );
}
