//! The quota of an organisation.

use serde::Deserialize;
use serde::Serialize;

use super::RequestHead;

/// The unit that a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaUnit {
    Requests,
    /// Tokens of the prompt plus the maximum number of generated tokens.
    Tokens {
        /// Units that a request counts for when it states no sizes.
        plain: u64,
    },
}

/// A quota: the parameters of a token bucket over all gateways together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct QuotaLimit {
    pub unit: QuotaUnit,
    /// Units per second. Invariant: finite and greater than zero.
    pub rate: f64,
    /// Units that may be used at once after a pause. Invariant: finite and not negative.
    pub burst: f64,
}

impl QuotaLimit {
    /// Returns the units that a request with `head` counts for.
    pub fn cost(&self, head: &RequestHead) -> u64 {
        match (self.unit, &head.prompt) {
            (QuotaUnit::Requests, _) => 1,
            (QuotaUnit::Tokens { plain }, None) => plain,
            (QuotaUnit::Tokens { .. }, Some(prompt)) => {
                u64::from(prompt.prompt_tokens) + u64::from(prompt.output_limit)
            }
        }
    }
}
