//! What the head of a backend server's answer tells.

use std::time::Duration;

use super::FlowControl;

/// A server's load as it reports it with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    pub running: u32,
    pub waiting: u32,
    pub slots: u32,
}

/// A backend server's answer head, decoded.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// The id of the request this answers, as echoed by the server.
    pub request_id: Option<String>,
    /// True when the server vouches for the answer as its own.
    pub is_signed: bool,
    /// True when the server states that it did not run the request.
    pub is_not_run: bool,
    /// True when the body is encoded, which our servers never do.
    pub is_encoded: bool,
    /// True when the server closes the connection after this answer.
    pub closes: bool,
    /// How long the server keeps an idle connection, if it says.
    pub keep_alive: Option<Duration>,
    pub load: Option<ReportedLoad>,
    pub flow_control: FlowControl,
}

/// A prefill server's answer: the prompt is read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefillResult {
    /// Names the KV cache at the server that read the prompt.
    pub handle: String,
    pub tokens: u32,
}
