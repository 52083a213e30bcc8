//! How much an organisation may have run.

use serde::Deserialize;
use serde::Serialize;

use super::RequestHead;

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaUnit {
    Requests,
    /// Tokens of the prompt and those that may be generated.
    Tokens {
        /// Counted for a request that states no sizes.
        plain: u64,
    },
}

/// A quota: a token bucket over all gateways together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct QuotaLimit {
    pub unit: QuotaUnit,
    /// Units a second. Invariant: finite, above zero.
    pub rate: f64,
    /// Units that may be used at once after a pause. Invariant: finite, not below
    /// zero.
    pub burst: f64,
}

impl QuotaLimit {
    /// The units that a request with `head` counts for.
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
