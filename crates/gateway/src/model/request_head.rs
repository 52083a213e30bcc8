//! The decoded head of a caller's request.

use std::time::Duration;

use super::CallerKey;
use super::PromptParts;

/// The size of a prompt and of its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptShape {
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub output_limit: u32,
    /// The caller's estimate of the number of generated tokens. It is right at the median, but
    /// individual estimates are often far off.
    pub output_estimate: Option<u32>,
}

impl PromptShape {
    /// Returns the number of tokens expected to be generated.
    pub fn expected_output(&self) -> u32 {
        self.output_estimate.unwrap_or(self.output_limit).min(self.output_limit)
    }
}

/// The decoded head of a caller's request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// The id that the caller gave this attempt; each attempt has its own.
    pub request_id: Option<String>,
    /// How long the caller waits, from the moment it sent the request.
    pub timeout: Option<Duration>,
    /// The caller's key.
    pub key: CallerKey,
    /// Present on requests to model engines.
    pub prompt: Option<PromptShape>,
    /// The parts of the prompt that other requests may share, without the last, which belongs to the
    /// request or its session.
    pub prompt_parts: PromptParts,
    /// The last event that the caller has received, when it resumes a stream.
    pub resume_after: Option<u64>,
    /// The id of the attempt that brought the caller its first event, when it takes up a stream.
    pub resumes: Option<String>,
}
