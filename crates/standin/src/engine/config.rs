//! Settings of an engine stand-in.

use std::time::Duration;

use umberglade_wire::engine::EngineRole;
use umberglade_wire::ids::ModelName;
use umberglade_wire::ids::ServerId;

/// Requests a decode server's memory holds at once ("about twenty").
pub const DEFAULT_SLOTS: u32 = 20;

/// How an engine stand-in behaves.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    pub server: ServerId,
    pub role: EngineRole,
    pub model: ModelName,
    /// Requests held at once; more are refused with 503.
    pub slots: u32,
    /// Prefill time per computed prompt token.
    pub prefill_per_token: Duration,
    /// Time between generated tokens.
    pub decode_per_token: Duration,
    /// How long a computed prefix stays in the prefix cache ("under a second").
    pub prefix_keep: Duration,
    /// Bytes of KV cache per prompt token (scaled down for loopback).
    pub kv_bytes_per_token: u64,
    /// Rate of the link KV caches are fetched over, bytes a second.
    pub link_bytes_per_second: u64,
    /// How old a load report may be.
    pub load_lag: Duration,
    /// Whether orders with an old fencing number are refused (409) or
    /// obeyed anyway, as some deployments' engines do.
    pub checks_fence: bool,
}

impl EngineConfig {
    /// Defaults for a server `server` of `role` serving `model`.
    pub fn new(server: impl Into<ServerId>, role: EngineRole, model: impl Into<ModelName>) -> Self {
        EngineConfig {
            server: server.into(),
            role,
            model: model.into(),
            slots: DEFAULT_SLOTS,
            prefill_per_token: Duration::from_micros(20),
            decode_per_token: Duration::from_millis(8),
            prefix_keep: Duration::from_millis(800),
            kv_bytes_per_token: 16,
            link_bytes_per_second: 200_000_000,
            load_lag: Duration::from_millis(500),
            checks_fence: true,
        }
    }
}
