//! Sends rows read from the store to the other gateways.

use std::sync::Arc;

use smol::net::UdpSocket;

use super::PeerMessage;
use super::PeerRegistry;
use super::TableRows;
use super::report_loop::MAX_DATAGRAM;
use crate::state::GatewayState;

/// Capacity of a datagram for rows; the rest is left for framing.
const MAX_ROWS_BYTES: usize = MAX_DATAGRAM - 64;

/// Sends the rows that this gateway has read for its peers to the gateways in `registry`, until the
/// process stops.
pub async fn send_rows(state: Arc<GatewayState>, registry: Arc<PeerRegistry>, socket: UdpSocket) {
    loop {
        let table_rows = state.shared_tables.next_outgoing_rows().await;
        let peers = registry.addresses_except(&state.settings.instance);
        for datagram in datagrams(table_rows) {
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
fn datagrams(table_rows: TableRows) -> Vec<Vec<u8>> {
    let table = table_rows.table;
    let mut datagrams = Vec::new();
    let mut rows = Vec::new();
    let mut bytes = 0;
    for row in table_rows.rows {
        let size = postcard::to_allocvec(&row).expect("encoding plain fields").len();
        if size > MAX_ROWS_BYTES {
            continue;
        }
        if bytes + size > MAX_ROWS_BYTES {
            datagrams.push(encode(TableRows { table, rows: std::mem::take(&mut rows) }));
            bytes = 0;
        }
        bytes += size;
        rows.push(row);
    }
    if !rows.is_empty() {
        datagrams.push(encode(TableRows { table, rows }));
    }
    datagrams
}

fn encode(rows: TableRows) -> Vec<u8> {
    postcard::to_allocvec(&PeerMessage::Rows(rows)).expect("encoding plain fields")
}
