//! Messages with which a gateway takes over from a peer, over TCP, what all gateways have used of
//! the limits that they share.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use smol::net::TcpStream;

use super::transfer_messages::receive;
use super::transfer_server::SendSlots;
use super::transfer_server::write_chunks;
use crate::cluster::QuotaSnapshot;
use crate::cluster::RetryUsage;
use crate::cluster::UsageRecord;
use crate::framing::decode;
use crate::framing::invalid;
use crate::framing::read_message;
use crate::framing::write_message;
use crate::state::GatewayState;
use crate::timing::with_deadline;

/// First bytes of each message.
pub(super) const MAGIC: [u8; 4] = *b"UGU1";
/// Maximum size of a snapshot, in bytes: that of some 2,000 processes with 16 organisations each.
const MAX_SNAPSHOT_BYTES: u32 = 1024 * 1024;

/// Asks a peer for what it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct UsageRequest;

/// The answer to a [`UsageRequest`]; the encoded [`UsageSnapshot`] follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct UsageReply {
    /// Size of the snapshot, in bytes; `None` while the peer is sending to as many gateways as its
    /// link bears.
    bytes: Option<u32>,
}

/// What one gateway knows of the use of all processes in the last windows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageSnapshot {
    /// Milliseconds for which the gateway has known what all use, at most the window of retries.
    pub retries_known_ms: u64,
    /// Requests and retries, by digest of the service.
    pub retries: Vec<UsageRecord<u64, RetryUsage>>,
    pub quotas: QuotaSnapshot,
}

impl UsageSnapshot {
    /// Returns what this gateway knows.
    fn of(state: &GatewayState, now: Instant) -> Self {
        let mut budget = state.retries.lock();
        let own = UsageRecord { process: state.process, age_ms: 0, used: budget.local_usage(now) };
        let mut retries = budget.records(now);
        retries.push(own);
        let retries_known_ms = budget.known_for(now).as_millis() as u64;
        drop(budget);
        let quotas = state.quotas.snapshot(state.process, &state.quota_view());
        UsageSnapshot { retries_known_ms, retries, quotas }
    }

    /// Applies what a peer knows.
    pub(super) fn apply(&self, state: &GatewayState, now: Instant) {
        let of_others = |record: &&UsageRecord<u64, RetryUsage>| record.process != state.process;
        let retries: Vec<_> = self.retries.iter().filter(of_others).cloned().collect();
        let known_for = Duration::from_millis(self.retries_known_ms);
        state.retries.lock().apply_records(&retries, known_for, now);
        state.quotas.take_over(&self.quotas, state.process, &state.quota_view());
    }
}

/// Asks the gateway at `address` until `deadline`.
pub(super) async fn ask_usage(address: SocketAddr, deadline: Instant) -> io::Result<UsageSnapshot> {
    let snapshot = async {
        let mut stream = TcpStream::connect(address).await?;
        write_message(&mut stream, MAGIC, &UsageRequest).await?;
        let reply: UsageReply = read_message(&mut stream, MAGIC).await?;
        let Some(total) = reply.bytes else { return Err(io::ErrorKind::WouldBlock.into()) };
        if total > MAX_SNAPSHOT_BYTES {
            return Err(invalid("a snapshot of this size is not expected"));
        }
        let mut bytes = Vec::new();
        receive(&mut stream, &mut bytes, total as usize).await?;
        decode(&bytes)
    };
    with_deadline(deadline, snapshot).await.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
}

/// Answers a peer.
pub(super) async fn answer_usage_request(
    state: &GatewayState,
    slots: &SendSlots,
    stream: &mut TcpStream,
) -> io::Result<()> {
    let Some(_send) = slots.take_send() else {
        return write_message(stream, MAGIC, &UsageReply { bytes: None }).await;
    };
    let snapshot = UsageSnapshot::of(state, Instant::now());
    let bytes = postcard::to_allocvec(&snapshot).expect("encoding plain fields");
    let reply = UsageReply { bytes: Some(bytes.len() as u32) };
    write_message(stream, MAGIC, &reply).await?;
    write_chunks(stream, &bytes).await
}
