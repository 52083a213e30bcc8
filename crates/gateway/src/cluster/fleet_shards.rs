//! Selects the servers that a gateway sends work to: those of its shard.

use std::time::Instant;

use super::Fleet;
use super::LoadShare;
use super::ServerState;
use super::ServerTotals;
use super::server_shards::gateway_groups;
use super::server_shards::shard_count;
use super::server_shards::shares_shard;
use crate::model::SoftwareDigest;

impl Fleet {
    /// Sets the number of gateways that share the servers, including this one.
    pub fn set_gateways(&mut self, gateways: usize) {
        self.gateways = gateways;
    }

    /// Returns the number of shards into which the servers of `service` are divided.
    pub(super) fn shards(&self, service: &str) -> u64 {
        let servers = self.services.get(service).map_or(0, Vec::len);
        shard_count(self.gateways, servers)
    }

    /// Returns the number of groups that the gateways form.
    pub fn peer_shards(&self) -> u64 {
        gateway_groups(self.gateways)
    }

    /// Returns the servers of `service` that are available to new work, each with the totals that
    /// peers report for it: those of this gateway's shard, or all if that shard has none.
    pub fn available_servers<'a>(
        &'a self,
        service: &str,
        now: Instant,
    ) -> impl Iterator<Item = (&'a ServerState, ServerTotals)> {
        self.available_servers_of(service, None, now)
    }

    /// Like [`Fleet::available_servers`], those of one software version only if one is given.
    pub fn available_servers_of<'a>(
        &'a self,
        service: &str,
        software: Option<SoftwareDigest>,
        now: Instant,
    ) -> impl Iterator<Item = (&'a ServerState, ServerTotals)> {
        let suits = move |state: &ServerState| software.is_none_or(|one| state.software == one);
        let in_shard = |shards| {
            self.available_in_shard(service, shards, now).filter(move |state| suits(state))
        };
        let shards = self.shards(service);
        let has_local_shard = shards > 1 && in_shard(shards).next().is_some();
        in_shard(if has_local_shard { shards } else { 1 })
            .map(move |state| (state, self.peers.server(state.incarnation, now)))
            .filter(|(_, peer_totals)| peer_totals.stage_changes == 0)
    }

    /// Returns the available servers of `service` in this gateway's one of `shards`.
    fn available_in_shard<'a>(
        &'a self,
        service: &str,
        shards: u64,
        now: Instant,
    ) -> impl Iterator<Item = &'a ServerState> {
        let keys = self.services.get(service).map(Vec::as_slice).unwrap_or_default();
        keys.iter()
            .filter_map(|key| self.servers.get(key))
            .filter(move |server_state| shares_shard(self.digest, server_state.incarnation, shards))
            .filter(move |state| state.is_available(now) && !self.is_changing_stage(state, now))
    }

    /// Returns this gateway's load on servers that gateways of all shards use.
    pub fn local_loads_for_peers(&self) -> Vec<(u64, LoadShare)> {
        self.used_servers()
            .filter(|state| state.local_load.running > 0 && self.shards(&state.entry.service) == 1)
            .map(|server_state| (server_state.incarnation, server_state.local_load))
            .collect()
    }
}
