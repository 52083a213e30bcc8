//! Addresses at which the gateways receive reports.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;

use crate::cluster::name_digest;
use crate::cluster::shares_shard;

/// The peers' addresses.
#[derive(Debug, Default)]
pub struct PeerGroups {
    /// Gateways of the same shard.
    pub local_shard: Vec<SocketAddr>,
    /// Gateways of other shards, sorted.
    pub remote: Vec<SocketAddr>,
}

/// One gateway's address for reports.
#[derive(Debug)]
struct PeerEntry {
    /// Digest of the gateway's name.
    digest: u64,
    address: SocketAddr,
}

/// Names and addresses of all gateways, including this one.
#[derive(Debug, Default)]
pub struct PeerRegistry {
    entries: Mutex<HashMap<String, PeerEntry>>,
}

impl PeerRegistry {
    /// Adds a gateway; returns true if it was not known at that address.
    pub fn insert(&self, peer: &str, address: SocketAddr) -> bool {
        let mut entries = self.entries();
        if entries.get(peer).is_some_and(|known| known.address == address) {
            return false;
        }
        let digest = name_digest(peer);
        entries.insert(peer.to_owned(), PeerEntry { digest, address });
        true
    }

    pub fn remove(&self, peer: &str) {
        self.entries().remove(peer);
    }

    pub fn clear(&self) {
        self.entries().clear();
    }

    /// Returns the addresses of all gateways except `local`.
    pub fn addresses_except(&self, local: &str) -> Vec<SocketAddr> {
        let entries = self.entries();
        entries.iter().filter(|(peer, _)| *peer != local).map(|(_, entry)| entry.address).collect()
    }

    /// Returns the addresses of all gateways except `local`, grouped by whether they are in its
    /// shard. `shards` is the number of shards.
    pub fn groups(&self, local: &str, shards: u64) -> PeerGroups {
        if shards == 1 {
            return PeerGroups { local_shard: self.addresses_except(local), remote: Vec::new() };
        }
        let local_digest = name_digest(local);
        let mut groups = PeerGroups::default();
        for (_, entry) in self.entries().iter().filter(|(peer, _)| *peer != local) {
            if shares_shard(local_digest, entry.digest, shards) {
                groups.local_shard.push(entry.address);
            } else {
                groups.remote.push(entry.address);
            }
        }
        groups.remote.sort_unstable();
        groups
    }

    /// Returns the number of known gateways.
    pub fn len(&self) -> usize {
        self.entries().len()
    }

    /// Returns true if no gateway is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn entries(&self) -> MutexGuard<'_, HashMap<String, PeerEntry>> {
        self.entries.lock().expect("peer registry lock")
    }
}
