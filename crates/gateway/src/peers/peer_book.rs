//! Where the other gateways hear reports.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use crate::belief::server_digest;
use crate::belief::shares_shard;

/// The other gateways' addresses.
#[derive(Debug, Default)]
pub struct PeerGroups {
    /// Those of the same shard.
    pub near: Vec<SocketAddr>,
    /// The others, sorted.
    pub far: Vec<SocketAddr>,
}

/// Gateways' names and addresses, this one's included.
#[derive(Debug, Default)]
pub struct PeerBook {
    addresses: Mutex<HashMap<String, SocketAddr>>,
}

impl PeerBook {
    /// Notes a gateway; true when it was not known at that address.
    pub fn insert(&self, peer: &str, address: SocketAddr) -> bool {
        let mut addresses = self.addresses.lock().expect("peer book lock");
        if addresses.get(peer) == Some(&address) {
            return false;
        }
        addresses.insert(peer.to_owned(), address);
        true
    }

    /// Forgets a gateway.
    pub fn remove(&self, peer: &str) {
        self.addresses.lock().expect("peer book lock").remove(peer);
    }

    /// Forgets all.
    pub fn clear(&self) {
        self.addresses.lock().expect("peer book lock").clear();
    }

    /// The addresses of all gateways but `own`.
    pub fn others(&self, own: &str) -> Vec<SocketAddr> {
        let PeerGroups { near, far } = self.groups(own, 1);
        near.into_iter().chain(far).collect()
    }

    /// The addresses of all gateways but `own`, by whether they share its one of
    /// `shards`.
    pub fn groups(&self, own: &str, shards: u64) -> PeerGroups {
        let own_digest = server_digest(own);
        let mut groups = PeerGroups::default();
        let addresses = self.addresses.lock().expect("peer book lock");
        for (peer, address) in addresses.iter().filter(|(peer, _)| *peer != own) {
            if shares_shard(own_digest, server_digest(peer), shards) {
                groups.near.push(*address);
            } else {
                groups.far.push(*address);
            }
        }
        drop(addresses);
        groups.far.sort_unstable();
        groups
    }

    /// Gateways known.
    pub fn len(&self) -> usize {
        self.addresses.lock().expect("peer book lock").len()
    }

    /// True when none is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
