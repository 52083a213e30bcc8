//! The configuration of a service's model engines.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// The sizes of the engines of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Number of requests that one engine generates for at a time.
    pub slots: u32,
    /// Capacity of one engine's KV cache, in tokens.
    pub kv_tokens: u32,
    /// How long a prefill server keeps a finished prompt's KV cache.
    pub handle_ttl: Duration,
    /// Number of tokens in one event of a stream.
    pub tokens_per_event: u32,
}
