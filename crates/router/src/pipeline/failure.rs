//! Reasons why an attempt failed, and the HTTP responses for them.

use http::Response;
use http::StatusCode;
use snafu::Snafu;
use umberglade_wire::engine::EngineRole;
use umberglade_wire::ids::Fence;
use umberglade_wire::ids::ModelName;
use umberglade_wire::ids::ServerId;
use umberglade_wire::reply::ReplyBody;

use crate::front::RETRY_AFTER_S;
use crate::front::reject;
use crate::front::unavailable;

/// An error that ended an attempt before its response started.
#[derive(Debug, Snafu)]
pub enum RunFailure {
    /// No live server of the role serves the model.
    #[snafu(display("no live {role} server for model `{model}`; it was not run"))]
    NoServer { role: EngineRole, model: ModelName },
    /// The servers have no capacity and are not expected to have any in time.
    #[snafu(display("no room at the servers within the target; it was not run"))]
    NoCapacity { retry_after_s: u64 },
    /// A server responded that it did not accept the stage.
    #[snafu(display("{step}: {server} refused ({status}); no answer was begun"))]
    Rejected { step: &'static str, server: ServerId, status: u16, retry_after_s: u64 },
    /// A server did not respond; `stopped` when it then confirmed that it holds nothing of the
    /// request.
    #[snafu(display("{step}: {server} did not answer"))]
    NoResponse { step: &'static str, server: ServerId, stopped: bool },
    /// A server has seen a newer preset than the one this daemon holds.
    #[snafu(display("this daemon's preset (fence {fence}) is no longer in force; it was not run"))]
    FencedOff { fence: Fence },
    /// The deadline set by the preset has passed.
    #[snafu(display("deadline of {deadline_ms} ms passed; the request was stopped"))]
    DeadlineExceeded { deadline_ms: u64 },
}

impl RunFailure {
    /// Returns whether the request may be retried on another server.
    pub(crate) fn may_retry(&self) -> bool {
        matches!(self, RunFailure::Rejected { .. } | RunFailure::NoResponse { .. })
    }

    /// Returns the response for the caller. A 503 guarantees that nothing runs or will run; it is a
    /// 504 if a server did not confirm the cancel.
    pub(crate) fn rejection(&self) -> Response<ReplyBody> {
        let message = self.to_string();
        match self {
            RunFailure::NoServer { .. } => unavailable("no_server", &message),
            RunFailure::NoCapacity { retry_after_s } => {
                reject(StatusCode::SERVICE_UNAVAILABLE, "no_room", &message, Some(*retry_after_s))
            }
            RunFailure::Rejected { retry_after_s, .. } => reject(
                StatusCode::SERVICE_UNAVAILABLE,
                "server_refused",
                &message,
                Some(*retry_after_s),
            ),
            RunFailure::NoResponse { stopped: true, .. } => {
                unavailable("server_unanswered", &format!("{message}; it was stopped there"))
            }
            RunFailure::NoResponse { stopped: false, .. } => reject(
                StatusCode::GATEWAY_TIMEOUT,
                "outcome_unknown",
                &format!("{message}; whether it ran is not known"),
                Some(RETRY_AFTER_S),
            ),
            RunFailure::FencedOff { .. } => unavailable("fenced_off", &message),
            RunFailure::DeadlineExceeded { .. } => {
                reject(StatusCode::GATEWAY_TIMEOUT, "deadline", &message, Some(RETRY_AFTER_S))
            }
        }
    }
}
