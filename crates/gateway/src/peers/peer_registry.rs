//! The known gateways, and the addresses at which they receive reports.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::cluster::name_digest;
use crate::cluster::rendezvous_score;
use crate::cluster::shares_shard;
use crate::model::DomainKey;
use crate::state_lock::StateLock;

/// How long reports include a gateway that has become known: until all have heard of it.
const JOINED_WINDOW: Duration = Duration::from_secs(3);
/// Number of gateways to which each one passes rows on: a few thousand are reached in six steps.
pub(super) const ROW_FAN_OUT: usize = 4;
/// Maximum number of gateways that a report to the sender's own group names as having joined, of some
/// 40 bytes each: all of the group hear such reports from each other.
pub const MAX_JOINED_NEAR: usize = 8;
/// Maximum number of gateways that a report to another group names as having joined.
pub const MAX_JOINED_FAR: usize = 24;

/// The peers' addresses.
#[derive(Debug, Default)]
pub struct PeerGroups {
    /// Gateways of the same shard.
    pub local_shard: Vec<SocketAddr>,
    /// Gateways of other shards, sorted.
    pub remote: Vec<SocketAddr>,
}

/// A gateway, as gateways tell each other of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    pub name: String,
    /// Address at which it receives reports.
    pub address: SocketAddr,
    /// Its failure domain, if known.
    pub domain: Option<DomainKey>,
}

/// The known gateways, summarised so that two gateways can compare whom they know.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSummary {
    pub count: u32,
    /// Exclusive or of the digests of their names.
    pub digest: u64,
}

/// What is known of one gateway.
#[derive(Debug)]
struct PeerEntry {
    /// Digest of the gateway's name.
    digest: u64,
    address: SocketAddr,
    domain: Option<DomainKey>,
    learned_at: Instant,
}

#[derive(Debug, Default)]
struct PeerEntries {
    by_name: HashMap<String, PeerEntry>,
    /// Invariant: describes `by_name`.
    summary: MemberSummary,
    /// When a gateway was last added or removed.
    changed_at: Option<Instant>,
}

impl PeerEntries {
    fn record_change(&mut self, name: &str, count: u32) {
        self.summary = MemberSummary { count, digest: self.summary.digest ^ name_digest(name) };
        self.changed_at = Some(Instant::now());
    }

    /// Sets the address of a gateway; returns true if it was not known at that address.
    fn insert(&mut self, peer: &str, address: SocketAddr) -> bool {
        if let Some(known) = self.by_name.get_mut(peer) {
            return std::mem::replace(&mut known.address, address) != address;
        }
        let digest = name_digest(peer);
        let entry = PeerEntry { digest, address, domain: None, learned_at: Instant::now() };
        self.by_name.insert(peer.to_owned(), entry);
        self.record_change(peer, self.summary.count + 1);
        true
    }

    fn remove(&mut self, peer: &str) {
        if self.by_name.remove(peer).is_some() {
            self.record_change(peer, self.summary.count - 1);
        }
    }
}

/// Names, addresses and failure domains of all gateways, including this one.
#[derive(Debug, Default)]
pub struct PeerRegistry {
    entries: StateLock<PeerEntries>,
}

impl PeerRegistry {
    /// Adds a gateway; returns true if it was not known at that address.
    pub fn insert(&self, peer: &str, address: SocketAddr) -> bool {
        self.entries().insert(peer, address)
    }

    /// Adds the gateways of `records` that are not known yet, and returns how many. The address of a
    /// known one changes only by its own reports or its row.
    pub fn merge(&self, records: Vec<MemberRecord>) -> usize {
        let mut entries = self.entries();
        let mut added = 0;
        for MemberRecord { name, address, domain } in records {
            let is_known = entries.by_name.contains_key(&name);
            if !is_known {
                entries.insert(&name, address);
                added += 1;
            }
            if let Some(entry) = entries.by_name.get_mut(&name) {
                entry.domain = entry.domain.take().or(domain);
            }
        }
        added
    }

    /// Returns all known gateways.
    pub fn records(&self) -> Vec<MemberRecord> {
        self.entries().by_name.iter().map(|(name, entry)| record(name, entry)).collect()
    }

    /// Returns the gateways that have become known lately; a random sample if there are more than
    /// `limit`.
    pub fn joined(&self, limit: usize, now: Instant) -> Vec<MemberRecord> {
        let entries = self.entries();
        let is_recent = |at: Instant| now.saturating_duration_since(at) < JOINED_WINDOW;
        if !entries.changed_at.is_some_and(is_recent) {
            return Vec::new();
        }
        let recent = entries.by_name.iter().filter(|(_, entry)| is_recent(entry.learned_at));
        let mut joined: Vec<(&String, &PeerEntry)> = recent.collect();
        fastrand::shuffle(&mut joined);
        joined.truncate(limit);
        joined.into_iter().map(|(name, entry)| record(name, entry)).collect()
    }

    /// Returns a summary of the known gateways.
    pub fn summary(&self) -> MemberSummary {
        self.entries().summary
    }

