//! Settings of an engine stand-in.

use std::time::Duration;

use umberglade_wire::engine::EngineRole;
use umberglade_wire::ids::DomainName;
use umberglade_wire::ids::ModelName;
use umberglade_wire::ids::RegionName;
use umberglade_wire::ids::ServerId;

/// The number of requests that fit in the memory of a decode server at once ("about twenty").
pub const DEFAULT_SLOTS: u32 = 20;

/// The settings of one engine stand-in.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    pub server: ServerId,
    /// The initial role; an order may change it.
    pub role: EngineRole,
    pub model: ModelName,
    pub domain: DomainName,
    pub region: RegionName,
    /// The `host:port` of the platform in whose instance list it registers, if any.
    pub register_with: Option<String>,
    /// The number of requests admitted at once; more are rejected with 503.
    pub slots: u32,
    /// The prefill time per computed prompt token.
    pub prefill_per_token: Duration,
    /// The number of prompt tokens in a prefill chunk. A more urgent prompt can start only between
    /// chunks.
    pub prefill_chunk_tokens: u32,
    /// The time of a decode step with a single request.
    pub decode_per_token: Duration,
    /// The time that each further request in the batch adds to a decode step.
    pub decode_per_batched_request: Duration,
    /// How long a prefix stays in the prefix cache after its last use ("under a second").
    pub prefix_ttl: Duration,
    /// The capacity of the prefix cache in tokens; the least recently used prefix is evicted first.
    pub prefix_capacity_tokens: u64,
    /// The bytes of KV cache per prompt token, scaled down for the loopback interface.
    pub kv_bytes_per_token: u64,
    /// The bandwidth of the link for KV cache transfers, in bytes per second.
    pub link_bytes_per_second: u64,
    /// The maximum age of a load report.
    pub load_lag: Duration,
    /// The delay with which cache events are published.
    pub event_lag: Duration,
    /// How long loading the weights of a model takes (the weight store is rate-limited).
    pub weight_load: Duration,
    /// How long a change of role takes when no request is in flight any more.
    pub role_switch: Duration,
    /// Whether orders with an old fencing token are rejected with 409. When false they are
    /// executed, as by the engines of some deployments.
    pub checks_fence: bool,
}

impl EngineConfig {
    /// Returns the default settings for the server `server` that serves `model` in `role`.
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
