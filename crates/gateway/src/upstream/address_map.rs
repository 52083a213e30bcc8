//! Addresses at which this process reaches servers, where they differ from those in their rows.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::OnceLock;

static IN_USE: OnceLock<AddressMap> = OnceLock::new();

/// The addresses at which servers are reached, by those that they have registered.
///
/// The rows of servers are the same for all gateways, which pass them on to each other; only
/// connections go elsewhere.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AddressMap {
    reached: HashMap<SocketAddr, SocketAddr>,
}

impl AddressMap {
    /// Returns the address at which the server with the address `registered` is reached.
    pub fn reached(&self, registered: SocketAddr) -> SocketAddr {
        self.reached.get(&registered).copied().unwrap_or(registered)
    }

    /// Uses the map for all connections of this process to servers. Has no effect if one is in use.
    pub fn install(self) {
        let _ = IN_USE.set(self);
    }
}

/// Parses entries `REGISTERED=REACHED`, separated by commas.
impl FromStr for AddressMap {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut reached = HashMap::new();
        for entry in text.split(',').filter(|entry| !entry.is_empty()) {
            let parsed = entry.split_once('=').and_then(|(registered, address)| {
                Some((registered.parse().ok()?, address.parse().ok()?))
            });
            let (registered, address) =
                parsed.ok_or_else(|| format!("`{entry}`: expected ADDRESS:PORT=ADDRESS:PORT"))?;
            if reached.insert(registered, address).is_some() {
                return Err(format!("`{registered}` occurs twice"));
            }
        }
        Ok(AddressMap { reached })
    }
}

/// Returns the address at which this process reaches the server that has registered `registered`.
pub(super) fn reached(registered: SocketAddr) -> SocketAddr {
    IN_USE.get().map_or(registered, |map| map.reached(registered))
}
