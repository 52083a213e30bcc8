//! Flow control that backend servers state in their responses.

use std::time::Duration;

use super::RequestRate;

/// The rate limit that a response states.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StatedLimit {
    /// The response states no limit.
    #[default]
    None,
    /// The rate that the server accepts from all gateways together.
    Rate(RequestRate),
    /// The stated limit could not be parsed.
    Unreadable,
}

/// The flow control stated in the head of a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FlowControl {
    pub limit: StatedLimit,
    pub is_leaving: bool,
    /// Backoff that the server requests from this gateway. Applies only to a 503.
    pub retry_after: Option<Duration>,
}
