//! Chooses the gateways through which a server is reached whose path is broken.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashMap;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use super::PathUpdate;
use super::PeerReports;
use crate::model::ServerIncarnation;

/// How long a gateway is not asked for tunnels after it did not open one, or had no room for it.
const PEER_REST: Duration = Duration::from_millis(400);

/// A gateway's offer to forward connections of other gateways to servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TunnelOffer {
    /// False while it takes no more tunnels, as during its stop.
    pub is_open: bool,
    /// Number of tunnels that it serves.
    pub tunnels: u32,
    pub paths: PathUpdate,
}

/// A gateway that forwards connections to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TunnelPeer {
    /// Digest of its name.
    pub peer: u64,
    pub address: SocketAddr,
    /// Number of tunnels that it serves.
    pub tunnels: u32,
}

/// Gateways that are not asked for tunnels for a while.
#[derive(Debug, Default)]
pub struct TunnelRests {
    rests: FxHashMap<u64, Instant>,
}

impl TunnelRests {
    /// Records that `peer` did not open a tunnel, or had no room for it.
    pub fn record_failure(&mut self, peer: u64, now: Instant) {
        self.rests.retain(|_, until| now < *until);
        self.rests.insert(peer, now + PEER_REST);
    }

    fn is_resting(&self, peer: u64, now: Instant) -> bool {
        self.rests.get(&peer).is_some_and(|until| now < *until)
    }
}

/// Returns up to `count` gateways through which to reach `server`, in the order in which to ask
/// them. `draw` returns a random number below its argument.
///
/// Each is the less loaded of two random ones. Prevents the gateways of a failure domain that lose
/// their paths together from all choosing the same one: what they know of its load is a report old.
pub fn choose_tunnel_peers(
    reports: &PeerReports,
    rests: &TunnelRests,
    server: ServerIncarnation,
    count: usize,
    now: Instant,
    mut draw: impl FnMut(usize) -> usize,
) -> SmallVec<[TunnelPeer; 2]> {
    let mut candidates: SmallVec<[TunnelPeer; 8]> =
        reports.tunnel_peers(server, now).filter(|one| !rests.is_resting(one.peer, now)).collect();
    let mut chosen = SmallVec::new();
    while chosen.len() < count && !candidates.is_empty() {
        let (first, second) = (draw(candidates.len()), draw(candidates.len()));
        let is_second = candidates[second].tunnels < candidates[first].tunnels;
        chosen.push(candidates.swap_remove(if is_second { second } else { first }));
    }
    chosen
}
