//! Hands the configuration in force to other gateways, over TCP.
//!
//! A gateway that the store turns away learns from reports that there is a newer
//! configuration. It takes it from the gateway that told of it: keys that were
//! taken away stop there too.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
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
use crate::timing::by_deadline;

/// How long a gateway leaves it to its own read of the store.
const OWN_READ_TIME: Duration = Duration::from_millis(250);
/// How long handing over a copy may take.
const COPY_TIME: Duration = Duration::from_millis(600);
/// The pause after a copy that could not be had.
const FAILED_PAUSE: Duration = Duration::from_millis(200);
/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The largest copy taken, in bytes.
const MAX_BYTES: u64 = 4 * 1024 * 1024;

/// Hands the configuration in force to each gateway that connects, for good.
pub async fn serve_copies(state: Arc<GatewayState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => pool::spawn(hand_over(Arc::clone(&state), stream)),
            Err(error) => {
                tracing::warn!(event = events::ACCEPT_FAILED, %error, "accept of a gateway failed");
                smol::Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn hand_over(state: Arc<GatewayState>, mut stream: TcpStream) {
    let copy = state.with_in_force(|in_force| {
        in_force.current().map(|(row_version, table)| ConfigSnapshot::of(*row_version, table))
    });
    let Some(copy) = copy else { return };
    let bytes = postcard::to_allocvec(&copy).expect("encoding plain fields");
    let written = async {
        stream.write_all(&bytes).await?;
        stream.close().await
    };
    // The other side sees a copy that is cut off, and asks again.
    let _ = by_deadline(Instant::now() + COPY_TIME, written).await;
}

/// Takes newer configurations from gateways that have them, where the store does
/// not show them in time, for good.
pub async fn take_copies(state: Arc<GatewayState>) {
    loop {
        state.config_due.listen().await;
        smol::Timer::after(OWN_READ_TIME).await;
        while let Some((peer, heard)) = state.newer_config() {
            let outcome = match take_copy(&state, peer).await {
                Ok(true) => "taken".to_owned(),
                Ok(false) => "no newer one".to_owned(),
                Err(error) => error.to_string(),
            };
            let own = state.config_version();
            tracing::info!(
                event = events::CONFIG_COPIED,
                %peer,
                heard,
                own,
                outcome,
                "asked for the configuration"
            );
            if own < heard {
                smol::Timer::after(FAILED_PAUSE).await;
            }
        }
    }
}

async fn take_copy(state: &GatewayState, peer: SocketAddr) -> io::Result<bool> {
    let read = async {
        let stream = TcpStream::connect(peer).await?;
        let mut bytes = Vec::new();
        stream.take(MAX_BYTES).read_to_end(&mut bytes).await?;
        Ok::<_, io::Error>(bytes)
    };
    let bytes = by_deadline(Instant::now() + COPY_TIME, read)
        .await
        .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))?;
    let copy: ConfigSnapshot = postcard::from_bytes(&bytes)
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
    let row_version = copy.row_version;
    Ok(state.put_in_force(row_version, copy.into_table(), "gateway"))
}
