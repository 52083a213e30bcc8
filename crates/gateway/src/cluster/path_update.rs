//! What gateways tell each other of their paths to servers.

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::model::ServerIncarnation;

/// The broken paths of one gateway.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PathUpdate {
    /// True if the gateway reaches less than half of the servers that it uses.
    pub is_cut: bool,
    /// Servers that it does not reach; empty if there are too many to list.
    pub broken: SmallVec<[ServerIncarnation; 4]>,
}

impl PathUpdate {
    /// Returns true if the gateway is expected to reach `server`.
    pub fn reaches(&self, server: ServerIncarnation) -> bool {
        !self.is_cut && !self.broken.contains(&server)
    }
}
