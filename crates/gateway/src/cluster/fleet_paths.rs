//! Servers that are reached through other gateways.

use std::time::Instant;

use smallvec::SmallVec;

use super::Fleet;
use super::ServerState;
use super::TunnelOffer;
use super::TunnelPeer;
use super::choose_tunnel_peers;
use crate::model::ServerIncarnation;

/// How this gateway reaches a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ServerReach {
    Direct,
    /// Only through other gateways.
    Tunnel,
    /// Its path is broken, and no other gateway is known to reach it.
    None,
}

impl Fleet {
    /// Records that another gateway reaches a server and this one does not. What failed there
    /// lately was the path. Returns true if this was not known.
    pub fn record_path_broken(
        &mut self,
        key: &str,
        incarnation: ServerIncarnation,
        now: Instant,
    ) -> bool {
        let is_new = self.paths.record_broken(incarnation, now);
        if is_new && let Some(server_state) = self.current_server_mut(key, incarnation) {
            server_state.health.forgive();
        }
        is_new
    }

    /// Returns up to `count` gateways through which to reach `server`.
    pub fn tunnel_peers(
        &self,
        server: ServerIncarnation,
        count: usize,
        now: Instant,
    ) -> SmallVec<[TunnelPeer; 2]> {
        let draw = |below: usize| fastrand::usize(..below);
        choose_tunnel_peers(&self.peers, &self.tunnel_rests, server, count, now, draw)
    }

    pub(super) fn reach(&self, server_state: &ServerState, now: Instant) -> ServerReach {
        let server = server_state.incarnation;
        if !self.paths.is_broken(server) {
            return ServerReach::Direct;
        }
        if self.has_tunnel_peer(server, now) { ServerReach::Tunnel } else { ServerReach::None }
    }

    /// Returns true if another gateway offers tunnels to `server`.
    pub fn has_tunnel_peer(&self, server: ServerIncarnation, now: Instant) -> bool {
        self.peers.tunnel_peers(server, now).next().is_some()
    }

    /// Returns this gateway's offer of tunnels, for a report to its peers. `tunnels` is the number
    /// that it serves.
    pub fn tunnel_offer(&self, is_open: bool, tunnels: u32) -> TunnelOffer {
        TunnelOffer { is_open, tunnels, paths: self.paths.update() }
    }
}
