//! Responses of the gateway itself, which reject requests.

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
use super::attempts::Attempts;
use super::response_body;
use crate::events;
use crate::model::ServerStage;
use crate::quarantine::fingerprint_key;
use crate::state::GatewayState;

/// `Retry-After` when this gateway has no share of any server's rate limit; another gateway
/// may have one.
const NO_SHARE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why the gateway rejects a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Rejection {
    /// No configuration is known yet.
    NoConfiguration,
    /// No route matches.
    NoRoute,
    /// The body is larger than allowed.
    TooLarge,
    /// The request's key belongs to no organisation.
    UnknownKey,
    /// Its route or key is unknown, but may be part of a newer configuration.
    ConfigUnsettled,
    /// The quota of its organisation is exhausted.
    QuotaSpent,
    /// The request is malformed.
    BadRequest,
    /// The service has no available server.
    NoServer,
    /// No server of the version that began the stream is available.
    NoServerOfVersion,
    /// The request takes up a stream, and which version began it is not known.
    VersionUnknown,
    /// The memory for callers is full.
    NoMemory,
    /// No server has capacity, and the admission queue is too long.
    NoRoom,
    /// The rate limits of the servers allow no request in time.
    RateLimited,
    /// Servers stated that they did not run it, and no further attempt is allowed.
    NotRun,
    /// The process is stopping and the request might not complete in time.
    Stopping,
    /// Servers crash while they run such requests.
    Quarantined,
    /// The deadline passed before it was sent.
    ExpiredUnsent,
    /// The deadline passed while a server may have been running it.
    Expired,
    /// A server that may have run it gave no usable response.
    OutcomeUnknown,
}

impl Rejection {
    /// Returns the status. 429 and 503 guarantee that the request has not run and never will;
    /// 502 and 504 guarantee nothing.
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
            | Rejection::NoServerOfVersion
            | Rejection::VersionUnknown
            | Rejection::NoMemory
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
    /// Returns true when the response guarantees that the request has not run.
    fn guarantees_not_run(self) -> bool {
        matches!(self.status(), StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS)
    }
}

/// Returns the response for `rejection`, with a `Retry-After` if the request has not run.
pub fn reject(rejection: Rejection, retry_after: Option<Duration>) -> Response<GatewayBody> {
    let reason: &'static str = rejection.into();
    metrics::counter!("umberglade_refusals_total", "reason" => reason).increment(1);
    let body = Bytes::from(format!("{{\"error\":\"{reason}\"}}"));
    let mut response = Response::new(response_body::full(body));
    *response.status_mut() = rejection.status();
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(after) = retry_after
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", after.as_secs_f64()))
    {
        headers.insert(header::RETRY_AFTER, value);
    }
    response
}

/// Rejects `call`, which has no response of a server and is allowed no further attempt. Only a
/// request that certainly did not run gets a status that guarantees it; `usual_delay` returns its
/// usual `Retry-After`.
pub fn reject_failed(
    state: &GatewayState,
    call: &Call,
    attempts: &Attempts,
    usual_delay: impl FnOnce() -> Duration,
) -> Response<GatewayBody> {
    if !attempts.may_have_run() && !state.stop.may_begin(call.route.kind, call.deadline) {
        return reject_stopping(call, attempts.count());
    }
    let now = Instant::now();
    let is_expired = now >= call.deadline;
    let quarantine = state.quarantines.status_of(&call.suspects);
    let next_send_after = next_send_after(state, call, now);
    let (rejection, retry_after) = match (attempts.may_have_run(), is_expired, quarantine) {
        (true, true, _) => (Rejection::Expired, None),
        (true, false, _) => (Rejection::OutcomeUnknown, None),
        (false, false, Some(quarantine)) => (Rejection::Quarantined, Some(retry_after(quarantine))),
        (false, true, _) => (Rejection::ExpiredUnsent, Some(usual_delay())),
        (false, false, None) if next_send_after.is_some_and(|after| !after.is_zero()) => {
            (Rejection::RateLimited, next_send_after.map(|after| after.max(usual_delay())))
        }
        (false, false, None) if attempts.count() == 0 => (Rejection::NoServer, Some(usual_delay())),
        (false, false, None) => (Rejection::NotRun, Some(usual_delay())),
    };
    reject_call(call, rejection, retry_after, attempts.count())
}

/// Rejects `call`, which no server has run after `sends` attempts, since the process ends before its
/// time: another gateway can serve it at once.
pub fn reject_stopping(call: &Call, sends: u32) -> Response<GatewayBody> {
    reject_call(call, Rejection::Stopping, Some(Duration::ZERO), sends)
}

/// Returns the time until the rate limits allow this gateway to send `call` to a server that
/// can respond to it: zero when one allows it now, `None` when there is no such server.
pub(super) fn next_send_after(state: &GatewayState, call: &Call, now: Instant) -> Option<Duration> {
    let fleet = state.fleet();
    let can_respond = |stage| stage != ServerStage::Prefill;
    if !fleet
        .available_servers(&call.service, now)
        .any(|(server_state, _)| can_respond(server_state.entry.stage))
    {
        return None;
    }
    let at = fleet.next_send_at(&call.service, can_respond, now);
    Some(at.map_or(NO_SHARE_RETRY_AFTER, |at| at.saturating_duration_since(now)))
}

/// Like [`reject`], for a routed call, which is logged.
pub fn reject_call(
    call: &Call,
    rejection: Rejection,
    retry_after: Option<Duration>,
    sends: u32,
) -> Response<GatewayBody> {
    if rejection.guarantees_not_run()
        && let Some(charge) = &call.charge
    {
        charge.refund();
    }
    tracing::info!(
        event = events::CALL_REJECTED,
        request_id = call.id(),
        content = fingerprint_key(call.suspects.content),
        route = %call.route.name,
        service = %call.service,
        config = call.config,
        reason = %rejection,
        status = rejection.status().as_u16(),
        sends,
        retry_after_ms = retry_after.map_or(0, |after| after.as_millis() as u64),
        elapsed_ms = call.age_ms(),
        "rejected"
    );
    reject(rejection, retry_after)
}
