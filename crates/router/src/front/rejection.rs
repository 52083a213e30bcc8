//! Rejection responses, which say whether and when to retry.

use http::Response;
use http::StatusCode;
use umberglade_wire::memory::RequestBodyError;
use umberglade_wire::reply;
use umberglade_wire::reply::ReplyBody;
use umberglade_wire::server::BodyRejection;

use crate::events;

/// The default `Retry-After` of rejections, in seconds.
pub(crate) const RETRY_AFTER_S: u64 = 1;

/// Returns a rejection and logs it as [`events::REQUEST_REJECTED`]. 429 and 503 guarantee that the
/// request was not run.
pub(crate) fn reject(
    status: StatusCode,
    kind: &str,
    message: &str,
    retry_after_s: Option<u64>,
) -> Response<ReplyBody> {
    tracing::info!(
        event = events::REQUEST_REJECTED,
        status = status.as_u16(),
        kind,
        message,
        ?retry_after_s,
        "request rejected"
    );
    metrics::counter!("umberglade_refusals_total", "kind" => kind.to_owned()).increment(1);
    reply::rejection(status, kind, message, retry_after_s)
}

/// Returns a 503 with the default `Retry-After`.
pub(crate) fn unavailable(kind: &str, message: &str) -> Response<ReplyBody> {
    reject(StatusCode::SERVICE_UNAVAILABLE, kind, message, Some(RETRY_AFTER_S))
}

/// Returns a 400 whose `message` names the error.
pub(crate) fn bad_request(message: &str) -> Response<ReplyBody> {
    reject(StatusCode::BAD_REQUEST, "invalid_request_error", message, None)
}

/// Returns the rejection of a request whose body was not read.
pub(crate) fn reject_body(rejection: BodyRejection) -> Response<ReplyBody> {
    let message = rejection.to_string();
    match rejection {
        BodyRejection::Unread { source: RequestBodyError::TooLarge { .. } } => {
            reject(StatusCode::PAYLOAD_TOO_LARGE, "too_large", &message, None)
        }
        BodyRejection::Unread { source: RequestBodyError::NoMemory { .. } } => {
            unavailable("no_memory", &message)
        }
        BodyRejection::Unread { source: RequestBodyError::Broken { .. } } | BodyRejection::Late => {
            bad_request(&message)
        }
    }
}

/// Returns a 404 for an unknown route.
pub(crate) fn not_found() -> Response<ReplyBody> {
    reply::rejection(StatusCode::NOT_FOUND, "not_found", "no such route", None)
}
