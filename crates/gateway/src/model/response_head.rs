//! The decoded head of a backend server's response.

use std::time::Duration;

use super::FlowControl;

/// A server's load, as stated in its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    pub running: u32,
    pub waiting: u32,
    pub slots: u32,
}

/// The decoded head of a backend server's response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// The id of the request, as echoed by the server.
    pub request_id: Option<String>,
    /// True when the server confirms that the response is its own.
    pub is_signed: bool,
    /// True when the server states that it did not run the request.
    pub is_not_run: bool,
    /// True when the body has a content encoding, which backend servers never apply.
    pub is_encoded: bool,
    /// True when the server closes the connection after this response.
    pub closes: bool,
    /// How long the server keeps an idle connection open, if it states that.
    pub keep_alive: Option<Duration>,
    pub load: Option<ReportedLoad>,
    pub flow_control: FlowControl,
}

/// A prefill server's response after it has prefilled the prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefillResult {
    /// Identifies the KV cache at the server that prefilled the prompt.
    pub handle: String,
    pub tokens: u32,
}
