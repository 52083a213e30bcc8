//! What an engine stand-in holds: requests, exported KV caches and the
//! prefix cache.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Instant;

use umberglade_wire::engine::EngineStats;
use umberglade_wire::ids::Fence;
use umberglade_wire::ids::KvHandle;
use umberglade_wire::ids::RequestId;

/// A request that holds engine memory.
#[derive(Debug, Clone)]
pub struct HeldRequest {
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

/// Everything behind the engine's one lock.
#[derive(Debug, Default)]
pub struct EngineState {
    /// Invariant: a request is here exactly while a worker runs for it.
    pub held: HashMap<RequestId, HeldRequest>,
    pub exports: HashMap<KvHandle, KvExport>,
    /// Prefix hash → when it falls out of the cache.
    pub prefixes: HashMap<u64, Instant>,
    pub next_handle: KvHandle,
    /// The highest fencing number seen; only grows.
    pub highest_fence: Fence,
    pub stats: EngineStats,
}

impl EngineState {
    /// Evicts expired exports and prefixes, counting expired prefill as
    /// wasted.
    pub fn sweep(&mut self, now: Instant) {
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
        self.prefixes.retain(|_, until| *until > now);
    }

    /// The figures of [`EngineStats`] as they are now.
    pub fn snapshot(&self) -> EngineStats {
        let mut stats = self.stats.clone();
        stats.held_requests = self.held.len() as u32;
        stats.held_exports = self.exports.len() as u32;
        stats
    }
}
