//! The gateway's own answers.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use strum::Display;

use super::Call;
use super::GatewayBody;
use super::admit::retry_after;
use super::answer;
use super::attempts::Attempts;
use crate::events;
use crate::model::ServerStage;
use crate::quarantine::fingerprint_key;
use crate::state::GatewayState;

/// Retry delay when this gateway has no share of any server's rate limit; another gateway
/// may have one.
const NO_SHARE_RETRY: Duration = Duration::from_secs(1);

/// Why the gateway answers by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Rejection {
    /// No configuration is known yet.
    NoConfiguration,
    /// No route matches.
    NoRoute,
    /// The body is larger than allowed.
    TooLarge,
    /// No organisation holds the request's key.
    UnknownKey,
    /// Its route or key is unknown, and a newer configuration may know it.
    ConfigUnsettled,
    /// Its organisation's quota is spent.
    QuotaSpent,
    /// The request can't be understood.
    BadRequest,
    /// The service has no server that takes work.
    NoServer,
    /// All servers are full, and the line is too long.
    NoRoom,
    /// The rate limits of the servers allow no request in time.
    RateLimited,
    /// Servers stated that they did not run it, and no more may be tried.
    NotRun,
    /// The process is stopping and the request might not end in time.
    Stopping,
    /// Servers crash under such requests.
    Quarantined,
    /// The deadline passed before it was sent.
    ExpiredUnsent,
    /// The deadline passed while a server may have been at work.
    Expired,
    /// A server that may have run it gave no usable answer.
    OutcomeUnknown,
}

impl Rejection {
    /// The status: 429 and 503 promise that the request has not run and
    /// never will; 502 and 504 promise nothing.
    pub fn status(self) -> StatusCode {
        match self {
            Rejection::UnknownKey => StatusCode::UNAUTHORIZED,
            Rejection::QuotaSpent => StatusCode::TOO_MANY_REQUESTS,
            Rejection::NoRoute => StatusCode::NOT_FOUND,
            Rejection::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Rejection::BadRequest => StatusCode::BAD_REQUEST,
            Rejection::NoConfiguration
            | Rejection::ConfigUnsettled
            | Rejection::NoServer
            | Rejection::NoRoom
            | Rejection::RateLimited
            | Rejection::NotRun
            | Rejection::Stopping
            | Rejection::Quarantined
            | Rejection::ExpiredUnsent => StatusCode::SERVICE_UNAVAILABLE,
            Rejection::Expired => StatusCode::GATEWAY_TIMEOUT,
            Rejection::OutcomeUnknown => StatusCode::BAD_GATEWAY,
        }
    }
}

impl Rejection {
    /// True for an answer that promises that the request has not run.
    fn promises_not_run(self) -> bool {
        matches!(self.status(), StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
    }
}

/// The answer for `refusal`, with when to come back if the request has not
/// run.
pub fn refuse(refusal: Rejection, retry_after: Option<Duration>) -> Response<GatewayBody> {
    let reason: &'static str = refusal.into();
    metrics::counter!("umberglade_refusals_total", "reason" => reason).increment(1);
    let body = Bytes::from(format!("{{\"error\":\"{reason}\"}}"));
    let mut response = Response::new(answer::whole(body));
    *response.status_mut() = refusal.status();
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(after) = retry_after
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", after.as_secs_f64()))
    {
        headers.insert(header::RETRY_AFTER, value);
    }
    response
}

/// The refusal of `call` once no further send may be made. Only a request that
/// certainly did not run gets a status that promises so; `usual` says when it
/// may come back.
pub fn refuse_unanswered(
    state: &GatewayState,
    call: &Call,
    attempts: &Attempts,
    may_have_run: bool,
    usual: impl FnOnce() -> Duration,
) -> Response<GatewayBody> {
    let now = Instant::now();
    let is_late = now >= call.deadline;
    let held = state.quarantines.status(call.content);
    let next_send_after = next_send_after(state, call, now);
    let (refusal, retry_after) = match (may_have_run, is_late, held) {
        (true, true, _) => (Rejection::Expired, None),
        (true, false, _) => (Rejection::OutcomeUnknown, None),
        (false, false, Some(held)) => (Rejection::Quarantined, Some(retry_after(held))),
        (false, true, _) => (Rejection::ExpiredUnsent, Some(usual())),
        (false, false, None) if next_send_after.is_some_and(|after| !after.is_zero()) => {
            (Rejection::RateLimited, next_send_after.map(|after| after.max(usual())))
        }
        (false, false, None) if attempts.sends() == 0 => (Rejection::NoServer, Some(usual())),
        (false, false, None) => (Rejection::NotRun, Some(usual())),
    };
    reject_call(call, refusal, retry_after, attempts.sends())
}

/// Time until the rate limits allow this gateway to send `call` to a server that can
/// answer it; zero when one allows it now, `None` when there is no such server.
pub(super) fn next_send_after(state: &GatewayState, call: &Call, now: Instant) -> Option<Duration> {
    let fleet = state.fleet();
    let answers = |stage| stage != ServerStage::Prefill;
    if !fleet
        .available_servers(&call.service, now)
        .any(|(server_state, _)| answers(server_state.entry.stage))
    {
        return None;
    }
    let at = fleet.next_send_at(&call.service, answers, now);
    Some(at.map_or(NO_SHARE_RETRY, |at| at.saturating_duration_since(now)))
}

/// Like [`refuse`] for a routed call, with its log line.
pub fn reject_call(
    call: &Call,
    refusal: Rejection,
    retry_after: Option<Duration>,
    sends: u32,
) -> Response<GatewayBody> {
    if refusal.promises_not_run()
        && let Some(charge) = &call.charge
    {
        charge.give_back();
    }
    tracing::info!(
        event = events::CALL_REJECTED,
        request_id = call.id(),
        content = fingerprint_key(call.content),
        route = %call.route.name,
        service = %call.service,
        config = call.config,
        reason = %refusal,
        status = refusal.status().as_u16(),
        sends,
        retry_after_ms = retry_after.map_or(0, |after| after.as_millis() as u64),
        elapsed_ms = call.age_ms(),
        "refused"
    );
    refuse(refusal, retry_after)
}
