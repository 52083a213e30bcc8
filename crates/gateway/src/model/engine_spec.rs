//! What the configuration says of a service's model engines.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// The sizes of one service's engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests one engine generates for at a time.
    pub slots: u32,
    /// Tokens of KV cache one engine holds.
    pub kv_tokens: u32,
    /// How long a prefill server keeps a finished prompt's KV cache.
    pub handle_ttl: Duration,
    /// Tokens that one event of a stream holds.
    pub tokens_per_event: u32,
}
