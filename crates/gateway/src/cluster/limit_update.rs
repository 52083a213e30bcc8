//! Rate limits of servers as gateways report them to each other.

use serde::Deserialize;
use serde::Serialize;

use crate::model::RequestRate;
use crate::model::ServerIncarnation;

/// The last known limit of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitUpdate {
    pub server: ServerIncarnation,
    /// `None` after the limit was lifted.
    pub rate: Option<RequestRate>,
    /// Milliseconds since the response that last set `rate`.
    pub age_ms: u32,
}
