//! A content that is held back, as it stands in the store.

use serde::Deserialize;
use serde::Serialize;

use crate::model::RequestFingerprint;

/// The row of one content, encoded by `postcard`. Its key is the content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRow {
    /// Requests that were let through to find out more.
    pub probes: u32,
    /// The process that has claimed the last of them; 0 while there is none.
    pub claimed_by: u64,
}

impl QuarantineRow {
    /// The row's value.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("encoding a number")
    }
}

/// The key of the row of `content`.
pub fn content_key(content: RequestFingerprint) -> String {
    format!("{content:016x}")
}

/// The content whose row has `key`; `None` for another writer's.
pub fn key_content(key: &str) -> Option<RequestFingerprint> {
    RequestFingerprint::from_str_radix(key, 16).ok()
}
