//! Prefill on an engine stand-in: computes prompts in chunks, one chunk at a time and urgent
//! prompts first, then exports their KV caches for decode servers to fetch.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use umberglade_wire::engine::EngineRole;
use umberglade_wire::engine::PrefillOrder;
use umberglade_wire::engine::PrefillReply;
use umberglade_wire::reply;
use umberglade_wire::reply::ReplyBody;

use super::EngineShared;
use super::EngineStandin;
use super::STALL_DURATION;
use super::state::KvExport;
use super::state::PrefillTicket;

/// An entry of the prefill queue, removed when dropped, so that a caller that disconnects during
/// its prefill does not block the prompts behind it.
struct QueueEntry {
    shared: Arc<EngineShared>,
    ticket: PrefillTicket,
    /// The number of prompt tokens that are not computed yet.
    remaining: u32,
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        let mut state = self.shared.state.lock().expect("engine state lock");
        state.prefill_queue.remove(&self.ticket);
        state.queued_tokens -= u64::from(self.remaining);
        drop(state);
        self.shared.prefill_queue_changed.notify(usize::MAX);
    }
}

impl QueueEntry {
    fn is_at_head(&self) -> bool {
        let state = self.shared.state.lock().expect("engine state lock");
        state.prefill_queue.first() == Some(&self.ticket)
    }

    /// Waits until this prompt is at the head of the queue.
    async fn wait_for_turn(&self) {
        while !self.is_at_head() {
            let changed = self.shared.prefill_queue_changed.listen();
            if self.is_at_head() {
                return;
            }
            changed.await;
        }
    }

    /// Counts `tokens` as computed, in this entry and in the statistics.
    fn record_computed(&mut self, tokens: u32) {
        self.remaining -= tokens;
        let mut state = self.shared.state.lock().expect("engine state lock");
        state.queued_tokens -= u64::from(tokens);
        state.stats.computed_tokens += u64::from(tokens);
    }
}

impl EngineStandin {
    pub(super) async fn prefill(&self, order: PrefillOrder) -> Response<ReplyBody> {
        if self.faults().silent_prefill {
            smol::Timer::after(STALL_DURATION).await;
        }
        let admitted = self.admit(&order.request_id, order.fence, EngineRole::Prefill);
        let (_guard, cancelled) = match admitted {
            Ok(admitted) => admitted,
            Err(rejection) => return rejection,
        };
        let cached_tokens = self.cached_prefix(&order);
        let computed_tokens = order.prompt_tokens - cached_tokens;
        if let Err(rejection) = self.compute(&order, computed_tokens, &cancelled).await {
            return rejection;
        }
        let reply = self.export(&order, computed_tokens, cached_tokens);
        reply::json(StatusCode::OK, &reply)
    }

    /// Computes `tokens` of the prompt in chunks. When the request is cancelled or past its
    /// deadline, counts the computed tokens as wasted and returns the rejection.
    async fn compute(
        &self,
        order: &PrefillOrder,
        tokens: u32,
        cancelled: &AtomicBool,
    ) -> Result<(), Response<ReplyBody>> {
        let deadline = Instant::now() + Duration::from_millis(order.deadline_ms);
        let mut entry = self.enqueue(order, tokens);
        while entry.remaining > 0 {
            entry.wait_for_turn().await;
            if cancelled.load(Ordering::Acquire) || Instant::now() >= deadline {
                let done = tokens - entry.remaining;
                self.shared.state.lock().expect("engine state lock").stats.wasted_tokens +=
                    u64::from(done);
                return Err(reply::rejection(
                    StatusCode::GONE,
                    "cancelled",
                    "prefill cancelled or past its deadline",
                    None,
                ));
            }
            let chunk = entry.remaining.min(self.shared.config.prefill_chunk_tokens);
            smol::Timer::after(self.shared.config.prefill_per_token * chunk).await;
            entry.record_computed(chunk);
        }
        Ok(())
    }

    fn enqueue(&self, order: &PrefillOrder, tokens: u32) -> QueueEntry {
        let mut state = self.shared.state.lock().expect("engine state lock");
        state.next_ticket += 1;
        let ticket = (order.priority, state.next_ticket);
        state.prefill_queue.insert(ticket);
        state.queued_tokens += u64::from(tokens);
        if order.attempt > 0 {
            state.stats.repeated_tokens += u64::from(tokens);
        }
        drop(state);
        self.shared.prefill_queue_changed.notify(usize::MAX);
        QueueEntry { shared: Arc::clone(&self.shared), ticket, remaining: tokens }
    }

    fn cached_prefix(&self, order: &PrefillOrder) -> u32 {
        if order.prefix_hash == 0 {
            return 0;
        }
        let mut state = self.shared.state.lock().expect("engine state lock");
        let cached = state.cache.lookup(order.prefix_hash, Instant::now());
        let cached = cached.min(order.prompt_tokens);
        let missing = order.prefix_tokens.saturating_sub(cached);
        state.stats.prefix_tokens += u64::from(missing);
        cached
    }

    fn export(
        &self,
        order: &PrefillOrder,
        computed_tokens: u32,
        cached_tokens: u32,
    ) -> PrefillReply {
        let now = Instant::now();
        let mut state = self.shared.state.lock().expect("engine state lock");
        if order.prefix_hash != 0 {
            state.cache.insert(order.prefix_hash, order.prefix_tokens, now);
        }
        state.next_handle += 1;
        let kv_handle = state.next_handle;
        let kv_bytes = u64::from(order.prompt_tokens) * self.shared.config.kv_bytes_per_token;
        let export = KvExport {
            request_id: order.request_id.clone(),
            computed_tokens,
            bytes: kv_bytes,
            expires_at: now + Duration::from_millis(order.keep_ms),
        };
        state.exports.insert(kv_handle, export);
        state.stats.prefills_done += 1;
        PrefillReply {
            request_id: order.request_id.clone(),
            kv_handle,
            computed_tokens,
            cached_tokens,
            kv_bytes,
        }
    }

    /// Sends an exported KV cache over the only link of the server, one transfer at a time. An
    /// export can be fetched once.
    pub(super) async fn fetch_kv(&self, handle: &str) -> Response<ReplyBody> {
        if self.faults().stall_kv {
            smol::Timer::after(STALL_DURATION).await;
        }
        let export = {
            let mut state = self.shared.state.lock().expect("engine state lock");
            state.evict_expired_exports(Instant::now());
            handle.parse().ok().and_then(|handle| state.exports.remove(&handle))
        };
        let Some(export) = export else {
            return reply::rejection(
                StatusCode::GONE,
                "evicted",
                "no such KV cache (evicted or fetched)",
                None,
            );
        };
        let rate = self.shared.config.link_bytes_per_second.max(1);
        let _link = self.shared.link.lock().await;
        smol::Timer::after(Duration::from_secs_f64(export.bytes as f64 / rate as f64)).await;
        reply::full(
            StatusCode::OK,
            "application/octet-stream",
            Bytes::from(vec![0u8; export.bytes as usize]),
        )
    }
}
