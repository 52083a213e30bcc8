//! The prefill stage: prefills the prompt on one server, which exports its KV cache.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use snafu::ResultExt;
use umberglade_wire::WireError;
use umberglade_wire::client::HttpClient;
use umberglade_wire::engine::PrefillOrder;
use umberglade_wire::engine::PrefillReply;
use umberglade_wire::error::DecodeSnafu;

use super::RunFailure;
use super::claim::ClaimedServer;
use super::run::RequestRun;
use super::run::record_load;
use crate::control::ServerSlot;
use crate::events;
use crate::front::RETRY_AFTER_S;
use crate::placement::Placement;

/// The time a prefill may take in addition to its scaled prediction before its connection is
/// considered dead.
const PREFILL_SLACK: Duration = Duration::from_millis(1500);
/// The multiple of its predicted time that a prefill may take.
const PREDICTION_FACTOR: u32 = 3;
/// The error type with which an engine rejects an outdated fencing token.
const STALE_FENCE: &str = "\"stale_fence\"";
const STEP: &str = "prefill";

/// A finished prefill: the server that holds its KV cache, and when the server discards it.
#[derive(Debug)]
pub(crate) struct KvExport {
    pub reply: PrefillReply,
    pub slot: std::sync::Arc<ServerSlot>,
    pub expires_at: Instant,
}

impl<P: Placement> RequestRun<P> {
    /// Prefills the prompt, with the first `resume_from` tokens of its response, on the claimed
    /// server.
    pub async fn prefill(
        &mut self,
        claimed: ClaimedServer,
        resume_from: u32,
    ) -> Result<KvExport, RunFailure> {
        let ClaimedServer { slot, guard, choice } = claimed;
        tracing::info!(
            event = events::PREFILL_PLACED,
            request_id = %self.admitted.request_id,
            server = %slot.entry.server,
            domain = %slot.entry.domain,
            attempt = self.attempt,
            scores = ?choice.scores,
            "prefill placed"
        );
        let order = self.prefill_order(resume_from);
        let queued = slot.load().queued_tokens;
        let predicted = self.daemon.shared.prefill_times.predict(queued);
        let timeout = (predicted * PREDICTION_FACTOR + PREFILL_SLACK).min(self.remaining());
        self.cancel.add(&slot.entry.addr);
        let started_at = Instant::now();
        let sent = send_prefill(&slot, &order, timeout).await;
        drop(guard);
        self.queue().notify_capacity();
        match sent {
            Ok(reply) => {
                let elapsed = started_at.elapsed();
                self.daemon.shared.prefill_times.observe(queued, elapsed);
                metrics::histogram!("umberglade_prefill_seconds").record(elapsed.as_secs_f64());
                slot.record_success();
                let retention = Duration::from_millis(self.admitted.preset.prefill_keep_ms);
                Ok(KvExport { reply, slot, expires_at: Instant::now() + retention })
            }
            Err(error) => Err(self.handle_step_error(STEP, &slot, error).await),
        }
    }

    fn prefill_order(&self, resume_from: u32) -> PrefillOrder {
        let admitted = &self.admitted;
        PrefillOrder {
            request_id: admitted.request_id.clone(),
            organisation: admitted.organisation.clone(),
            model: admitted.model.clone(),
            prompt_tokens: admitted.shape.tokens + resume_from,
            prefix_hash: admitted.shape.prefix_hash,
            prefix_tokens: admitted.shape.prefix_tokens,
            priority: admitted.priority,
            fence: self.fence(),
            keep_ms: admitted.preset.prefill_keep_ms,
            deadline_ms: self.remaining().as_millis() as u64,
            attempt: self.attempt,
        }
    }

    /// Returns the fencing token for orders sent now.
    pub fn fence(&self) -> u64 {
        self.daemon.shared.control.current().fence
    }

    /// Records `error` of `step` on `slot` and returns the failure. A server that rejected the
    /// order holds nothing; one that did not respond gets a cancel order before any other attempt.
    pub async fn handle_step_error(
        &mut self,
        step: &'static str,
        slot: &ServerSlot,
        error: WireError,
    ) -> RunFailure {
        let server = slot.entry.server.clone();
        tracing::warn!(event = events::SERVER_STEP_FAILED, request_id = %self.admitted.request_id, %server, %error, "stage failed");
        if let WireError::Status { status, retry_after_s, body, .. } = error {
            self.cancel.remove(&slot.entry.addr);
            if status == 409 && body.contains(STALE_FENCE) {
                let fence = self.fence();
                self.daemon.record_stale_fence(fence);
                return RunFailure::FencedOff { fence };
            }
            match status {
                429 | 503 => self.avoid_server(slot),
                _ => self.record_failure(slot),
            }
            let retry_after_s = retry_after_s.unwrap_or(RETRY_AFTER_S);
            return RunFailure::Rejected { step, server, status, retry_after_s };
        }
        self.record_failure(slot);
        let stopped = error.is_unsent() || self.cancel.cancel_and_confirm(&slot.entry.addr).await;
        RunFailure::NoResponse { step, server, stopped }
    }
}

async fn send_prefill(
    slot: &ServerSlot,
    order: &PrefillOrder,
    timeout: Duration,
) -> Result<PrefillReply, WireError> {
    let client = HttpClient::new(slot.entry.addr.clone(), timeout);
    let body = Bytes::from(serde_json::to_vec(order).expect("serialising an order"));
    let response = client.send(STEP, Method::POST, "/v1/prefill", Some(body)).await?;
    record_load(slot, &response);
    let bytes = client.read_full_body(STEP, response).await?;
    serde_json::from_slice(&bytes).context(DecodeSnafu { step: STEP, peer: client.peer.as_str() })
}
