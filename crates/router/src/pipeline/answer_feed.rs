//! The tokens of one answer, over as many decode streams as it takes.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_lite::FutureExt;
use futures_lite::StreamExt;
use smol::Timer;
use umberglade_wire::engine::DecodeEvent;
use umberglade_wire::engine::Priority;

use super::Admitted;
use super::AnswerAssembler;
use super::AnswerStep;
use super::RunFailure;
use super::decode::DecodeStream;
use super::run::RequestRun;
use crate::events;
use crate::placement::Placement;

/// Longest silence allowed between two lines of a decode stream. Guards
/// against a connection that went silent for good: without it the caller
/// would wait forever; with it the answer goes on from another server.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The same for urgent work: its callers wait two seconds in all, and at
/// the 48 ms a token may take, ten in a row are missing.
const URGENT_STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// How often the silence is looked at. One timer serves a whole answer: a
/// timer for each line costs more than reading the line.
const STALL_LOOK: Duration = Duration::from_millis(250);

/// What the answer brings next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum FeedStep {
    Token(String),
    Done {
        tokens: u32,
        finish_reason: String,
    },
    /// The answer can't be completed.
    Cut(String),
}

/// One answer in the making. Dropping it cancels what servers still hold.
pub(crate) struct AnswerFeed<P> {
    run: RequestRun<P>,
    stream: DecodeStream,
    assembler: AnswerAssembler,
    stall_clock: Timer,
    last_line: Instant,
}

impl<P: Placement> AnswerFeed<P> {
    /// Starts the answer of `run`; its first decode stream has begun.
    pub async fn start(mut run: RequestRun<P>) -> Result<Self, RunFailure> {
        let stream = run.start(0).await?;
        let assembler = AnswerAssembler::new(run.admitted.request_id.clone());
        let stall_clock = Timer::interval(STALL_LOOK);
        Ok(AnswerFeed { run, stream, assembler, stall_clock, last_line: Instant::now() })
    }

    /// The request this answers.
    pub fn admitted(&self) -> &Admitted {
        &self.run.admitted
    }

    /// The next step. When a stream breaks midway the answer goes on from
    /// another server at the very token that is due: the caller notices a
    /// pause, and nothing it had is computed for nothing.
    pub async fn next(&mut self) -> FeedStep {
        loop {
            let step = match self.next_line().await {
                Ok(line) => self.accept(&line),
                Err(message) => AnswerStep::Broken(message),
            };
            let message = match self.conclude(step) {
                Ok(Some(step)) => return step,
                Ok(None) => continue,
                Err(message) => message,
            };
            if let Err(message) = self.resume(message).await {
                tracing::warn!(event = events::REQUEST_ABANDONED, request_id = %self.run.admitted.request_id, %message, "answer cut");
                return FeedStep::Cut(message);
            }
        }
    }

    /// The next token if its line has arrived already.
    pub fn next_arrived(&mut self) -> Option<String> {
        let line = self.stream.reader.buffered_line()?;
        let before = self.assembler.clone();
        match self.accept(&line) {
            AnswerStep::Token(text) => Some(text),
            AnswerStep::Ignored => None,
            _ => {
                // Not a token: leave it for `next` to judge.
                self.assembler = before;
                self.stream.reader.put_back(line);
                None
            }
        }
    }

    /// The answer is whole and delivered: nothing is to be cancelled.
    pub fn delivered(&mut self, tokens: u32) {
        self.run.cancel.disarm();
        let admitted = &self.run.admitted;
        tracing::info!(
            event = events::REQUEST_COMPLETED,
            request_id = %admitted.request_id,
            organisation = %admitted.organisation,
            tokens,
            attempts = self.run.attempt + 1,
            elapsed_ms = self.run.age().as_millis() as u64,
            "answer whole"
        );
        metrics::counter!("umberglade_completed_total", "priority" => admitted.priority.to_string())
            .increment(1);
    }

    /// Notes that the first token reached the caller.
    pub fn first_token_sent(&self) {
        let priority = self.run.admitted.priority.to_string();
        metrics::histogram!("umberglade_ttft_seconds", "priority" => priority)
            .record(self.run.age().as_secs_f64());
    }

    async fn next_line(&mut self) -> Result<Bytes, String> {
        let server = &self.stream.slot.entry.server;
        let clock = &mut self.stall_clock;
        let last_line = self.last_line;
        let limit = match self.run.admitted.priority {
            Priority::Urgent => URGENT_STALL_TIMEOUT,
            Priority::Standard => STALL_TIMEOUT,
        };
        let stalled = async {
            while last_line.elapsed() < limit {
                clock.next().await;
            }
            Ok(None)
        };
        let line = self.stream.reader.next_line().or(stalled).await;
        self.last_line = Instant::now();
        match line {
            Ok(Some(line)) => Ok(line),
            Ok(None) => Err(format!("the stream from {server} ended early or fell silent")),
            Err(error) => Err(format!("the stream from {server} broke: {error}")),
        }
    }

    fn accept(&mut self, line: &[u8]) -> AnswerStep {
        match serde_json::from_slice::<DecodeEvent>(line) {
            Ok(event) => self.assembler.accept(event),
            Err(error) => AnswerStep::Broken(format!("bad line: {error}")),
        }
    }

    /// The step to give out, `None` to read on, or why the stream is of no
    /// more use.
    fn conclude(&self, step: AnswerStep) -> Result<Option<FeedStep>, String> {
        match step {
            AnswerStep::Token(text) => Ok(Some(FeedStep::Token(text))),
            AnswerStep::Done { tokens, finish_reason } => {
                Ok(Some(FeedStep::Done { tokens, finish_reason }))
            }
            AnswerStep::Ignored => Ok(None),
            AnswerStep::Broken(message) => Err(message),
        }
    }

    /// Goes on from another server. The one before is told to stop first,
    /// so that no two servers work on one request.
    async fn resume(&mut self, message: String) -> Result<(), String> {
        let slot = std::sync::Arc::clone(&self.stream.slot);
        self.run.give_up_on(&slot);
        self.run.cancel.confirm(&slot.entry.addr).await;
        if !self.run.may_try_again() {
            return Err(message);
        }
        let resume_from = self.assembler.next_index();
        tracing::warn!(event = events::ANSWER_RESUMED, request_id = %self.run.admitted.request_id, server = %slot.entry.server, resume_from, %message, "answer goes on from another server");
        metrics::counter!("umberglade_resumed_total").increment(1);
        match self.run.start(resume_from).await {
            Ok(stream) => {
                self.stream = stream;
                self.last_line = Instant::now();
                Ok(())
            }
            Err(failure) => Err(format!("{message}; then {failure}")),
        }
    }
}
