//! How a caller's request is sent on to a backend server.

use std::net::SocketAddr;
use std::time::Duration;

use super::ServerKey;

/// Where a finished prompt's KV cache waits to be fetched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheSource {
    /// The prefill server that holds it.
    pub server: SocketAddr,
    /// The handle that server gave.
    pub handle: String,
}

/// What the server is to do with the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptPurpose {
    /// Answer it whole, reading its prompt first if it has one.
    Respond,
    /// Only read its prompt, and keep the KV cache for a decode server.
    Prefill,
    /// Fetch the KV cache and stream the answer.
    Decode(CacheSource),
}

/// One send of a caller's request.
#[derive(Debug, Clone)]
pub struct AttemptSpec {
    /// The server meant; any other that has its address must refuse.
    pub server: ServerKey,
    /// What is left of the caller's patience and the route's timeout.
    pub time_left: Duration,
    pub purpose: AttemptPurpose,
    /// The last event the caller has, when a stream goes on elsewhere.
    pub resume_after: Option<u64>,
}
