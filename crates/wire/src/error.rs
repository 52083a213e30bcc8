//! Errors of HTTP exchanges, with the step and the peer they occurred at.

use snafu::Snafu;

use crate::client_connection::BodyError;

/// The failure of an HTTP exchange with another process.
///
/// Every variant holds the `step` (the operation that was in progress) and the `peer` (the
/// address of the other process), so that a log line shows where the error occurred.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum WireError {
    /// The TCP connection could not be opened.
    #[snafu(display("{step}: connecting to {peer}: {source}"))]
    Connect { step: &'static str, peer: String, source: std::io::Error },
    /// The HTTP exchange failed after the connection had been opened.
    #[snafu(display("{step}: HTTP with {peer}: {source}"))]
    Http { step: &'static str, peer: String, source: hyper::Error },
    /// The body of the response broke off or is too long.
    #[snafu(display("{step}: body of {peer}: {source}"))]
    Body { step: &'static str, peer: String, source: BodyError },
    /// The peer did not respond within `timeout_ms` milliseconds.
    #[snafu(display("{step}: {peer} gave no answer within {timeout_ms} ms"))]
    Timeout { step: &'static str, peer: String, timeout_ms: u64 },
    /// The peer sent nothing for `silence_ms` milliseconds.
    #[snafu(display("{step}: {peer} was silent for {silence_ms} ms after {received} bytes"))]
    Silent {
        step: &'static str,
        peer: String,
        silence_ms: u64,
        /// Number of bytes of the body that had arrived.
        received: usize,
    },
    /// The peer responded with a status that no answer has: below 200 or over 599.
    #[snafu(display("{step}: {peer} answered {status}, which is no status of an answer"))]
    NoAnswer { step: &'static str, peer: String, status: u16 },
    /// The response body was not the expected JSON.
    #[snafu(display("{step}: bad JSON from {peer}: {source}"))]
    Decode { step: &'static str, peer: String, source: serde_json::Error },
    /// The peer responded with a status that is not accepted at this step.
    #[snafu(display("{step}: {peer} answered {status}: {body}"))]
    Status {
        step: &'static str,
        peer: String,
        status: u16,
        /// Seconds to wait before a retry, from the `Retry-After` header.
        retry_after_s: Option<u64>,
        body: String,
    },
}

impl WireError {
    /// Returns the HTTP status of a [`WireError::Status`], or `None` for all other errors.
    pub fn status(&self) -> Option<u16> {
        match self {
            WireError::Status { status, .. } => Some(*status),
            _ => None,
        }
    }

    /// Returns true when no connection was opened, so the peer cannot have run anything.
    pub fn is_unsent(&self) -> bool {
        matches!(self, WireError::Connect { .. })
    }

    /// Returns true when no usable response arrived (for example a lost reply), so the action
    /// may or may not have taken effect.
    pub fn is_outcome_unknown(&self) -> bool {
        matches!(
            self,
            WireError::Http { .. }
                | WireError::Body { .. }
                | WireError::Timeout { .. }
                | WireError::Silent { .. }
                | WireError::NoAnswer { .. }
                | WireError::Decode { .. }
        )
    }
}
