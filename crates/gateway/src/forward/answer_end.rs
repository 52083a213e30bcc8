//! Decides what the end of an answer was that states neither a length nor chunks.
//!
//! The system closes the connections of a process that was killed as properly as those of one that
//! has finished, so that such an end proves nothing by itself.

use std::sync::Arc;
use std::time::Instant;

use http::HeaderMap;
use http::Response;
use http::header;
use hyper::body::Body;
use umberglade_wire::client_connection::BodyError;
use umberglade_wire::client_connection::ResponseBody;

use super::Call;
use super::exchange::AttemptFailure;
use crate::codec::PlatformCodec;
use crate::paths::ProcessLife;
use crate::paths::find_life;
use crate::paths::life_label;
use crate::state::GatewayState;
use crate::upstream::SendTarget;

/// How an answer has failed.
#[derive(Debug)]
pub struct AnswerBreak {
    pub failure: AttemptFailure,
    pub problem: String,
}

impl AnswerBreak {
    /// Returns how an answer is broken whose body failed with `error`.
    pub fn of_body(error: &BodyError) -> Self {
        AnswerBreak { failure: AttemptFailure::of_body(error), problem: error.to_string() }
    }

    /// Returns how an answer is broken that was silent for too long.
    pub fn silent(problem: &str) -> Self {
        AnswerBreak { failure: AttemptFailure::Silent, problem: problem.to_owned() }
    }
}

/// Returns true if `response` states where its body ends, or has none.
pub fn is_delimited(response: &Response<ResponseBody>) -> bool {
    states_end(response.headers()) || response.body().is_end_stream()
}

/// A transfer encoding goes before a length, and only chunks as the last one state the end
/// (RFC 9112, section 6.3).
fn states_end(headers: &HeaderMap) -> bool {
    match headers.get_all(header::TRANSFER_ENCODING).iter().next_back() {
        Some(encodings) => {
            let last = encodings.to_str().unwrap_or_default().rsplit(',').next();
            last.is_some_and(|encoding| encoding.trim().eq_ignore_ascii_case("chunked"))
        }
        None => headers.contains_key(header::CONTENT_LENGTH),
    }
}

/// The end of an answer.
#[derive(Debug, Clone, Copy)]
pub struct AnswerEnd {
    /// False if it does not show whether its server had finished.
    pub is_delimited: bool,
    pub ended_at: Instant,
}

impl AnswerEnd {
    /// Returns the end of an answer that has just ended.
    pub fn now(is_delimited: bool) -> Self {
        AnswerEnd { is_delimited, ended_at: Instant::now() }
    }
}

/// An end of which it is not known whether the server has survived it; recorded when dropped.
struct UndecidedEnd<'a> {
    state: &'a GatewayState,
    call: &'a Call,
    target: &'a SendTarget,
    is_decided: bool,
}

impl Drop for UndecidedEnd<'_> {
    fn drop(&mut self) {
        if !self.is_decided {
            self.state.quarantines.record_undelimited_end(&self.call.suspects, self.target);
        }
    }
}

/// Returns how an answer of `target` with `end` is broken; `None` if its server had finished it.
/// Unless it is delimited, that must be shown by `deadline`: the same process lives on.
pub async fn end_break<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: &Call,
    target: &SendTarget,
    end: AnswerEnd,
    deadline: Instant,
) -> Option<AnswerBreak> {
    if end.is_delimited {
        return None;
    }
    let mut undecided = UndecidedEnd { state, call, target, is_decided: false };
    let life = find_life::<C>(state, target, end.ended_at, deadline).await;
    undecided.is_decided = life.is_some();
    let outcome = life_label(life);
    metrics::counter!("umberglade_undelimited_ends_total", "outcome" => outcome).increment(1);
    let (failure, problem) = match life {
        Some(ProcessLife::Alive) => return None,
        Some(ProcessLife::Ended) => {
            (AttemptFailure::Broken, "the server's process ended with its answer")
        }
        None => (AttemptFailure::Silent, "whether the server had finished is not known in time"),
    };
    Some(AnswerBreak { failure, problem: problem.to_owned() })
}
