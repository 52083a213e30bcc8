//! Where the other gateways hear reports.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;

use crate::cluster::server_digest;
use crate::cluster::shares_shard;

/// The other gateways' addresses.
#[derive(Debug, Default)]
pub struct PeerGroups {
    /// Those of the same shard.
    pub local_shard: Vec<SocketAddr>,
    /// The addresses_except, sorted.
    pub remote: Vec<SocketAddr>,
}

/// Where one gateway hears reports.
#[derive(Debug)]
struct PeerEntry {
    /// That of its name.
    digest: u64,
    address: SocketAddr,
}

/// Gateways' names and addresses, this one's included.
#[derive(Debug, Default)]
pub struct PeerRegistry {
    entries: Mutex<HashMap<String, PeerEntry>>,
}

impl PeerRegistry {
    /// Notes a gateway; true when it was not known at that address.
    pub fn insert(&self, peer: &str, address: SocketAddr) -> bool {
        let mut entries = self.entries();
        if entries.get(peer).is_some_and(|known| known.address == address) {
            return false;
        }
        let digest = server_digest(peer);
        entries.insert(peer.to_owned(), PeerEntry { digest, address });
        true
    }

    /// Forgets a gateway.
    pub fn remove(&self, peer: &str) {
        self.entries().remove(peer);
    }

    /// Forgets all.
    pub fn clear(&self) {
        self.entries().clear();
    }

    /// The addresses of all gateways but `own`.
    pub fn addresses_except(&self, local: &str) -> Vec<SocketAddr> {
        let entries = self.entries();
        entries.iter().filter(|(peer, _)| *peer != local).map(|(_, entry)| entry.address).collect()
    }

    /// The addresses of all gateways but `own`, by whether they share its one of
    /// `shards`.
    pub fn groups(&self, local: &str, shards: u64) -> PeerGroups {
        if shards == 1 {
            return PeerGroups { local_shard: self.addresses_except(local), remote: Vec::new() };
        }
        let local_digest = server_digest(local);
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

    /// Gateways known.
    pub fn len(&self) -> usize {
        self.entries().len()
    }

    /// True when none is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn entries(&self) -> MutexGuard<'_, HashMap<String, PeerEntry>> {
        self.entries.lock().expect("peer book lock")
    }
}
