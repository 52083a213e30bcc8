//! Refusals: honest answers that say whether to come back, and when.

use http::Response;
use http::StatusCode;
use umberglade_wire::reply;
use umberglade_wire::reply::ReplyBody;

use crate::events;

/// Seconds a refused caller is told to wait when nothing better is known.
pub(crate) const RETRY_AFTER_S: u64 = 1;

/// A refusal, logged as event [`events::REQUEST_REFUSED`]. 429 and 503
/// promise that the request was not run.
pub(crate) fn reject(
    status: StatusCode,
    kind: &str,
    message: &str,
    retry_after_s: Option<u64>,
) -> Response<ReplyBody> {
    tracing::info!(
        event = events::REQUEST_REFUSED,
        status = status.as_u16(),
        kind,
        message,
        ?retry_after_s,
        "request refused"
    );
    metrics::counter!("umberglade_refusals_total", "kind" => kind.to_owned()).increment(1);
    reply::refusal(status, kind, message, retry_after_s)
}

/// A 503 that says to come back soon.
pub(crate) fn unavailable(kind: &str, message: &str) -> Response<ReplyBody> {
    reject(StatusCode::SERVICE_UNAVAILABLE, kind, message, Some(RETRY_AFTER_S))
}

/// A 400 whose `message` names what is wrong.
pub(crate) fn bad_request(message: &str) -> Response<ReplyBody> {
    reject(StatusCode::BAD_REQUEST, "invalid_request_error", message, None)
}

/// A 404.
pub(crate) fn not_found() -> Response<ReplyBody> {
    reply::refusal(StatusCode::NOT_FOUND, "not_found", "no such route", None)
}
