//! Where the other gateways hear reports.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;

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
        let addresses = self.addresses.lock().expect("peer book lock");
        addresses.iter().filter(|(peer, _)| *peer != own).map(|(_, address)| *address).collect()
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
