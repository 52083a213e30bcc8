//! Tells other gateways which version began a stream.

use std::net::SocketAddr;
use std::sync::Arc;

use smol::net::UdpSocket;

use super::PeerMessage;
use super::PeerRegistry;
use super::ReportTail;
use crate::cluster::StreamDigest;
use crate::cluster::StreamOrigin;

/// Number of other gateways that are told the origin of a stream: those of highest rank for the
/// stream, by rendezvous hashing, so that every gateway knows whom to ask.
const HOLDERS: usize = 5;
/// Number of gateways that are asked: more than are told, as gateways that joined or left lately
/// change the ranks.
const ASKED: usize = 7;

/// Sends origins to the gateways that hold them.
#[derive(Debug)]
pub struct OriginTeller {
    local: u64,
    socket: UdpSocket,
    registry: Arc<PeerRegistry>,
}

impl OriginTeller {
    /// Creates the teller of the gateway with digest `local`.
    pub fn new(local: u64, socket: UdpSocket, registry: Arc<PeerRegistry>) -> Self {
        OriginTeller { local, socket, registry }
    }

    /// Tells the gateways that hold `origin`. Datagrams may be lost, not all of five.
    pub async fn tell(&self, origin: StreamOrigin) {
        let datagram = PeerMessage::Origins(vec![origin]).encode(&ReportTail::default());
        let holders = self.registry.preferred(origin.stream, self.local, HOLDERS);
        metrics::counter!("umberglade_origin_bytes_total")
            .increment((datagram.len() * holders.len()) as u64);
        for address in holders {
            let _ = self.socket.send_to(&datagram, address).await;
        }
    }

    /// Returns the gateways that may know the origin of `stream`.
    pub fn may_know(&self, stream: StreamDigest) -> Vec<SocketAddr> {
        self.registry.preferred(stream, self.local, ASKED)
    }
}
