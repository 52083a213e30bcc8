//! The peers from which the content of a table can be fetched.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashMap;

use crate::model::StoreStamp;

/// How long a peer that has not reported since counts as reachable: a quiet one reports three times
/// within it.
const SOURCE_LIFETIME: Duration = Duration::from_millis(6400);

#[derive(Debug)]
struct TableSource {
    address: SocketAddr,
    /// The store's version up to which the peer knows the table.
    through: StoreStamp,
    /// True if the peer is in this gateway's failure domain.
    is_near: bool,
    heard_at: Instant,
    /// It is not asked again before.
    rests_until: Instant,
}

/// The peers that offer the content of one table, by their digests.
///
/// Those that know more than this gateway are asked, and of them, at random, those of its failure
/// domain first. Prevents all
/// gateways that start together from fetching from the same few: each one that has the content
/// serves others.
#[derive(Debug, Default)]
pub struct TableSources {
    sources: FxHashMap<u64, TableSource>,
}

impl TableSources {
    /// Records that `peer` at `address` offers the content up to `through`.
    pub fn record(
        &mut self,
        peer: u64,
        address: SocketAddr,
        through: StoreStamp,
        is_near: bool,
        now: Instant,
    ) {
        let known = self.sources.get(&peer);
        let rests_until = known.map_or(now, |known| known.rests_until);
        let through = known.map_or(through, |known| known.through.max(through));
        let source = TableSource { address, through, is_near, heard_at: now, rests_until };
        self.sources.insert(peer, source);
    }

    /// Returns true if a peer is known to offer more than this gateway knows up to `held`.
    pub fn has_newer(&self, held: Option<StoreStamp>) -> bool {
        self.sources.values().any(|source| Some(source.through) > held)
    }

    /// Records that `peer` offers the content no longer.
    pub fn remove(&mut self, peer: u64) {
        self.sources.remove(&peer);
    }

    /// Records that `peer` is not to be asked for `rest`.
    pub fn rest(&mut self, peer: u64, rest: Duration, now: Instant) {
        if let Some(source) = self.sources.get_mut(&peer) {
            source.rests_until = now + rest;
        }
    }

    /// Chooses a peer that knows more than `held`, by the random number `draw`; `None` if none is to
    /// be asked now.
    pub fn choose(
        &mut self,
        held: Option<StoreStamp>,
        draw: usize,
        now: Instant,
    ) -> Option<(u64, SocketAddr)> {
        let is_alive =
            |source: &TableSource| now.saturating_duration_since(source.heard_at) < SOURCE_LIFETIME;
        self.sources.retain(|_, source| is_alive(source));
        let is_ready =
            |source: &TableSource| source.rests_until <= now && Some(source.through) > held;
        let ready = || self.sources.iter().filter(|(_, source)| is_ready(source));
        let has_near = ready().any(|(_, source)| source.is_near);
        let best: Vec<_> = ready().filter(|(_, source)| source.is_near || !has_near).collect();
        let (peer, source) = best.get(draw % best.len().max(1))?;
        Some((**peer, source.address))
    }
}
