//! Sends rows read from the store to the other gateways.

use std::sync::Arc;

use smol::net::UdpSocket;

use super::PeerMessage;
use super::PeerRegistry;
use super::ReportTail;
use super::TableRows;
use super::report_loop::MAX_DATAGRAM;
use super::report_loop::report_tail;
use crate::state::GatewayState;

/// Capacity of a datagram for rows; the rest is left for framing and the tail.
const MAX_ROWS_BYTES: usize = MAX_DATAGRAM - 512;

/// Maximum size of a row's era in the tail, in bytes.
const MAX_ERA_BYTES: usize = 10;

/// Sends the rows that this gateway has read for its peers to the gateways in `registry`, until the
/// process stops.
pub async fn send_rows(state: Arc<GatewayState>, registry: Arc<PeerRegistry>, socket: UdpSocket) {
    loop {
        let table_rows = state.shared_tables.next_outgoing_rows().await;
        let peers = registry.addresses_except(&state.settings.instance);
        let tail = report_tail(&state);
        for datagram in datagrams(table_rows, &tail) {
            for address in &peers {
                // Peers detect a lost datagram by the fingerprint in the next report.
                let _ = socket.send_to(&datagram, address).await;
            }
        }
        // Sends a report, whose fingerprint lets peers compare their content with this gateway's.
        state.report_requested.notify(1);
    }
}

/// Encodes `table_rows` into as many datagrams as needed. A row that fits into none is left out:
/// peers detect by the fingerprint that they lack it.
fn datagrams(table_rows: TableRows, tail: &ReportTail) -> Vec<Vec<u8>> {
    let table = table_rows.table;
    let mut datagrams = Vec::new();
    let mut rows = Vec::new();
    let mut bytes = 0;
    for row in table_rows.rows {
        let row_bytes = postcard::to_allocvec(&row).expect("encoding plain fields").len();
        let size = row_bytes + MAX_ERA_BYTES;
        if size > MAX_ROWS_BYTES {
            continue;
        }
        if bytes + size > MAX_ROWS_BYTES {
            let part = TableRows { table, rows: std::mem::take(&mut rows) };
            datagrams.push(PeerMessage::Rows(part).encode(tail));
            bytes = 0;
        }
        bytes += size;
        rows.push(row);
    }
    if !rows.is_empty() {
        datagrams.push(PeerMessage::Rows(TableRows { table, rows }).encode(tail));
    }
    datagrams
}
