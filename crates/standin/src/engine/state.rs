//! The state of an engine stand-in: requests, exported KV caches, the prefix cache, and the role,
//! model and adapters that orders have set.

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

/// An admitted request, which occupies engine memory.
#[derive(Debug, Clone)]
pub struct ActiveRequest {
    /// Set by a cancel order; the worker stops at its next step.
    pub cancelled: Arc<AtomicBool>,
}

/// A computed KV cache that a decode server can fetch.
#[derive(Debug, Clone)]
pub struct KvExport {
    pub request_id: RequestId,
    pub computed_tokens: u32,
    pub bytes: u64,
    /// When the export is evicted if it was not fetched; its prefill then counts as wasted.
    pub expires_at: Instant,
}

/// The position of a prompt in the prefill queue: urgent prompts first, then in order of arrival.
pub type PrefillTicket = (Priority, u64);

/// The state that the engine's `state` lock protects.
#[derive(Debug)]
pub struct EngineState {
    /// Invariant: a request is in the map exactly while a worker runs for it.
    pub active_requests: HashMap<RequestId, ActiveRequest>,
    pub exports: HashMap<KvHandle, KvExport>,
    pub cache: PrefixCache,
    /// The prompts that are being computed or waiting; the first one is being computed.
    pub prefill_queue: BTreeSet<PrefillTicket>,
    pub next_ticket: u64,
    /// The number of prompt tokens admitted and not yet computed.
    pub queued_tokens: u64,
    pub next_handle: KvHandle,
    /// The highest fencing token received in prefill and decode orders; only grows.
    pub highest_fence: Fence,
    /// The highest fencing token of accepted engine orders; only grows.
    pub highest_order_fence: Fence,
    pub role: EngineRole,
    pub model: ModelName,
    pub version: u32,
    pub adapters: Vec<String>,
    /// True while an order is being executed; new work is rejected meanwhile.
    pub busy: bool,
    /// True once a planned stop has started; new work is rejected until the process stops.
    pub leaving: bool,
    /// The number of engine orders accepted since the start.
    pub order_sequence: u64,
    pub faults: EngineFaults,
    pub stats: EngineStats,
}

impl EngineState {
    /// Creates the state of an engine that has just started with `config`.
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

    /// Evicts expired exports and counts their prefill as wasted.
    pub fn evict_expired_exports(&mut self, now: Instant) {
        let expired: Vec<KvHandle> = self
            .exports
            .iter()
            .filter(|(_, export)| export.expires_at <= now)
            .map(|(handle, _)| *handle)
            .collect();
        for handle in expired {
            if let Some(export) = self.exports.remove(&handle) {
                self.stats.wasted_tokens += u64::from(export.computed_tokens);
            }
        }
    }

    /// Returns the statistics with the current numbers of requests and exports.
    pub fn current_stats(&self) -> EngineStats {
        let mut stats = self.stats.clone();
        stats.held_requests = self.active_requests.len() as u32;
        stats.held_exports = self.exports.len() as u32;
        stats
    }
}
