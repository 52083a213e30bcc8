//! What the head of a caller's request tells.

use std::time::Duration;

use super::CallerKey;

/// The size of a prompt and of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptShape {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens that may be generated.
    pub output_limit: u32,
    /// The caller's estimate of the tokens generated: right at the median,
    /// often far off.
    pub output_estimate: Option<u32>,
}

impl PromptShape {
    /// Tokens expected to be generated.
    pub fn expected_output(&self) -> u32 {
        self.output_estimate.unwrap_or(self.output_limit).min(self.output_limit)
    }
}

/// A caller's request head, decoded.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// The caller's id of this attempt; each attempt has its own.
    pub request_id: Option<String>,
    /// How long the caller will wait, from the moment it sent the request.
    pub timeout: Option<Duration>,
    /// Who calls.
    pub key: CallerKey,
    /// Present on requests to model engines.
    pub prompt: Option<PromptShape>,
    /// The last event the caller already has, when it resumes a stream.
    pub resume_after: Option<u64>,
}
