//! Settings of an engine stand-in.

use std::time::Duration;

use umberglade_wire::engine::EngineRole;
use umberglade_wire::ids::DomainName;
use umberglade_wire::ids::ModelName;
use umberglade_wire::ids::RegionName;
use umberglade_wire::ids::ServerId;

/// Requests a decode server's memory holds at once ("about twenty").
pub const DEFAULT_SLOTS: u32 = 20;

/// How an engine stand-in behaves.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    pub server: ServerId,
    /// The role it starts in; an order may change it.
    pub role: EngineRole,
    pub model: ModelName,
    pub domain: DomainName,
    pub region: RegionName,
    /// `host:port` of the platform whose instance list it enters, if any.
    pub register_with: Option<String>,
    /// Requests held at once; more are refused with 503.
    pub slots: u32,
    /// Prefill time per computed prompt token.
    pub prefill_per_token: Duration,
    /// Prompt tokens computed before a more urgent prompt may go first.
    pub prefill_chunk_tokens: u32,
    /// Time of a decode step of one request alone.
    pub decode_per_token: Duration,
    /// What each further request in the batch adds to a step.
    pub decode_per_batched_request: Duration,
    /// How long a computed prefix stays in the prefix cache ("under a second").
    pub prefix_ttl: Duration,
    /// Tokens the prefix cache holds; the least recently used yield.
    pub prefix_capacity_tokens: u64,
    /// Bytes of KV cache per prompt token (scaled down for loopback).
    pub kv_bytes_per_token: u64,
    /// Rate of the link KV caches are fetched over, bytes a second.
    pub link_bytes_per_second: u64,
    /// How old a load report may be.
    pub load_lag: Duration,
    /// How late cache events are published.
    pub event_lag: Duration,
    /// How long loading weights takes (the weight store is rate-limited).
    pub weight_load: Duration,
    /// How long a change of role takes once work in hand is done.
    pub role_switch: Duration,
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
            domain: "hall-a".into(),
            region: RegionName::new(),
            register_with: None,
            slots: DEFAULT_SLOTS,
            prefill_per_token: Duration::from_micros(20),
            prefill_chunk_tokens: 512,
            decode_per_token: Duration::from_millis(8),
            decode_per_batched_request: Duration::from_micros(300),
            prefix_ttl: Duration::from_millis(800),
            prefix_capacity_tokens: 32_000,
            kv_bytes_per_token: 16,
            link_bytes_per_second: 200_000_000,
            load_lag: Duration::from_millis(500),
            event_lag: Duration::from_millis(300),
            weight_load: Duration::from_millis(500),
            role_switch: Duration::from_millis(200),
            checks_fence: true,
        }
    }
}
