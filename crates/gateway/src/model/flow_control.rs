//! Flow control that backend servers state in their answers.

use std::time::Duration;

use super::RequestRate;

/// The rate limit that an answer states.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StatedLimit {
    /// The answer states no limit.
    #[default]
    None,
    /// The rate the server accepts from all gateways together.
    Rate(RequestRate),
    /// The stated limit could not be parsed.
    Unreadable,
}

/// The flow control stated in the head of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FlowControl {
    pub limit: StatedLimit,
    pub is_leaving: bool,
    /// How long the server wants no further requests from this gateway. Applies only to a
    /// 503.
    pub retry_after: Option<Duration>,
}
