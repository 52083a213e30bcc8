//! Why a request's attempt failed, and what its caller is told.

use http::Response;
use http::StatusCode;
use snafu::Snafu;
use umberglade_wire::engine::EngineRole;
use umberglade_wire::ids::Fence;
use umberglade_wire::ids::ModelName;
use umberglade_wire::ids::ServerId;
use umberglade_wire::reply::ReplyBody;

use crate::front::RETRY_AFTER_S;
use crate::front::not_now;
use crate::front::refuse;

/// What ended an attempt before its answer began.
#[derive(Debug, Snafu)]
pub enum RunFailure {
    /// No live server of the role serves the model.
    #[snafu(display("no live {role} server for model `{model}`; it was not run"))]
    NoServer { role: EngineRole, model: ModelName },
    /// The servers have no room, and will not in time.
    #[snafu(display("no room at the servers within the target; it was not run"))]
    NoRoom { retry_after_s: u64 },
    /// A server said it did not take the step.
    #[snafu(display("{step}: {server} refused ({status}); no answer was begun"))]
    Refused { step: &'static str, server: ServerId, status: u16, retry_after_s: u64 },
    /// A server did not answer; `stopped` when it then confirmed that it
    /// holds nothing of the request.
    #[snafu(display("{step}: {server} did not answer"))]
    Unanswered { step: &'static str, server: ServerId, stopped: bool },
    /// A server has seen a newer preset than this daemon holds.
    #[snafu(display("this daemon's preset (fence {fence}) is no longer in force; it was not run"))]
    FencedOff { fence: Fence },
    /// The preset's deadline passed.
    #[snafu(display("deadline of {deadline_ms} ms passed; the request was stopped"))]
    DeadlinePassed { deadline_ms: u64 },
}

impl RunFailure {
    /// Whether another attempt may be made elsewhere.
    pub(crate) fn may_retry(&self) -> bool {
        matches!(self, RunFailure::Refused { .. } | RunFailure::Unanswered { .. })
    }

    /// The caller's answer. 503 promises that nothing runs or will run; a
    /// server that never confirmed its stop makes it a 504.
    pub(crate) fn refusal(&self) -> Response<ReplyBody> {
        let message = self.to_string();
        match self {
            RunFailure::NoServer { .. } => not_now("no_server", &message),
            RunFailure::NoRoom { retry_after_s } => {
                refuse(StatusCode::SERVICE_UNAVAILABLE, "no_room", &message, Some(*retry_after_s))
            }
            RunFailure::Refused { retry_after_s, .. } => refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                "server_refused",
                &message,
                Some(*retry_after_s),
            ),
            RunFailure::Unanswered { stopped: true, .. } => {
                not_now("server_unanswered", &format!("{message}; it was stopped there"))
            }
            RunFailure::Unanswered { stopped: false, .. } => refuse(
                StatusCode::GATEWAY_TIMEOUT,
                "outcome_unknown",
                &format!("{message}; whether it ran is not known"),
                Some(RETRY_AFTER_S),
            ),
            RunFailure::FencedOff { .. } => not_now("fenced_off", &message),
            RunFailure::DeadlinePassed { .. } => {
                refuse(StatusCode::GATEWAY_TIMEOUT, "deadline", &message, Some(RETRY_AFTER_S))
            }
        }
    }
}
