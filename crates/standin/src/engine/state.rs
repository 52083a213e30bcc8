//! What an engine stand-in holds: requests, exported KV caches, the prefix
//! cache, and what it has become by orders.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Instant;

use umberglade_wire::engine::EngineFaults;
use umberglade_wire::engine::EngineRole;
use umberglade_wire::engine::EngineStats;
use umberglade_wire::engine::Priority;
use umberglade_wire::ids::Fence;
use umberglade_wire::ids::KvHandle;
use umberglade_wire::ids::ModelName;
use umberglade_wire::ids::RequestId;

use super::EngineConfig;
use super::prefix_cache::PrefixCache;

/// A request that holds engine memory.
#[derive(Debug, Clone)]
pub struct ActiveRequest {
    /// Set by a cancel order; the worker stops at its next step.
    pub cancelled: Arc<AtomicBool>,
}

/// A computed KV cache waiting to be fetched by a decode server.
#[derive(Debug, Clone)]
pub struct KvExport {
    pub request_id: RequestId,
    pub computed_tokens: u32,
    pub bytes: u64,
    /// After this the export is evicted and its prefill is wasted.
    pub expires: Instant,
}

/// A place in the prefill queue: urgent first, then in order of arrival.
pub type PrefillTicket = (Priority, u64);

/// Everything behind the engine's one lock.
#[derive(Debug)]
pub struct EngineState {
    /// Invariant: a request is here exactly while a worker runs for it.
    pub active_requests: HashMap<RequestId, ActiveRequest>,
    pub exports: HashMap<KvHandle, KvExport>,
    pub cache: PrefixCache,
    /// Prompts being computed or waiting; the first computes.
    pub prefill_queue: BTreeSet<PrefillTicket>,
    pub next_ticket: u64,
    /// Prompt tokens admitted and not yet computed.
    pub queued_tokens: u64,
    pub next_handle: KvHandle,
    /// The highest fencing number seen on requests; only grows.
    pub highest_fence: Fence,
    /// The highest fencing number seen on orders; only grows.
    pub highest_order_fence: Fence,
    pub role: EngineRole,
    pub model: ModelName,
    pub version: u32,
    pub adapters: Vec<String>,
    /// An order is being carried out: new work is refused meanwhile.
    pub busy: bool,
    /// A planned stop has begun: new work is refused for good.
    pub leaving: bool,
    /// Orders accepted since the start.
    pub order_sequence: u64,
    pub faults: EngineFaults,
    pub stats: EngineStats,
}

impl EngineState {
    /// The state of an engine that has just started with `config`.
    pub fn new(config: &EngineConfig) -> Self {
        EngineState {
            active_requests: HashMap::new(),
            exports: HashMap::new(),
            cache: PrefixCache::new(
                config.prefix_ttl,
                config.prefix_capacity_tokens,
                config.event_lag,
            ),
            prefill_queue: BTreeSet::new(),
            next_ticket: 0,
            queued_tokens: 0,
            next_handle: 0,
            highest_fence: 0,
            highest_order_fence: 0,
            role: config.role,
            model: config.model.clone(),
            version: 1,
            adapters: Vec::new(),
            busy: false,
            leaving: false,
            order_sequence: 0,
            faults: EngineFaults::default(),
            stats: EngineStats::default(),
        }
    }

    /// Evicts expired exports, counting their prefill as wasted.
    pub fn evict_expired_exports(&mut self, now: Instant) {
        let expired: Vec<KvHandle> = self
            .exports
            .iter()
            .filter(|(_, export)| export.expires <= now)
            .map(|(handle, _)| *handle)
            .collect();
        for handle in expired {
            if let Some(export) = self.exports.remove(&handle) {
                self.stats.wasted_tokens += u64::from(export.computed_tokens);
            }
        }
    }

    /// The figures of [`EngineStats`] as they are now.
    pub fn snapshot(&self) -> EngineStats {
        let mut stats = self.stats.clone();
        stats.held_requests = self.active_requests.len() as u32;
        stats.held_exports = self.exports.len() as u32;
        stats
    }
}
