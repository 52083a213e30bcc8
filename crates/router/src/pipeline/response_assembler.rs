//! Puts one answer together from a decode server's lines, whatever else
//! the stream carries.

use umberglade_wire::engine::DecodeEvent;
use umberglade_wire::ids::RequestId;

/// What one line of a stream means for the answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AssemblyStep {
    /// The next token, to be passed on.
    Token(String),
    /// The answer is whole.
    Done { tokens: u32, finish_reason: String },
    /// Another request's line, or one passed on before: dropped.
    Ignored,
    /// The stream can't give the rest of this answer.
    Broken(String),
}

/// One request's answer so far, over all its decode streams.
///
/// Guards against crossed, late and repeated lines: only a line that bears
/// this request's id and the very next index is passed on, and the answer
/// is whole only when its last line counts as many tokens as were.
#[derive(Debug, Clone)]
pub struct ResponseAssembler {
    request_id: RequestId,
    /// Index of the next token. Invariant: every token below it was passed
    /// on exactly once.
    next_index: u32,
}

impl ResponseAssembler {
    /// An empty answer of `request_id`.
    pub fn new(request_id: RequestId) -> Self {
        ResponseAssembler { request_id, next_index: 0 }
    }

    /// Index of the token to come next; where another stream must resume.
    pub fn next_index(&self) -> u32 {
        self.next_index
    }

    /// Takes one event of a stream.
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
