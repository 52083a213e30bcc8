//! One request end to end: prefill, hand-off of the KV cache, decode, and
//! the answer streamed or whole.

mod cancel;
mod plain;
mod relay;

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use http::Method;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use umberglade_wire::WireError;
use umberglade_wire::client::HttpClient;
use umberglade_wire::engine::DecodeOrder;
use umberglade_wire::engine::EngineRole;
use umberglade_wire::engine::PrefillOrder;
use umberglade_wire::engine::PrefillReply;
use umberglade_wire::engine::Priority;
use umberglade_wire::ids::ModelName;
use umberglade_wire::ids::OrganisationId;
use umberglade_wire::ids::RequestId;
use umberglade_wire::lines::LineReader;
use umberglade_wire::reply::ReplyBody;

pub use self::cancel::CancelOnDrop;
use crate::control::ControlSnapshot;
use crate::control::InFlightGuard;
use crate::control::ServerSlot;
use crate::daemon::AdmissionGuard;
use crate::daemon::Daemon;
use crate::daemon::Kind;
use crate::daemon::RETRY_AFTER_S;
use crate::daemon::refuse;
use crate::events;
use crate::placement::Placement;
use crate::preset::Preset;
use crate::prompt::PromptShape;

/// Decode servers tried for one request before it is refused. A refusal
/// by a full decode server leaves the KV export in place, so a second try
/// wastes no prefill.
const DECODE_ATTEMPTS: usize = 3;
/// Shortest bound on a prefill call, whatever the class's target.
const MIN_PREFILL_TIMEOUT: Duration = Duration::from_secs(2);
/// Bound on a decode server's answer head (it fetches the KV cache first).
const DECODE_START_TIMEOUT: Duration = Duration::from_secs(10);

/// A request that passed admission, with what is in force for it.
#[derive(Debug, Clone)]
pub struct Admitted {
    pub request_id: RequestId,
    pub organisation: OrganisationId,
    pub model: ModelName,
    pub max_tokens: u32,
    pub stream: bool,
    pub priority: Priority,
    pub shape: PromptShape,
    pub kind: Kind,
    /// The snapshot admission saw; the whole request acts under it, so its
    /// fence is the same on every order.
    pub snapshot: Arc<ControlSnapshot>,
    pub preset: Arc<Preset>,
}

/// A decode stream that has begun, with what must live as long as it.
pub(crate) struct DecodeStream<P> {
    pub reader: LineReader,
    pub decode_server: String,
    pub cancel: CancelOnDrop,
    pub _decode_guard: InFlightGuard,
    pub _admission: AdmissionGuard<P>,
}

impl<P: Placement> Daemon<P> {
    /// Serves `admitted` to its end: a whole answer, or a refusal saying
    /// whether the work ran and when to come back.
    pub(crate) async fn serve(
        &self,
        admitted: Admitted,
        admission: AdmissionGuard<P>,
    ) -> Response<ReplyBody> {
        let mut cancel = CancelOnDrop::new(admitted.request_id.clone());
        let prefill = match self.prefill(&admitted, &mut cancel).await {
            Ok(prefill) => prefill,
            Err(refusal) => return refusal,
        };
        let started = match self.start_decode(&admitted, &prefill, &mut cancel).await {
            Ok(started) => started,
            Err(refusal) => return refusal,
        };
        let (body, decode_server, decode_guard) = started;
        let stream = DecodeStream {
            reader: LineReader::new(body),
            decode_server,
            cancel,
            _decode_guard: decode_guard,
            _admission: admission,
        };
        if admitted.stream {
            relay::stream_answer(admitted, stream)
        } else {
            relay::whole_answer(admitted, stream).await
        }
    }

    async fn prefill(
        &self,
        admitted: &Admitted,
        cancel: &mut CancelOnDrop,
    ) -> Result<(PrefillReply, String), Response<ReplyBody>> {
        let candidates = admitted.snapshot.candidates(EngineRole::Prefill, &admitted.model);
        let Some(choice) = self.shared.placement.prefill(&candidates, &admitted.shape) else {
            return Err(no_server(admitted, EngineRole::Prefill));
        };
        let slot = Arc::clone(&candidates[choice.index]);
        tracing::info!(
            event = events::PREFILL_PLACED,
            request_id = %admitted.request_id,
            server = %slot.entry.server,
            domain = %slot.entry.domain,
            scores = ?choice.scores,
            "prefill placed"
        );
        let order = PrefillOrder {
            request_id: admitted.request_id.clone(),
            organisation: admitted.organisation.clone(),
            model: admitted.model.clone(),
            prompt_tokens: admitted.shape.tokens,
            prefix_hash: admitted.shape.prefix_hash,
            prefix_tokens: admitted.shape.prefix_tokens,
            priority: admitted.priority,
            fence: admitted.snapshot.fence,
            keep_ms: admitted.preset.prefill_keep_ms,
        };
        let target = Duration::from_millis(admitted.preset.targets(admitted.priority).ttft_ms);
        let client =
            HttpClient::new(slot.entry.addr.clone(), (target * 2).max(MIN_PREFILL_TIMEOUT));
        let _guard = slot.begin();
        cancel.add(&slot.entry.addr);
        match client
            .call::<_, PrefillReply>("prefill", Method::POST, "/v1/prefill", Some(&order))
            .await
        {
            Ok(reply) => Ok((reply, slot.entry.addr.clone())),
            Err(error) => Err(self.step_failed(admitted, &slot, error, cancel)),
        }
    }

