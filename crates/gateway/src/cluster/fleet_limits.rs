//! Enforces the rate limits that servers state, and the backoffs that they request, when
//! requests are sent to them.

use std::time::Duration;
use std::time::Instant;

use super::BackoffUpdate;
use super::Fleet;
use super::LimitUpdate;
use super::ServerLimitChange;
use super::ServerState;
use super::limit_share::even_limit_share;
use super::limit_share::limit_share;
use super::server_shards::shares_shard;
use crate::model::RequestRate;
use crate::model::ServerIncarnation;
use crate::model::ServerStage;
use crate::model::StatedLimit;

impl Fleet {
    /// Applies the limit that a response of `server` to a request sent at `sent_at` states.
    pub fn record_limit(
        &mut self,
        server: ServerIncarnation,
        stated: StatedLimit,
        sent_at: Instant,
        now: Instant,
    ) -> Option<ServerLimitChange> {
        let change = self.limits.record_response(server, stated, sent_at, now)?;
        self.update_share(server, now);
        Some(change)
    }

    /// Applies a limit reported by a peer.
    pub fn apply_peer_limit(
        &mut self,
        update: LimitUpdate,
        now: Instant,
    ) -> Option<ServerLimitChange> {
        let change = self.limits.apply_peer_limit(update, now)?;
        self.update_share(update.server, now);
        Some(change)
    }

    /// Records that `server` requests a backoff of `delay` from this gateway. Returns true if it
    /// ends later than the known one.
    pub fn record_backoff(
        &mut self,
        server: ServerIncarnation,
        delay: Duration,
        now: Instant,
    ) -> bool {
        self.backoffs.record(server, self.digest, now + delay, now)
    }

    /// Applies a backoff reported by a peer. Returns true if it concerns this gateway and ends
    /// later than the known one.
    pub fn apply_peer_backoff(&mut self, update: BackoffUpdate, now: Instant) -> bool {
        let until = now + Duration::from_millis(u64::from(update.left_ms));
        self.backoffs.record(update.server, update.gateway, until, now)
            && update.gateway == self.digest
    }

    /// Returns the backoffs that a report includes: recent ones of this gateway, or with
    /// `reports_all` all of them, and all known ones of `new_peers`.
    pub fn backoff_updates(
        &self,
        reports_all: bool,
        new_peers: &[u64],
        now: Instant,
    ) -> Vec<BackoffUpdate> {
        let reports_all_of =
            |gateway| (reports_all && gateway == self.digest) || new_peers.contains(&gateway);
        self.backoffs.updates(self.digest, reports_all_of, now)
    }

    /// Returns true if no backoff of the server is in force for this gateway and its rate limit
    /// allows a request now.
    pub(super) fn may_send(&self, server_state: &ServerState, now: Instant) -> bool {
        let server = server_state.incarnation;
        self.backoffs.until(server, self.digest, now).is_none() && self.limits.may_send(server, now)
    }

    /// Returns true if the server with the id `key` states a limit.
    pub fn has_limit(&self, key: &str) -> bool {
        self.server(key)
            .is_some_and(|server_state| self.limits.limit(server_state.incarnation).is_some())
    }

    /// Takes a token for a request that is about to be sent to `server`. Returns false if a
    /// backoff or its rate limit allows none now.
    pub fn take_send_token(&mut self, server: ServerIncarnation, now: Instant) -> bool {
        self.backoffs.until(server, self.digest, now).is_none()
            && self.limits.take_send_token(server, now)
    }

    /// Returns the earliest time at which this gateway may send a request to a server of `service`
    /// whose stage `suits` accepts; `None` when there is no such server.
    pub fn next_send_at(
        &self,
        service: &str,
        suits: impl Fn(ServerStage) -> bool,
        now: Instant,
    ) -> Option<Instant> {
        self.available_servers(service, now)
            .filter(|(server_state, _)| suits(server_state.entry.stage))
            .filter_map(|(server_state, _)| self.next_send_to(server_state.incarnation, now))
            .min()
    }

    /// Returns when this gateway may send the next request to `server`; `None` when it has no share
    /// of its limit.
    fn next_send_to(&self, server: ServerIncarnation, now: Instant) -> Option<Instant> {
        let by_limit = self.limits.next_send_at(server, now)?;
        let backoff_end = self.backoffs.until(server, self.digest, now);
        Some(backoff_end.map_or(by_limit, |end| end.max(by_limit)))
    }

    /// Returns this gateway's share of the limit of `server`, in requests per second.
    pub fn local_limit_share(&self, server: ServerIncarnation) -> Option<f64> {
        let limit = self.limits.limit(server)?;
        Some(self.local_share(self.server_by_incarnation(server)?, limit))
    }

    /// Recomputes this gateway's share of each limit from the peers that currently report.
    pub(super) fn update_shares(&mut self, now: Instant) {
        let shares: Vec<(ServerIncarnation, f64)> = self
            .servers
            .values()
            .filter_map(|server_state| {
                let limit = self.limits.limit(server_state.incarnation)?;
                Some((server_state.incarnation, self.local_share(server_state, limit)))
            })
            .collect();
        for (server, share) in shares {
            self.limits.set_share(server, share, now);
        }
    }

    fn update_share(&mut self, server: ServerIncarnation, now: Instant) {
        if let Some(share) = self.local_limit_share(server) {
            self.limits.set_share(server, share, now);
        }
    }

    fn local_share(&self, server_state: &ServerState, limit: RequestRate) -> f64 {
        let shards = self.shards(&server_state.entry.service);
        if !shares_shard(self.digest, server_state.incarnation, shards) {
            return 0.0;
        }
        let live_gateways = self.peers.len() + 1;
        if live_gateways * 2 <= self.gateways {
            return even_limit_share(limit, self.gateways);
        }
        limit_share(limit, self.peers.limit_rank(self.digest, server_state.incarnation, shards))
    }
}
