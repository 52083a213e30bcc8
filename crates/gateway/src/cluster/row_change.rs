//! Rows of the store that are to be written or removed.

use crate::model::RequestFingerprint;
use crate::model::StoreStamp;

/// A change to make to the row of a fingerprint in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowChange {
    /// The fingerprint is quarantined, which gateways that receive no reports and those that
    /// start later have to know.
    Write(RequestFingerprint),
    /// The fingerprint is not quarantined any more.
    Remove(RequestFingerprint, StoreStamp),
}
