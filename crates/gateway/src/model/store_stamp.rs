//! Versions of rows in a store that may come back from an older copy.

use std::cmp::Ordering;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Number of a life of the store. It rises each time the store comes back from an older copy of
/// itself.
pub type StoreEra = u64;
/// A number that the store gave a row in one of its eras. Numbers are given out again in the next
/// era, so they are only compared as part of a [`StoreStamp`].
pub type StoreVersion = u64;

/// A number that increases with each holder of the right to give orders.
pub type FencingToken = u64;

/// Number of bits of a fencing token below the era: more transactions than a store makes in an era.
const FENCE_VERSION_BITS: u32 = 32;

/// When a row was written: the era, and the version in that era. Stamps are ordered by both.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct StoreStamp {
    written: StoreEra,
    version: StoreVersion,
    /// The era in which the row was read, which is a later one for rows that a copy has kept. Does
    /// not count in comparisons.
    seen: StoreEra,
}

impl StoreStamp {
    /// The stamp of a row that does not exist.
    pub const NONE: StoreStamp = StoreStamp { written: 0, version: 0, seen: 0 };

    /// Creates the stamp of a row that was written and read in `era`.
    pub fn new(era: StoreEra, version: StoreVersion) -> Self {
        StoreStamp { written: era, version, seen: era }
    }

    /// Returns the stamp of the same row if it was written in the earlier era `written` and kept
    /// by the copy.
    pub fn written_in(self, written: StoreEra) -> Self {
        StoreStamp { written, ..self }
    }

    /// Returns the stamp of the same row if it was written in the era in which it was read.
    pub fn written_when_seen(self) -> Self {
        StoreStamp { written: self.seen, ..self }
    }

    /// Returns true unless this is the stamp of a row that does not exist.
    pub fn exists(&self) -> bool {
        self.version > 0
    }

    /// Returns true if the row may be what a copy has kept of an earlier era.
    pub fn is_copied(&self) -> bool {
        self.written < self.seen
    }

    /// The era in which the row was read.
    pub fn seen_era(&self) -> StoreEra {
        self.seen
    }

    /// The era in which the row was written, as far as known.
    pub fn written_era(&self) -> StoreEra {
        self.written
    }

    /// The row's number in the era in which it was read, for calls to the store and for logs.
    pub fn version(&self) -> StoreVersion {
        self.version
    }

    /// Returns a fencing token that increases with each write, in whatever era.
    ///
    /// Prevents engines from seeing a lower token after a higher one when the store gives out its
    /// numbers again.
    pub fn fencing_token(&self) -> FencingToken {
        (self.seen << FENCE_VERSION_BITS) + self.version
    }
}

impl PartialEq for StoreStamp {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for StoreStamp {}

impl PartialOrd for StoreStamp {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for StoreStamp {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.written, self.version).cmp(&(other.written, other.version))
    }
}

impl fmt::Display for StoreStamp {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.written, self.version)
    }
}

/// Encodes a stamp as its number alone, as gateways of the previous build do. The eras are sent
/// beside it, in the tail of the datagram.
pub mod version_only {
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serialize;
    use serde::Serializer;

    use super::StoreStamp;
    use super::StoreVersion;

    pub fn serialize<S: Serializer>(stamp: &StoreStamp, serializer: S) -> Result<S::Ok, S::Error> {
        stamp.version.serialize(serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<StoreStamp, D::Error> {
        Ok(StoreStamp::new(0, StoreVersion::deserialize(deserializer)?))
    }
}