    /// Returns true if no gateway was added or removed in the last `span` before `now`.
    pub fn is_settled(&self, span: Duration, now: Instant) -> bool {
        let changed_at = self.entries().changed_at;
        changed_at.is_none_or(|at| now.saturating_duration_since(at) >= span)
    }

    /// Returns the address and the failure domain, if known, of the gateway with `digest`.
    pub fn find(&self, digest: u64) -> Option<(SocketAddr, Option<DomainKey>)> {
        let entries = self.entries();
        let entry = entries.by_name.values().find(|entry| entry.digest == digest)?;
        Some((entry.address, entry.domain.clone()))
    }

    /// Returns the failure domain of `peer`, if known.
    pub fn domain(&self, peer: &str) -> Option<DomainKey> {
        self.entries().by_name.get(peer)?.domain.clone()
    }

    pub fn remove(&self, peer: &str) {
        self.entries().remove(peer);
    }

    pub fn clear(&self) {
        *self.entries() = PeerEntries::default();
    }

    /// Returns the addresses of all gateways except `local`.
    pub fn addresses_except(&self, local: &str) -> Vec<SocketAddr> {
        let entries = self.entries();
        let others = entries.by_name.iter().filter(|(peer, _)| *peer != local);
        others.map(|(_, entry)| entry.address).collect()
    }

    /// Returns the addresses of all gateways except `local`, grouped by whether they are in its
    /// shard. `shards` is the number of shards.
    pub fn groups(&self, local: &str, shards: u64) -> PeerGroups {
        if shards == 1 {
            return PeerGroups { local_shard: self.addresses_except(local), remote: Vec::new() };
        }
        let local_digest = name_digest(local);
        let mut groups = PeerGroups::default();
        for (_, entry) in self.entries().by_name.iter().filter(|(peer, _)| *peer != local) {
            if shares_shard(local_digest, entry.digest, shards) {
                groups.local_shard.push(entry.address);
            } else {
                groups.remote.push(entry.address);
            }
        }
        groups.remote.sort_unstable();
        groups
    }

    /// Returns one random gateway of each failure domain, with the digest of its name. Those for
    /// which `is_live` returns true are preferred.
    pub fn one_of_each_domain(
        &self,
        local: u64,
        is_live: impl Fn(u64) -> bool,
    ) -> Vec<(u64, SocketAddr)> {
        let mut by_domain: HashMap<DomainKey, Vec<(u64, SocketAddr)>> = HashMap::new();
        for entry in self.entries().by_name.values().filter(|entry| entry.digest != local) {
            let Some(domain) = &entry.domain else { continue };
            by_domain.entry(domain.clone()).or_default().push((entry.digest, entry.address));
        }
        let choose = |members: &Vec<(u64, SocketAddr)>| {
            let live: Vec<_> = members.iter().filter(|(digest, _)| is_live(*digest)).collect();
            fastrand::choice(live).or_else(|| fastrand::choice(members)).copied()
        };
        by_domain.values().filter_map(choose).collect()
    }

    /// Returns the gateways to which the one with digest `local` passes on what the gateway of its
    /// failure domain with digest `first` got: its children in a tree of all gateways of the domain,
    /// in the order of their digests from `first` on.
    pub fn row_children(&self, local: u64, first: u64) -> Vec<SocketAddr> {
        let entries = self.entries();
        let Some(own) = entries.by_name.values().find(|entry| entry.digest == local) else {
            return Vec::new();
        };
        let same_domain = entries.by_name.values().filter(|entry| entry.domain == own.domain);
        let mut members: Vec<(u64, SocketAddr)> =
            same_domain.map(|entry| (entry.digest.wrapping_sub(first), entry.address)).collect();
        members.sort_unstable();
        let own_order = local.wrapping_sub(first);
        let position = members.partition_point(|(order, _)| *order < own_order);
        let children = members.iter().skip(position * ROW_FAN_OUT + 1).take(ROW_FAN_OUT);
        children.map(|(_, address)| *address).collect()
    }

    /// Returns the `count` gateways except `local` of highest rank for `digest`, by rendezvous
    /// hashing: gateways that know the same others choose the same.
    pub fn preferred(&self, digest: u64, local: u64, count: usize) -> Vec<SocketAddr> {
        let entries = self.entries();
        let others = entries.by_name.values().filter(|entry| entry.digest != local);
        let mut ranked: Vec<(u32, SocketAddr)> =
            others.map(|entry| (rendezvous_score(entry.digest, digest), entry.address)).collect();
        if ranked.len() > count {
            ranked.select_nth_unstable_by(count, |left, right| right.cmp(left));
            ranked.truncate(count);
        }
        ranked.into_iter().map(|(_, address)| address).collect()
    }

    /// Returns the number of known gateways.
    pub fn len(&self) -> usize {
        self.entries().by_name.len()
    }

    /// Returns true if no gateway is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn entries(&self) -> MutexGuard<'_, PeerEntries> {
        self.entries.lock()
    }
}

fn record(name: &str, entry: &PeerEntry) -> MemberRecord {
    MemberRecord { name: name.to_owned(), address: entry.address, domain: entry.domain.clone() }
}
