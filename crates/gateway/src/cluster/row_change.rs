//! Rows of the store that are to be written or removed.

use crate::model::RequestFingerprint;
use crate::model::StoreVersion;

/// What is to be done with a content's row in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowChange {
    /// It is held back: gateways that hear nobody and those that start are to
    /// know.
    Write(RequestFingerprint),
    /// It is held back no more.
    Remove(RequestFingerprint, StoreVersion),
}
