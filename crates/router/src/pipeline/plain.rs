//! Calls to plain services (booking-desk, organisation-desk). Actions run at most once, by means
//! of the idempotency ledger; lookups are retried within the retry budget.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Response;
use http::StatusCode;
use umberglade_wire::WireError;
use umberglade_wire::client::HttpClient;
use umberglade_wire::engine::EngineRole;
use umberglade_wire::engine::Priority;
use umberglade_wire::ids::OrganisationId;
use umberglade_wire::ids::ServerId;
use umberglade_wire::plain::IdempotencyRecord;
use umberglade_wire::plain::PlainCall;
use umberglade_wire::reply;
use umberglade_wire::reply::ReplyBody;

use crate::control::ServerSlot;
use crate::daemon::Daemon;
use crate::events;
use crate::front::RETRY_AFTER_S;
use crate::front::reject;
use crate::front::unavailable;
use crate::idempotency::Claim;
use crate::idempotency::IdempotencyLedger;
use crate::placement::Placement;
use crate::placement::PlacementRequest;
use crate::prompt::text_shape;

/// Timeout of one call that may run only once.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of one lookup attempt. Short because a person on the phone waits for the result.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(400);
/// The most servers tried for one call or lookup.
const MAX_ATTEMPTS: usize = 3;
/// Statuses with which a plain service guarantees that it did not run a call.
const NOT_RUN_STATUSES: [u16; 2] = [429, 503];

/// A call that must not run twice.
pub(crate) struct ServiceCall {
    pub organisation: OrganisationId,
    pub service: String,
    pub idempotency_key: String,
    pub payload: serde_json::Value,
}

/// The outcome of a call at the servers.
enum CallOutcome {
    /// A server responded and may have run the call.
    Responded { status: u16, body: String },
    /// No server ran the call.
    NotRun { message: String, retry_after_s: u64 },
    /// A server may have run the call, but no response arrived.
    Unknown { message: String },
}

impl<P: Placement> Daemon<P> {
    /// Runs `call` at most once, also with retries and concurrent calls.
    pub(crate) async fn call_at_most_once(&self, call: ServiceCall) -> Response<ReplyBody> {
        if self.choose_plain_server(&call.service, &[]).is_none() {
            return no_server_response(&call.service);
        }
        let record_key = IdempotencyLedger::record_key(&call.organisation, &call.idempotency_key);
        let version = match self.shared.ledger.claim(&record_key).await {
            Ok(Claim::Claimed { version }) => version,
            Ok(Claim::Replay { status, body }) => return replay(&record_key, status, body),
            Ok(Claim::InProgress) => {
                let message = "an earlier call with this Idempotency-Key has not finished or its outcome is not known; ask again later with the same key";
                return reject(StatusCode::CONFLICT, "in_progress", message, Some(RETRY_AFTER_S));
            }
            Err(error) => {
                tracing::warn!(event = events::SERVER_STEP_FAILED, %record_key, %error, "idempotency claim failed");
                let message = "the idempotency record could not be written; the call was not run";
                return unavailable("platform_unavailable", message);
            }
        };
        let outcome = self.send_call(call, &record_key).await;
        self.finish_call(&record_key, version, outcome).await
    }

    /// Sends the call to a server, and to another one only when it is certain that the previous one
    /// did not run it.
    async fn send_call(&self, call: ServiceCall, record_key: &str) -> CallOutcome {
        let ServiceCall { organisation, service, idempotency_key, payload } = call;
        let body = PlainCall { organisation, idempotency_key, payload };
        let mut tried: Vec<ServerId> = Vec::new();
        let mut retry_after_s = RETRY_AFTER_S;
        self.shared.budget.deposit();
        while let Some(slot) = self.choose_plain_server(&service, &tried) {
            tracing::info!(event = events::PLAIN_PLACED, service, server = %slot.entry.server, record_key, "plain call placed");
            let _guard = slot.begin(0);
            let client = HttpClient::new(slot.entry.addr.clone(), CALL_TIMEOUT);
            let sent = client
                .call::<_, serde_json::Value>("plain call", Method::POST, "/v1/call", Some(&body))
                .await;
            match sent {
                Ok(value) => {
                    slot.record_success();
                    return CallOutcome::Responded { status: 200, body: value.to_string() };
                }
                Err(WireError::Status { status, body, .. })
                    if !NOT_RUN_STATUSES.contains(&status) =>
                {
                    return CallOutcome::Responded { status, body };
                }
                Err(error) => {
                    tracing::warn!(event = events::SERVER_STEP_FAILED, record_key, %error, "plain call failed");
                    slot.record_failure();
                    let is_rejected = error.status().is_some();
                    if !is_rejected && !error.is_unsent() {
                        return CallOutcome::Unknown { message: error.to_string() };
                    }
                    if let WireError::Status { retry_after_s: Some(seconds), .. } = error {
                        retry_after_s = seconds;
                    }
                }
            }
            tried.push(slot.entry.server.clone());
            if tried.len() >= MAX_ATTEMPTS || !self.shared.budget.try_consume() {
                break;
            }
        }
        let message = format!("no server of `{service}` took the call; it was not run");
        CallOutcome::NotRun { message, retry_after_s }
    }

