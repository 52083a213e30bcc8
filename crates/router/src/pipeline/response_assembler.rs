//! Assembles one response from the lines of decode streams, ignoring unrelated lines.

use umberglade_wire::engine::DecodeEvent;
use umberglade_wire::ids::RequestId;

/// The effect of one stream line on the response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AssemblyStep {
    /// The next token, to be forwarded.
    Token(String),
    /// The response is complete.
    Done { tokens: u32, finish_reason: String },
    /// A line of another request, or one already forwarded: dropped.
    Ignored,
    /// The stream cannot provide the rest of the response.
    Broken(String),
}

/// The state of one request's response across all its decode streams.
///
/// Prevents lines of other requests, late lines and repeated lines from reaching the caller. Only a
/// line with this request's id and the next index is forwarded, and the response is complete only
/// when its last line states the number of tokens forwarded.
#[derive(Debug, Clone)]
pub struct ResponseAssembler {
    request_id: RequestId,
    /// Index of the next token. Invariant: every token below it was forwarded exactly once.
    next_index: u32,
}

impl ResponseAssembler {
    /// Creates an assembler for the response to `request_id`, with no tokens yet.
    pub fn new(request_id: RequestId) -> Self {
        ResponseAssembler { request_id, next_index: 0 }
    }

    /// Returns the index of the next token, at which another stream must resume.
    pub fn next_index(&self) -> u32 {
        self.next_index
    }

    /// Processes one event of a stream.
    pub fn accept(&mut self, event: DecodeEvent) -> AssemblyStep {
        match event {
            DecodeEvent::Token { request_id, index, text } if request_id == self.request_id => {
                self.accept_token(index, text)
            }
            DecodeEvent::Done { request_id, tokens, finish_reason }
                if request_id == self.request_id =>
            {
                if tokens == self.next_index {
                    AssemblyStep::Done { tokens, finish_reason }
                } else {
                    let got = self.next_index;
                    AssemblyStep::Broken(format!("the stream ended at token {got} of {tokens}"))
                }
            }
            DecodeEvent::Failed { request_id, message } if request_id == self.request_id => {
                AssemblyStep::Broken(message)
            }
            _ => AssemblyStep::Ignored,
        }
    }

    fn accept_token(&mut self, index: u32, text: String) -> AssemblyStep {
        if index < self.next_index {
            return AssemblyStep::Ignored;
        }
        if index > self.next_index {
            let expected = self.next_index;
            return AssemblyStep::Broken(format!("token {index} came, {expected} was due"));
        }
        self.next_index += 1;
        AssemblyStep::Token(text)
    }
}
