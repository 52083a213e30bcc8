//! Work at one server.

use serde::Deserialize;
use serde::Serialize;

use crate::model::PromptShape;

/// The most that another gateway's report counts for, in each field: far more
/// than one gateway can have at one server, and little enough that the sum
/// over a thousand gateways does not overflow.
const MAX_REPORTED: u32 = u32::MAX / 1024;

/// Work at one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadShare {
    /// Requests sent and not yet answered in full.
    pub running: u32,
    /// Tokens of their prompts.
    pub prompt_tokens: u32,
    /// Tokens they are expected to generate, those already made included.
    pub output_tokens: u32,
    /// Tokens already generated.
    pub made_tokens: u32,
}

impl LoadShare {
    /// One stream of `shape` that begins.
    pub fn of_stream(shape: &PromptShape) -> LoadShare {
        LoadShare {
            running: 1,
            prompt_tokens: shape.prompt_tokens,
            output_tokens: shape.expected_output(),
            made_tokens: 0,
        }
    }

    /// One prompt to be read.
    pub fn of_prompt(prompt_tokens: u32) -> LoadShare {
        LoadShare { running: 1, prompt_tokens, ..LoadShare::default() }
    }

    /// One call to a plain service.
    pub fn of_call() -> LoadShare {
        LoadShare { running: 1, ..LoadShare::default() }
    }

    /// The sum of both.
    pub fn plus(self, other: LoadShare) -> LoadShare {
        LoadShare {
            running: self.running.saturating_add(other.running),
            prompt_tokens: self.prompt_tokens.saturating_add(other.prompt_tokens),
            output_tokens: self.output_tokens.saturating_add(other.output_tokens),
            made_tokens: self.made_tokens.saturating_add(other.made_tokens),
        }
    }

    /// What is left when `other`, counted in before, ends.
    pub fn minus(self, other: LoadShare) -> LoadShare {
        LoadShare {
            running: self.running.saturating_sub(other.running),
            prompt_tokens: self.prompt_tokens.saturating_sub(other.prompt_tokens),
            output_tokens: self.output_tokens.saturating_sub(other.output_tokens),
            made_tokens: self.made_tokens.saturating_sub(other.made_tokens),
        }
    }

    /// The most tokens of KV cache that this work is expected to hold at any
    /// later moment.
    ///
    /// Requests that began together all hold their whole answers in the end.
    /// Requests at all stages free more, as the first of them end, than the
    /// others still add, since a prompt is longer than its answer: they hold
    /// the most now, and what they add until the first of them ends: with `n`
    /// evenly apart that is in the `n + 1`th part of the longest rest, so each
    /// adds as much of twice the mean rest. In between, the part still to be
    /// generated counts by how far together they are.
    ///
    /// Without that last answer's growth, engines of seven streams with long
    /// answers pushed out one stream in nine: a pause of half a second, and its
    /// prompt read again.
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

    /// This share as it is counted when another gateway tells of it.
    ///
    /// Guards against a datagram that is not a gateway's: one absurd count
    /// would make sums overflow, and a server look full for good.
    pub fn bounded(self) -> LoadShare {
        LoadShare {
            running: self.running.min(MAX_REPORTED),
            prompt_tokens: self.prompt_tokens.min(MAX_REPORTED),
            output_tokens: self.output_tokens.min(MAX_REPORTED),
            made_tokens: self.made_tokens.min(MAX_REPORTED),
        }
    }
}
