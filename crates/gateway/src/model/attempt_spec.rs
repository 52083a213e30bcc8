//! How a caller's request is forwarded to a backend server.

use std::net::SocketAddr;
use std::time::Duration;

use super::ServerKey;

/// Where the KV cache of a prefilled prompt can be fetched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheSource {
    /// The prefill server that holds it.
    pub server: SocketAddr,
    /// The handle by which that server identifies it.
    pub handle: String,
}

/// What the server shall do with the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptPurpose {
    /// Generate the complete response, after prefilling the prompt if there is one.
    Respond,
    /// Only prefill the prompt and keep the KV cache for a decode server.
    Prefill,
    /// Fetch the KV cache and stream the response.
    Decode(CacheSource),
}

/// One attempt to run a caller's request at a server.
#[derive(Debug, Clone)]
pub struct AttemptSpec {
    /// The intended server. Any other server that has its address must reject the request.
    pub server: ServerKey,
    /// Time left of the caller's and the route's timeout.
    pub time_left: Duration,
    pub purpose: AttemptPurpose,
    /// The last event that the caller has received, when a stream resumes at another server.
    pub resume_after: Option<u64>,
}
