//! The software version at which the further attempts of a request must run.

use super::SoftwareDigest;

/// The software versions at which attempts of a request may run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PinnedVersion {
    /// Nothing of the response has reached the caller.
    #[default]
    Any,
    /// The caller has events that servers of this version wrote.
    Known(SoftwareDigest),
    /// The caller has events of a version that is not known: no further attempt may add to them.
    Unknown,
}

impl PinnedVersion {
    /// Returns the version that wrote the caller's events, if known.
    pub fn known(self) -> Option<SoftwareDigest> {
        match self {
            PinnedVersion::Known(software) => Some(software),
            PinnedVersion::Any | PinnedVersion::Unknown => None,
        }
    }
}
