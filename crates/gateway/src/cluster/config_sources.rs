//! The peers from which a newer configuration can be fetched.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashMap;

use crate::model::ConfigId;

/// How long a peer that has not reported since counts as reachable.
const SOURCE_LIFETIME: Duration = Duration::from_secs(4);

#[derive(Debug)]
struct ConfigSource {
    address: SocketAddr,
    id: ConfigId,
    heard_at: Instant,
    /// It is not asked again before.
    rests_until: Instant,
}

impl ConfigSource {
    fn is_alive(&self, now: Instant) -> bool {
        now < self.heard_at + SOURCE_LIFETIME
    }

    fn is_newer_than(&self, held: Option<ConfigId>) -> bool {
        held.is_none_or(|held| self.id.is_newer_than(&held))
    }
}

/// Which peer to ask next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceChoice {
    Ask {
        peer: u64,
        address: SocketAddr,
        id: ConfigId,
    },
    /// Peers hold a newer configuration, and none of them is to be asked before this time.
    Wait(Instant),
    /// No peer is known to hold a newer configuration.
    None,
}

/// The configurations that peers hold, by the peers' digests.
///
/// Peers are chosen at random. Prevents all gateways that lack a configuration from fetching it
/// from the one that was heard last, whose link then carries dozens of copies at once: each gateway
/// that has it serves a few others, so that the number of sources grows as fast as the copies do.
#[derive(Debug, Default)]
pub struct ConfigSources {
    sources: FxHashMap<u64, ConfigSource>,
}

impl ConfigSources {
    /// Records that `peer` at `address` reports configuration `id`.
    pub fn record(&mut self, peer: u64, address: SocketAddr, id: ConfigId, now: Instant) {
        let rests_until = self.sources.get(&peer).map_or(now, |known| known.rests_until);
        self.sources.insert(peer, ConfigSource { address, id, heard_at: now, rests_until });
    }

    /// Records that `peer` is not to be asked for `rest`.
    pub fn rest(&mut self, peer: u64, rest: Duration, now: Instant) {
        if let Some(source) = self.sources.get_mut(&peer) {
            source.rests_until = now + rest;
        }
    }

    /// Returns true if a peer that still reports holds a configuration newer than `held`.
    pub fn offers_newer_than(&self, held: Option<ConfigId>, now: Instant) -> bool {
        self.sources.values().any(|source| source.is_alive(now) && source.is_newer_than(held))
    }

    /// Chooses a peer that holds a configuration newer than `held`, by the random number `draw`.
    pub fn choose(&mut self, held: Option<ConfigId>, draw: usize, now: Instant) -> SourceChoice {
        self.sources.retain(|_, source| source.is_alive(now));
        let newer = || self.sources.iter().filter(|(_, source)| source.is_newer_than(held));
        let ready: Vec<_> = newer().filter(|(_, source)| source.rests_until <= now).collect();
        if let Some((peer, source)) = ready.get(draw % ready.len().max(1)) {
            return SourceChoice::Ask { peer: **peer, address: source.address, id: source.id };
        }
        let next = newer().map(|(_, source)| source.rests_until).min();
        next.map_or(SourceChoice::None, SourceChoice::Wait)
    }
}
