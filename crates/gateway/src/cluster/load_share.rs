//! Load on one server.

use serde::Deserialize;
use serde::Serialize;

use crate::model::PromptShape;

/// Upper bound of each field of a load reported by a peer. Far more than one gateway can have at
/// one server, and small enough that the sum over a thousand gateways does not overflow.
const MAX_REPORTED_VALUE: u32 = u32::MAX / 1024;

/// Load on one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadShare {
    /// Requests sent and not yet completed.
    pub running: u32,
    /// Tokens of their prompts.
    pub prompt_tokens: u32,
    /// Tokens they are expected to generate, including those already generated.
    pub output_tokens: u32,
    /// Tokens already generated.
    pub made_tokens: u32,
}

impl LoadShare {
    /// Returns the load of a stream of `shape` that starts.
    pub fn of_stream(shape: &PromptShape) -> LoadShare {
        LoadShare {
            running: 1,
            prompt_tokens: shape.prompt_tokens,
            output_tokens: shape.expected_output(),
            made_tokens: 0,
        }
    }

    /// Returns the load of a prompt to be prefilled.
    pub fn of_prompt(prompt_tokens: u32) -> LoadShare {
        LoadShare { running: 1, prompt_tokens, ..LoadShare::default() }
    }

    /// Returns the load of a call to a plain service.
    pub fn of_call() -> LoadShare {
        LoadShare { running: 1, ..LoadShare::default() }
    }

    pub fn plus(self, other: LoadShare) -> LoadShare {
        LoadShare {
            running: self.running.saturating_add(other.running),
            prompt_tokens: self.prompt_tokens.saturating_add(other.prompt_tokens),
            output_tokens: self.output_tokens.saturating_add(other.output_tokens),
            made_tokens: self.made_tokens.saturating_add(other.made_tokens),
        }
    }

    /// Returns what remains when `other`, which this load includes, ends.
    pub fn minus(self, other: LoadShare) -> LoadShare {
        LoadShare {
            running: self.running.saturating_sub(other.running),
            prompt_tokens: self.prompt_tokens.saturating_sub(other.prompt_tokens),
            output_tokens: self.output_tokens.saturating_sub(other.output_tokens),
            made_tokens: self.made_tokens.saturating_sub(other.made_tokens),
        }
    }

    /// Returns the maximum number of KV cache tokens that this load is expected to hold at any
    /// later time.
    ///
    /// Requests that start together all hold their complete responses in the end. Requests that
    /// are spread evenly over their progress hold the most when the first of them ends: from then
    /// on, those that end free more than the rest still add, since a prompt is longer than its
    /// response. With `n` of them, the first ends after `1 / (n + 1)` of the longest remainder,
    /// which is twice the mean remainder, and each has added as many tokens by then. Between these
    /// two cases, the tokens still to be generated count in proportion to how synchronised the
    /// requests are.
    ///
    /// Without the growth until the first of them ends, engines of seven streams with long
    /// responses preempt one stream in nine, which then stalls for half a second and has its prompt
    /// prefilled again.
    pub fn peak_tokens(&self) -> f64 {
        let output = f64::from(self.output_tokens);
        let left = f64::from(self.output_tokens.saturating_sub(self.made_tokens));
        let held = f64::from(self.prompt_tokens) + f64::from(self.made_tokens);
        if output <= 0.0 {
            return held;
        }
        let sync_fraction = (2.0 * left / output - 1.0).clamp(0.0, 1.0);
        let until_first_end = 2.0 * left / (f64::from(self.running) + 1.0);
        held + (left * sync_fraction).max(until_first_end.min(left))
    }

    /// Returns this load as it counts when a peer reports it.
    ///
    /// Prevents a datagram that does not come from a gateway from overflowing the sums with one
    /// huge count, and from making a server look full permanently.
    pub fn bounded(self) -> LoadShare {
        LoadShare {
            running: self.running.min(MAX_REPORTED_VALUE),
            prompt_tokens: self.prompt_tokens.min(MAX_REPORTED_VALUE),
            output_tokens: self.output_tokens.min(MAX_REPORTED_VALUE),
            made_tokens: self.made_tokens.min(MAX_REPORTED_VALUE),
        }
    }
}
