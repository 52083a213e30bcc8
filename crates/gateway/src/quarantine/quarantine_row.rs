//! The store's row of a quarantined fingerprint.

use serde::Deserialize;
use serde::Serialize;

use crate::model::RequestFingerprint;

/// The row of one fingerprint, encoded by `postcard`. Its key is the fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRow {
    /// Number of requests admitted as probes.
    pub probes: u32,
    /// The process that has claimed the last probe; 0 while there is none.
    pub claimed_by: u64,
}

impl QuarantineRow {
    /// Returns the encoded value of the row.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("encoding a number")
    }
}

/// Returns the key of the row of `fingerprint`.
pub fn fingerprint_key(fingerprint: RequestFingerprint) -> String {
    format!("{fingerprint:016x}")
}

/// Returns the fingerprint whose row has `key`, or `None` for a key written by another
/// program.
pub fn fingerprint_from_key(key: &str) -> Option<RequestFingerprint> {
    RequestFingerprint::from_str_radix(key, 16).ok()
}
