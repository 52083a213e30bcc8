//! The servers that a gateway sends work to: those of its shard.

use std::time::Instant;

use super::Fleet;
use super::LoadShare;
use super::ServerState;
use super::ServerTotals;
use super::server_shards::shard_count;
use super::server_shards::shares_shard;

impl Fleet {
    /// Takes in how many gateways share the servers, this one included.
    pub fn set_gateways(&mut self, gateways: usize) {
        self.gateways = gateways;
    }

    /// Into how many shards the servers of `service` are divided.
    pub(super) fn shards(&self, service: &str) -> u64 {
        let servers = self.services.get(service).map_or(0, Vec::len);
        shard_count(self.gateways, servers)
    }

    /// The number of shards by which gateways are near each other: the fewest of
    /// all services that are sharded.
    pub fn peer_shards(&self) -> u64 {
        let counts = self.services.keys().map(|service| self.shards(service));
        counts.filter(|count| *count > 1).min().unwrap_or(1)
    }

    /// The servers of `service` that may get new work, each with what the
    /// other gateways tell of it: those of this gateway's shard, or all where that
    /// has none.
    pub fn open_servers<'a>(
        &'a self,
        service: &str,
        now: Instant,
    ) -> impl Iterator<Item = (&'a ServerState, ServerTotals)> {
        let shards = self.shards(service);
        let has_near = shards > 1 && self.open_of(service, shards, now).next().is_some();
        self.open_of(service, if has_near { shards } else { 1 }, now)
            .map(move |state| (state, self.peers.server(state.incarnation, now)))
            .filter(|(_, others)| others.stage_changes == 0)
    }

    /// The open servers of `service` in this gateway's one of `shards`.
    fn open_of<'a>(
        &'a self,
        service: &str,
        shards: u64,
        now: Instant,
    ) -> impl Iterator<Item = &'a ServerState> {
        let keys = self.services.get(service).map(Vec::as_slice).unwrap_or_default();
        keys.iter()
            .filter_map(|key| self.servers.get(key))
            .filter(move |server_state| shares_shard(self.own, server_state.incarnation, shards))
            .filter(move |state| state.is_open(now) && !self.is_own_change(state, now))
    }

    /// The same at servers that gateways of all shards use.
    pub fn local_loads_for_peers(&self) -> Vec<(u64, LoadShare)> {
        self.servers
            .values()
            .filter(|state| state.own.running > 0 && self.shards(&state.entry.service) == 1)
            .map(|server_state| (server_state.incarnation, server_state.own))
            .collect()
    }
}
