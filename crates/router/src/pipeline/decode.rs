//! The decode stage: hands the KV cache to a decode server and starts its token stream.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use http::Response;
use umberglade_wire::WireError;
use umberglade_wire::client::HttpClient;
use umberglade_wire::client_connection::ResponseBody;
use umberglade_wire::engine::DecodeOrder;
use umberglade_wire::engine::EngineRole;
use umberglade_wire::engine::Priority;
use umberglade_wire::lines::LineReader;

use super::RunFailure;
use super::claim::CapacityNotifier;
use super::claim::ClaimedServer;
use super::prefill::KvExport;
use super::run::RequestRun;
use super::run::record_load;
use crate::admission::PlacementMode;
use crate::control::InFlightGuard;
use crate::control::ServerPool;
use crate::control::ServerSlot;
use crate::events;
use crate::front::RETRY_AFTER_S;
use crate::placement::Placement;

/// Timeout for the head of a decode response, which is sent after the KV cache was fetched.
const DECODE_START_TIMEOUT: Duration = Duration::from_secs(3);
/// Decode servers tried for one export without waiting for capacity.
const MAX_DECODE_ATTEMPTS: usize = 3;
/// An export with less time left than this is not offered to another server.
const EXPORT_MARGIN: Duration = Duration::from_millis(50);
/// The status with which a decode server reports that it could not fetch the KV cache.
const KV_FETCH_FAILED: u16 = 502;
const STEP: &str = "decode";

/// A started decode stream, with its in-flight count.
#[derive(Debug)]
pub(crate) struct DecodeStream {
    pub reader: LineReader,
    pub slot: Arc<ServerSlot>,
    _guard: InFlightGuard,
    _notifier: CapacityNotifier,
}

impl DecodeStream {
    /// Returns the next line, or why none will come.
    pub async fn next_line(&mut self) -> Result<Bytes, String> {
        let server = &self.slot.entry.server;
        match self.reader.next_line().await {
            Ok(Some(line)) => Ok(line),
            Ok(None) => Err(format!("the stream from {server} ended early")),
            Err(error) => Err(format!("the stream from {server} broke: {error}")),
        }
    }
}

impl<P: Placement> RequestRun<P> {
    /// Hands `export` to the claimed decode server, or to another. A full server rejects before it
    /// fetches the KV cache, so the finished prefill stays usable and is offered to others until
    /// the prefill server discards it.
    pub async fn decode(
        &mut self,
        claimed: ClaimedServer,
        export: KvExport,
        resume_from: u32,
    ) -> Result<DecodeStream, RunFailure> {
        let mut claimed = claimed;
        let mut tried = 1;
        loop {
            let failure = match self.start_decode(claimed, &export, resume_from).await {
                Ok(stream) => return Ok(stream),
                Err(failure) => failure,
            };
            let is_full = matches!(failure, RunFailure::Rejected { status: 429 | 503, .. });
            let time_left = export.expires_at.saturating_duration_since(Instant::now());
            if !is_full || time_left < EXPORT_MARGIN {
                return Err(failure);
            }
            claimed = match self.place_next_decode(&export, tried, time_left - EXPORT_MARGIN).await
            {
                Some(next) => next,
                None => return Err(failure),
            };
            tried += 1;
        }
    }

    /// Claims another decode server for `export`: at once, or, after [`MAX_DECODE_ATTEMPTS`]
    /// servers or when none has capacity, as soon as one has.
    async fn place_next_decode(
        &mut self,
        export: &KvExport,
        tried: usize,
        max_wait: Duration,
    ) -> Option<ClaimedServer> {
        let pool = self.decode_pool();
        if tried < MAX_DECODE_ATTEMPTS
            && let Some(claimed) = self.place_decode(&pool, &export.slot, PlacementMode::Normal)
        {
            return Some(claimed);
        }
        if !self.daemon.shared.placement.waits_for_capacity() {
            return None;
        }
        self.clear_avoided();
        smol::Timer::after(EXPORT_MARGIN).await;
        // Goes ahead of all requests without a finished prefill and may use the reserve, so that
        // a computed prefill is not discarded for lack of a decode slot.
        let place =
            |_| self.place_decode(&self.decode_pool(), &export.slot, PlacementMode::UseReserve);
        self.queue().acquire(Priority::Urgent, max_wait, place).await.ok()
    }

