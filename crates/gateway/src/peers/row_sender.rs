//! Sends rows read from the store to the other gateways.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use smol::net::UdpSocket;

use super::PeerMessage;
use super::PeerRegistry;
use super::RelayPart;
use super::ReportTail;
use super::TableRows;
use super::report_content::report_tail;
use super::report_sender::MAX_DATAGRAM;
use crate::model::StoreRow;
use crate::state::GatewayState;

/// Capacity of a datagram for rows; the rest is left for framing and the tail.
const MAX_ROWS_BYTES: usize = MAX_DATAGRAM - 512;

/// Maximum size of a row's era in the tail, in bytes.
const MAX_ERA_BYTES: usize = 10;

/// Fraction of this gateway's link that rows may take.
const LINK_FRACTION: f64 = 0.5;

/// Sends the rows that this gateway has read for its peers to the gateways in `registry`, until the
/// process stops. Where there are many, it sends them to one of each failure domain, and the
/// gateways of a domain pass them on to each other.
///
/// Prevents a reader's link from carrying each row as often as there are gateways, and rows from
/// crossing the failure domains more than once.
pub async fn send_rows(state: Arc<GatewayState>, registry: Arc<PeerRegistry>, socket: UdpSocket) {
    loop {
        let table_rows = state.shared_tables.next_outgoing_rows().await;
        let tail = report_tail(&state);
        let relay = RelayPart { members: registry.summary(), ..RelayPart::default() };
        if state.fleet().peer_shards() == 1 {
            let peers = registry.addresses_except(&state.settings.instance);
            send(&state, &socket, &table_rows, &tail, &relay, &peers).await;
        } else {
            let now = Instant::now();
            let is_live = |peer| state.fleet().peers.is_fresh(peer, now);
            for (first, address) in registry.one_of_each_domain(state.digest, is_live) {
                let relay = RelayPart { rows_from: Some(first), ..relay.clone() };
                send(&state, &socket, &table_rows, &tail, &relay, &[address]).await;
            }
        }
        // Sends a report, whose fingerprint lets peers compare their content with this gateway's.
        state.report_requested.notify(1);
    }
}

/// Passes on rows that another gateway has read, with its `tail`, in this gateway's failure domain,
/// in which the gateway with digest `first` got them first.
pub(super) async fn pass_rows_on(
    state: &GatewayState,
    registry: &PeerRegistry,
    socket: &UdpSocket,
    table_rows: &TableRows,
    tail: &ReportTail,
    first: u64,
) {
    let children = registry.row_children(state.digest, first);
    let members = registry.summary();
    let relay = RelayPart { members, rows_from: Some(first), ..RelayPart::default() };
    for mut message in messages(table_rows) {
        let sent = send_message(socket, &mut message, tail, &relay, &children).await;
        state.link_use.tables.add(sent);
    }
}

/// Sends rows, at the pace that leaves half of this gateway's link free.
async fn send(
    state: &GatewayState,
    socket: &UdpSocket,
    table_rows: &TableRows,
    tail: &ReportTail,
    relay: &RelayPart,
    peers: &[SocketAddr],
) {
    for mut message in messages(table_rows) {
        let sent = send_message(socket, &mut message, tail, relay, peers).await;
        state.link_use.tables.add(sent);
        if let Some(link) = state.settings.link_bytes_per_s {
            let pause = Duration::from_secs_f64(sent as f64 / (link * LINK_FRACTION).max(1.0));
            smol::Timer::after(pause).await;
        }
    }
}

/// Sends one message with rows. Returns the number of bytes sent.
async fn send_message(
    socket: &UdpSocket,
    message: &mut PeerMessage,
    tail: &ReportTail,
    relay: &RelayPart,
    peers: &[SocketAddr],
) -> usize {
    let datagram = message.encode_with(tail, relay);
    let bytes = datagram.len() * peers.len();
    metrics::counter!("umberglade_row_bytes_total").increment(bytes as u64);
    for address in peers {
        // Peers detect a lost datagram by the fingerprint in the next report.
        let _ = socket.send_to(&datagram, address).await;
    }
    bytes
}

/// Divides `table_rows` into as many messages as needed. A row that fits into none is left out:
/// peers detect by the fingerprint that they lack it.
fn messages(table_rows: &TableRows) -> Vec<PeerMessage> {
    let table = table_rows.table;
    let message = |rows: Vec<StoreRow>| PeerMessage::Rows(TableRows { table, rows });
    let mut messages = Vec::new();
    let mut rows = Vec::new();
    let mut bytes = 0;
    for row in &table_rows.rows {
        let row_bytes = postcard::to_allocvec(row).expect("encoding plain fields").len();
        let size = row_bytes + MAX_ERA_BYTES;
        if size > MAX_ROWS_BYTES {
            continue;
        }
        if bytes + size > MAX_ROWS_BYTES {
            messages.push(message(std::mem::take(&mut rows)));
            bytes = 0;
        }
        bytes += size;
        rows.push(row.clone());
    }
    if !rows.is_empty() {
        messages.push(message(rows));
    }
    messages
}