    async fn finish_call(
        &self,
        record_key: &str,
        version: u64,
        outcome: CallOutcome,
    ) -> Response<ReplyBody> {
        let ledger = &self.shared.ledger;
        match outcome {
            // A response without a not-run guarantee may have run the action (a 500 halfway
            // through), so it is recorded and replayed to retries.
            CallOutcome::Responded { status, body } => {
                let record = IdempotencyRecord::Done { status, body: body.clone() };
                ledger.finish(record_key, version, &record).await;
                json_response(status, body)
            }
            CallOutcome::NotRun { message, retry_after_s } => {
                let record = IdempotencyRecord::NotRun { status: 503, body: message.clone() };
                ledger.finish(record_key, version, &record).await;
                reject(StatusCode::SERVICE_UNAVAILABLE, "not_run", &message, Some(retry_after_s))
            }
            CallOutcome::Unknown { message } => {
                let message = format!(
                    "{message}; the call may have run: do not repeat it under a new key, ask again with the same key"
                );
                reject(
                    StatusCode::GATEWAY_TIMEOUT,
                    "outcome_unknown",
                    &message,
                    Some(RETRY_AFTER_S),
                )
            }
        }
    }

    /// Runs a lookup, which may be retried: other servers are tried when one rejects it, fails or
    /// does not respond in time.
    pub(crate) async fn lookup(&self, service: &str, what: &str) -> Response<ReplyBody> {
        let path = format!("/v1/lookup/{what}");
        let mut tried: Vec<ServerId> = Vec::new();
        self.shared.budget.deposit();
        while let Some(slot) = self.choose_plain_server(service, &tried) {
            tracing::info!(event = events::PLAIN_PLACED, service, server = %slot.entry.server, "lookup placed");
            let _guard = slot.begin(0);
            match send_lookup(&slot, &path).await {
                Ok(body) => {
                    slot.record_success();
                    return reply::full(StatusCode::OK, "application/json", body);
                }
                Err(error) => {
                    tracing::warn!(event = events::SERVER_STEP_FAILED, server = %slot.entry.server, %error, "lookup failed");
                    slot.record_failure();
                }
            }
            tried.push(slot.entry.server.clone());
            if tried.len() >= MAX_ATTEMPTS || !self.shared.budget.try_consume() {
                break;
            }
        }
        if tried.is_empty() {
            return no_server_response(service);
        }
        let message = format!("no server of `{service}` answered the lookup");
        reject(StatusCode::BAD_GATEWAY, "lookup_failed", &message, Some(RETRY_AFTER_S))
    }

    fn choose_plain_server(&self, service: &str, avoid: &[ServerId]) -> Option<Arc<ServerSlot>> {
        let snapshot = self.shared.control.current();
        let preset = snapshot.preset.as_ref()?;
        let pool = snapshot.candidates(EngineRole::Plain, service);
        let shape = text_shape("");
        let request = PlacementRequest {
            shape: &shape,
            priority: Priority::Urgent,
            preset,
            domain: &self.shared.settings.domain,
            region: &self.shared.settings.region,
            avoid,
            cached_or_idle_only: false,
            reserve: 0,
            max_local_queue_tokens: 0,
        };
        let choice = self.shared.placement.decode(&pool, &request)?;
        Some(Arc::clone(&pool[choice.index]))
    }
}

async fn send_lookup(slot: &ServerSlot, path: &str) -> Result<Bytes, WireError> {
    let client = HttpClient::new(slot.entry.addr.clone(), LOOKUP_TIMEOUT);
    let response = client.send("lookup", Method::GET, path, None).await?;
    client.read_full_body("lookup", response).await
}

fn no_server_response(service: &str) -> Response<ReplyBody> {
    let message = format!("no server of `{service}` takes calls now; the call was not run");
    unavailable("no_server", &message)
}

fn json_response(status: u16, body: String) -> Response<ReplyBody> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    reply::full(status, "application/json", Bytes::from(body))
}

fn replay(record_key: &str, status: u16, body: String) -> Response<ReplyBody> {
    tracing::info!(event = events::PLAIN_REPLAYED, record_key, "recorded response replayed");
    let mut response = json_response(status, body);
    response.headers_mut().insert("idempotent-replay", HeaderValue::from_static("true"));
    response
}
