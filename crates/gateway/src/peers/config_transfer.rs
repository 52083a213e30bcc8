//! Transfers the configuration in force between gateways, over TCP.
//!
//! A gateway that cannot read the store learns from reports that there is a newer configuration,
//! and fetches it from the gateway that reported it, so that revoked keys stop working there too.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use smol::net::TcpListener;
use smol::net::TcpStream;
use umberglade_wire::pool;

use crate::events;
use crate::model::ConfigSnapshot;
use crate::state::GatewayState;
use crate::timing::with_deadline;

/// How long to wait for the local read of the store before fetching from a peer.
const STORE_READ_DELAY: Duration = Duration::from_millis(250);
/// Time limit for the transfer of one snapshot.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay before the next attempt after a failed fetch.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum size of a fetched snapshot, in bytes.
const MAX_SNAPSHOT_BYTES: u64 = 4 * 1024 * 1024;

/// Number of transfers that this process is sending.
static ACTIVE_SENDS: AtomicUsize = AtomicUsize::new(0);

/// Sends the configuration in force to each gateway that connects, until the process stops.
pub async fn serve_config(state: Arc<GatewayState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => pool::spawn(send_snapshot(Arc::clone(&state), stream, peer)),
            Err(error) => {
                tracing::warn!(event = events::ACCEPT_FAILED, %error, "accept of a peer failed");
                smol::Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn send_snapshot(state: Arc<GatewayState>, mut stream: TcpStream, peer: SocketAddr) {
    let snapshot = state.with_config(|in_force| {
        in_force.current().map(|(row_version, table)| ConfigSnapshot::of(*row_version, table))
    });
    let Some(snapshot) = snapshot else { return };
    let bytes = postcard::to_allocvec(&snapshot).expect("encoding plain fields");
    let started_at = Instant::now();
    let active = ACTIVE_SENDS.fetch_add(1, Ordering::Relaxed) + 1;
    let write = async {
        stream.write_all(&bytes).await?;
        stream.close().await
    };
    // After an error the peer receives a truncated snapshot and fetches it again.
    let written = with_deadline(started_at + TRANSFER_TIMEOUT, write).await;
    ACTIVE_SENDS.fetch_sub(1, Ordering::Relaxed);
    let outcome = match written {
        Some(Ok(())) => "sent".to_owned(),
        Some(Err(error)) => error.to_string(),
        None => "timed out".to_owned(),
    };
    tracing::info!(
        event = events::CONFIG_SENT,
        %peer,
        bytes = bytes.len(),
        active,
        elapsed_ms = started_at.elapsed().as_millis() as u64,
        outcome,
        "configuration sent to a peer"
    );
}

/// Fetches a newer configuration from a peer if the local read of the store has not returned it in
/// time. Runs until the process stops.
pub async fn fetch_newer_configs(state: Arc<GatewayState>) {
    loop {
        state.config_read_requested.listen().await;
        smol::Timer::after(STORE_READ_DELAY).await;
        while let Some((peer, heard)) = state.newer_config() {
            let started_at = Instant::now();
            let mut bytes = Vec::new();
            let outcome = match fetch_snapshot(&state, peer, &mut bytes).await {
                Ok(true) => "taken".to_owned(),
                Ok(false) => "no newer one".to_owned(),
                Err(error) => error.to_string(),
            };
            let own = state.config_version();
            tracing::info!(
                event = events::CONFIG_TRANSFERRED,
                %peer,
                heard,
                own,
                bytes = bytes.len(),
                elapsed_ms = started_at.elapsed().as_millis() as u64,
                outcome,
                "configuration requested from a peer"
            );
            if own < heard {
                smol::Timer::after(RETRY_DELAY).await;
            }
        }
    }
}

/// Fetches the configuration of `peer` into `bytes`, which hold what arrived also after an error.
async fn fetch_snapshot(
    state: &GatewayState,
    peer: SocketAddr,
    bytes: &mut Vec<u8>,
) -> io::Result<bool> {
    let read = async {
        let stream = TcpStream::connect(peer).await?;
        stream.take(MAX_SNAPSHOT_BYTES).read_to_end(bytes).await?;
        Ok::<_, io::Error>(())
    };
    with_deadline(Instant::now() + TRANSFER_TIMEOUT, read)
        .await
        .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
    let snapshot: ConfigSnapshot = postcard::from_bytes(bytes)
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
    let row_version = snapshot.row_version;
    Ok(state.apply_config(row_version, snapshot.into_table(), "gateway"))
}
