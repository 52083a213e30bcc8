//! Fetches the list of gateways from a peer that knows others than this gateway does.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::MemberRecord;
use super::PeerRegistry;
use super::transfer_messages::TransferReply;
use super::transfer_messages::TransferRequest;
use super::transfer_messages::ask;
use super::transfer_messages::receive;
use crate::events;
use crate::framing::decode;
use crate::framing::invalid;
use crate::state::GatewayState;
use crate::timing::with_deadline;

/// Time limit of a transfer.
const TIMEOUT: Duration = Duration::from_millis(1500);
/// Mean time between two transfers.
const REST: Duration = Duration::from_secs(1);
/// Maximum size of a list, in bytes: that of some 100,000 gateways.
const MAX_LIST_BYTES: u64 = 4 * 1024 * 1024;

/// Keeps `registry` complete until the process stops.
pub async fn fetch_members(state: Arc<GatewayState>, registry: Arc<PeerRegistry>) {
    loop {
        let found = state.member_source_found.listen();
        let source = state.member_source.lock().take();
        let Some(address) = source else {
            found.await;
            continue;
        };
        let started_at = Instant::now();
        let fetched = with_deadline(started_at + TIMEOUT, fetch(address)).await;
        let fetched = fetched.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()));
        let error = fetched.as_ref().err().map(io::Error::to_string);
        let records = fetched.unwrap_or_default();
        let gateways = records.len();
        let added = registry.merge(records);
        state.set_members(registry.len());
        tracing::info!(
            event = events::MEMBERS_RECEIVED,
            peer = %address,
            gateways,
            added,
            elapsed_ms = started_at.elapsed().as_millis() as u64,
            error,
            "list of gateways received from a peer"
        );
        if added > 0 {
            state.report_requested.notify(1);
        }
        smol::Timer::after(REST.mul_f64(0.5 + fastrand::f64())).await;
    }
}

async fn fetch(address: SocketAddr) -> io::Result<Vec<MemberRecord>> {
    let due = Instant::now() + TIMEOUT;
    let (mut stream, reply) = ask(address, &TransferRequest::Members, due).await?;
    match reply {
        TransferReply::Content { table: None, total, .. } if total <= MAX_LIST_BYTES => {
            let mut bytes = Vec::new();
            receive(&mut stream, &mut bytes, total as usize).await?;
            decode(&bytes)
        }
        TransferReply::Busy => Err(io::ErrorKind::WouldBlock.into()),
        _ => Err(invalid("not a list of gateways")),
    }
}
