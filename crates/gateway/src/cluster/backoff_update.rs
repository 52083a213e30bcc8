//! Backoffs that servers request, as gateways report them to each other.

use serde::Deserialize;
use serde::Serialize;

use crate::model::ServerIncarnation;

/// A backoff that a server has requested of a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackoffUpdate {
    pub server: ServerIncarnation,
    /// Digest of the gateway that must send no requests.
    pub gateway: u64,
    /// Milliseconds until the backoff ends.
    pub left_ms: u32,
}