    fn decode_pool(&self) -> ServerPool {
        let snapshot = self.daemon.shared.control.current();
        snapshot.candidates(EngineRole::Decode, &self.admitted.model)
    }

    async fn start_decode(
        &mut self,
        claimed: ClaimedServer,
        export: &KvExport,
        resume_from: u32,
    ) -> Result<DecodeStream, RunFailure> {
        let ClaimedServer { slot, guard, choice } = claimed;
        tracing::info!(
            event = events::DECODE_PLACED,
            request_id = %self.admitted.request_id,
            server = %slot.entry.server,
            domain = %slot.entry.domain,
            attempt = self.attempt,
            scores = ?choice.scores,
            kv_bytes = export.reply.kv_bytes,
            "decode placed"
        );
        let order = self.decode_order(export, resume_from);
        self.cancel.add(&slot.entry.addr);
        match send_decode(&slot, &order).await {
            Ok(response) => {
                slot.record_success();
                self.cancel.remove(&export.slot.entry.addr);
                let reader = LineReader::new(response.into_body());
                let notifier = CapacityNotifier(self.queue());
                Ok(DecodeStream { reader, slot, _guard: guard, _notifier: notifier })
            }
            // The decode server is healthy, but it could not fetch the export from the prefill
            // server. Recording the failure on the decode server would eject one decode server
            // after another for a single stalled link.
            Err(error) if error.status() == Some(KV_FETCH_FAILED) => {
                self.cancel.remove(&slot.entry.addr);
                self.record_failure(&export.slot);
                let server = export.slot.entry.server.clone();
                tracing::warn!(event = events::SERVER_STEP_FAILED, request_id = %self.admitted.request_id, %server, %error, "KV cache transfer failed");
                let retry_after_s = RETRY_AFTER_S;
                Err(RunFailure::Rejected {
                    step: STEP,
                    server,
                    status: KV_FETCH_FAILED,
                    retry_after_s,
                })
            }
            Err(error) => Err(self.handle_step_error(STEP, &slot, error).await),
        }
    }

    fn decode_order(&self, export: &KvExport, resume_from: u32) -> DecodeOrder {
        let admitted = &self.admitted;
        DecodeOrder {
            request_id: admitted.request_id.clone(),
            organisation: admitted.organisation.clone(),
            model: admitted.model.clone(),
            kv_source: export.slot.entry.addr.clone(),
            kv_handle: export.reply.kv_handle,
            prompt_tokens: admitted.shape.tokens + resume_from,
            max_tokens: admitted.max_tokens,
            answer_seed: admitted.shape.digest,
            resume_from,
            priority: admitted.priority,
            fence: self.fence(),
            deadline_ms: self.remaining().as_millis() as u64,
        }
    }
}

async fn send_decode(
    slot: &ServerSlot,
    order: &DecodeOrder,
) -> Result<Response<ResponseBody>, WireError> {
    let client = HttpClient::new(slot.entry.addr.clone(), DECODE_START_TIMEOUT);
    let body = Bytes::from(serde_json::to_vec(order).expect("serialising an order"));
    let response = client.send(STEP, Method::POST, "/v1/decode", Some(body)).await?;
    record_load(slot, &response);
    if response.status().is_success() {
        return Ok(response);
    }
    match client.read_full_body(STEP, response).await {
        Err(error) => Err(error),
        Ok(_) => unreachable!("read_full_body fails for every status outside 2xx"),
    }
}