    async fn start_decode(
        &self,
        admitted: &Admitted,
        prefill: &(PrefillReply, String),
        cancel: &mut CancelOnDrop,
    ) -> Result<(Incoming, String, InFlightGuard), Response<ReplyBody>> {
        let (reply, prefill_addr) = prefill;
        let mut candidates = admitted.snapshot.candidates(EngineRole::Decode, &admitted.model);
        for _attempt in 0..DECODE_ATTEMPTS {
            let Some(choice) = self.shared.placement.decode(&candidates, &admitted.shape) else {
                break;
            };
            let slot = candidates.remove(choice.index);
            tracing::info!(
                event = events::DECODE_PLACED,
                request_id = %admitted.request_id,
                server = %slot.entry.server,
                domain = %slot.entry.domain,
                scores = ?choice.scores,
                kv_bytes = reply.kv_bytes,
                "decode placed"
            );
            let order = DecodeOrder {
                request_id: admitted.request_id.clone(),
                organisation: admitted.organisation.clone(),
                model: admitted.model.clone(),
                kv_source: prefill_addr.clone(),
                kv_handle: reply.kv_handle,
                prompt_tokens: admitted.shape.tokens,
                max_tokens: admitted.max_tokens,
                answer_seed: admitted.shape.digest,
                priority: admitted.priority,
                fence: admitted.snapshot.fence,
            };
            let guard = slot.begin();
            let client = HttpClient::new(slot.entry.addr.clone(), DECODE_START_TIMEOUT);
            let body =
                Some(bytes::Bytes::from(serde_json::to_vec(&order).expect("serialising an order")));
            cancel.add(&slot.entry.addr);
            let response = client.send("decode", Method::POST, "/v1/decode", body).await;
            match response {
                Ok(response) if response.status().is_success() => {
                    return Ok((response.into_body(), slot.entry.addr.clone(), guard));
                }
                Ok(response) => {
                    let error = client.read_whole("decode", response).await.err();
                    cancel.remove(&slot.entry.addr);
                    tracing::warn!(event = events::STEP_FAILED, request_id = %admitted.request_id, server = %slot.entry.server, error = ?error, "decode refused; trying another");
                }
                Err(error) => {
                    tracing::warn!(event = events::STEP_FAILED, request_id = %admitted.request_id, server = %slot.entry.server, %error, "decode failed; trying another");
                }
            }
        }
        Err(refuse(
            StatusCode::SERVICE_UNAVAILABLE,
            "no_decode_capacity",
            "no decode server could take the request; it was not run",
            Some(RETRY_AFTER_S),
        ))
    }

    /// The refusal for a failed step. A peer that answered with a refusal
    /// did not run the work; one that never answered may have, so it is
    /// cancelled (the guard fires when the request's future ends) and the
    /// caller is told the work was stopped.
    fn step_failed(
        &self,
        admitted: &Admitted,
        slot: &ServerSlot,
        error: WireError,
        cancel: &mut CancelOnDrop,
    ) -> Response<ReplyBody> {
        tracing::warn!(event = events::STEP_FAILED, request_id = %admitted.request_id, server = %slot.entry.server, %error, "step failed");
        if let WireError::Status { retry_after_s, .. } = &error {
            cancel.remove(&slot.entry.addr);
            let retry = retry_after_s.unwrap_or(RETRY_AFTER_S);
            return refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                "server_refused",
                "a backend server refused the request; it was not run",
                Some(retry),
            );
        }
        refuse(
            StatusCode::SERVICE_UNAVAILABLE,
            "server_unanswered",
            "a backend server did not answer; the request was cancelled there and gives no answer",
            Some(RETRY_AFTER_S),
        )
    }
}

fn no_server(admitted: &Admitted, role: EngineRole) -> Response<ReplyBody> {
    let message = format!("no live {role} server for model `{}`; it was not run", admitted.model);
    refuse(StatusCode::SERVICE_UNAVAILABLE, "no_server", &message, Some(RETRY_AFTER_S))
}

/// Seconds since the Unix epoch, for the `created` field of answers.
pub(crate) fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |since| since.as_secs())
}
