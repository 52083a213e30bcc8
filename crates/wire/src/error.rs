//! Errors of the HTTP plumbing, carrying the step and the peer.

use snafu::Snafu;

/// What went wrong while talking to another process.
///
/// Every variant names the `step` (what we were doing) and the `peer`
/// (the address we were talking to), so a log line says where it arose.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum WireError {
    /// The TCP connection could not be opened.
    #[snafu(display("{step}: connecting to {peer}: {source}"))]
    Connect { step: &'static str, peer: String, source: std::io::Error },
    /// The HTTP exchange failed after the connection was open.
    #[snafu(display("{step}: HTTP with {peer}: {source}"))]
    Http { step: &'static str, peer: String, source: hyper::Error },
    /// The peer did not answer within the timeout.
    #[snafu(display("{step}: {peer} gave no answer within {timeout_ms} ms"))]
    Timeout { step: &'static str, peer: String, timeout_ms: u64 },
    /// The peer's body was not the JSON we expected.
    #[snafu(display("{step}: bad JSON from {peer}: {source}"))]
    Decode { step: &'static str, peer: String, source: serde_json::Error },
    /// The peer answered with a status we do not accept at this step.
    #[snafu(display("{step}: {peer} answered {status}: {body}"))]
    Status {
        step: &'static str,
        peer: String,
        status: u16,
        /// Seconds the peer asked us to wait, from `Retry-After`.
        retry_after_s: Option<u64>,
        body: String,
    },
}

impl WireError {
    /// The HTTP status the peer answered, if it answered at all.
    pub fn status(&self) -> Option<u16> {
        match self {
            WireError::Status { status, .. } => Some(*status),
            _ => None,
        }
    }

    /// True when the peer was never reached: nothing can have run there.
    pub fn is_unsent(&self) -> bool {
        matches!(self, WireError::Connect { .. })
    }

    /// True when the peer never gave an answer: the action may or may not
    /// have taken effect (a lost reply).
    pub fn is_unanswered(&self) -> bool {
        matches!(
            self,
            WireError::Http { .. } | WireError::Timeout { .. } | WireError::Decode { .. }
        )
    }
}
