//! Calls to plain services (booking-desk, organisation-desk), run at most
//! once through the idempotency ledger.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use umberglade_wire::WireError;
use umberglade_wire::client::HttpClient;
use umberglade_wire::engine::EngineRole;
use umberglade_wire::ids::OrganisationId;
use umberglade_wire::plain::IdempotencyRecord;
use umberglade_wire::plain::PlainCall;
use umberglade_wire::reply;
use umberglade_wire::reply::ReplyBody;
use umberglade_wire::server::read_body;

use crate::daemon::Daemon;
use crate::daemon::RETRY_AFTER_S;
use crate::daemon::refuse;
use crate::events;
use crate::idempotency::Claim;
use crate::idempotency::IdempotencyLedger;
use crate::placement::Placement;
use crate::platform::PlatformClient;
use crate::prompt::text_shape;

/// The header that names a non-idempotent action.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Bound on one call to a plain service.
const PLAIN_TIMEOUT: Duration = Duration::from_secs(5);
/// Statuses by which a plain service promises that it did not run a call.
const NOT_RUN_STATUSES: [u16; 2] = [429, 503];
/// Longest idempotency key accepted.
const MAX_KEY_BYTES: usize = 200;

impl<P: Placement> Daemon<P> {
    /// `POST /v1/services/{service}/call`: one non-idempotent call.
    pub(crate) async fn plain_call(
        &self,
        request: Request<Incoming>,
        organisation: OrganisationId,
        service: String,
    ) -> Response<ReplyBody> {
        let key = request
            .headers()
            .get(IDEMPOTENCY_KEY)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let Some(key) = key.filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES) else {
            let message = "calls to plain services need an Idempotency-Key header (1 to 200 bytes)";
            return refuse(StatusCode::BAD_REQUEST, "invalid_request_error", message, None);
        };
        let payload = match read_body(request.into_body()).await.and_then(|body| {
            serde_json::from_slice::<serde_json::Value>(&body)
                .map_err(|error| format!("request body: {error}"))
        }) {
            Ok(payload) => payload,
            Err(message) => {
                return refuse(StatusCode::BAD_REQUEST, "invalid_request_error", &message, None);
            }
        };
        let snapshot = self.shared.control.current();
        let candidates = snapshot.candidates(EngineRole::Plain, &service);
        let Some(choice) = self.shared.placement.decode(&candidates, &text_shape(&key)) else {
            let message = format!("no live server for service `{service}`; it was not run");
            return refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                "no_server",
                &message,
                Some(RETRY_AFTER_S),
            );
        };
        let ledger = IdempotencyLedger {
            platform: PlatformClient::new(
                self.shared.settings.platform.clone(),
                self.shared.settings.platform_timeout,
            ),
            daemon: self.shared.settings.daemon_id.clone(),
        };
        let record_key = IdempotencyLedger::record_key(&organisation, &key);
        let version = match ledger.claim(&record_key).await {
            Ok(Claim::Claimed { version }) => version,
            Ok(Claim::Replay { status, body }) => return replay(&record_key, status, body),
            Ok(Claim::InProgress) => {
                let message = "an earlier call with this Idempotency-Key has not finished or its outcome is not known; ask again later with the same key";
                return refuse(StatusCode::CONFLICT, "in_progress", message, Some(RETRY_AFTER_S));
            }
            Err(error) => {
                tracing::warn!(event = events::STEP_FAILED, %record_key, %error, "idempotency claim failed");
                let message = "the idempotency record could not be written; the call was not run";
                return refuse(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "platform_unavailable",
                    message,
                    Some(RETRY_AFTER_S),
                );
            }
        };
        let slot = &candidates[choice.index];
        tracing::info!(event = events::PLAIN_PLACED, %service, server = %slot.entry.server, %record_key, "plain call placed");
        let _guard = slot.begin();
        let call = PlainCall { organisation, idempotency_key: key, payload };
        let client = HttpClient::new(slot.entry.addr.clone(), PLAIN_TIMEOUT);
        let answer = client
            .call::<_, serde_json::Value>("plain call", Method::POST, "/v1/call", Some(&call))
            .await;
        self.plain_outcome(&ledger, &record_key, version, answer).await
    }

    async fn plain_outcome(
        &self,
        ledger: &IdempotencyLedger,
        record_key: &str,
        version: u64,
        answer: Result<serde_json::Value, WireError>,
    ) -> Response<ReplyBody> {
        match answer {
            Ok(value) => {
                let body = value.to_string();
                ledger
                    .finish(
                        record_key,
                        version,
                        &IdempotencyRecord::Done { status: 200, body: body.clone() },
                    )
                    .await;
                reply::whole(StatusCode::OK, "application/json", Bytes::from(body))
            }
            // Any other status is the service's own answer: it may have run
            // (a 500 halfway through), so it is recorded and given again.
            Err(WireError::Status { status, body, .. }) if !NOT_RUN_STATUSES.contains(&status) => {
                let record = IdempotencyRecord::Done { status, body: body.clone() };
                ledger.finish(record_key, version, &record).await;
                let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
                reply::whole(status, "application/json", Bytes::from(body))
            }
            Err(WireError::Status { status, body, retry_after_s, .. }) => {
                ledger
                    .finish(
                        record_key,
                        version,
                        &IdempotencyRecord::NotRun { status, body: body.clone() },
                    )
                    .await;
                let message = format!("the service refused the call ({status}); it was not run");
                refuse(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "server_refused",
                    &message,
                    retry_after_s.or(Some(RETRY_AFTER_S)),
                )
            }
            Err(error) => {
                tracing::warn!(event = events::STEP_FAILED, record_key, %error, "plain call unanswered; outcome unknown");
                let message = "the service did not answer; the call may have run; do not repeat it under a new key, ask again with the same key";
                refuse(StatusCode::GATEWAY_TIMEOUT, "outcome_unknown", message, Some(RETRY_AFTER_S))
            }
        }
    }
}

fn replay(record_key: &str, status: u16, body: String) -> Response<ReplyBody> {
    tracing::info!(event = events::PLAIN_REPLAYED, record_key, "recorded answer given to a retry");
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let mut response = reply::whole(status, "application/json", Bytes::from(body));
    response.headers_mut().insert("idempotent-replay", HeaderValue::from_static("true"));
    response
}
