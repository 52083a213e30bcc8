//! Identifies one configuration that the operator wrote.

use serde::Deserialize;
use serde::Serialize;

use super::ConfigVersion;
use super::StoreStamp;

/// Identifies the content of one configuration: gateways with the same id hold the same content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigId {
    /// The stamp of its row in the store.
    pub stamp: StoreStamp,
    /// The operator's version, which increases also while the store goes back.
    pub version: ConfigVersion,
}

impl ConfigId {
    /// Returns true if this configuration replaces `other` where that is in force: if the operator
    /// wrote it later, or wrote it again.
    ///
    /// Prevents an older copy of the store from taking a configuration out of force, and one that
    /// is written after the copy from staying out of force because its row has a lower number.
    pub fn is_newer_than(&self, other: &ConfigId) -> bool {
        (self.version, self.stamp) > (other.version, other.stamp)
    }
}
