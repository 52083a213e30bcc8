//! The tokens of one answer, over as many decode streams as it takes.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_lite::FutureExt;
use futures_lite::StreamExt;
use smol::Timer;
use umberglade_wire::engine::DecodeEvent;
use umberglade_wire::engine::Priority;

use super::AdmittedRequest;
use super::AssemblyStep;
use super::ResponseAssembler;
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
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// What the answer brings next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum FeedStep {
    Token(String),
    Done {
        tokens: u32,
        finish_reason: String,
    },
    /// The answer can't be completed.
    Truncated(String),
}

/// One answer in the making. Dropping it cancels what servers still hold.
pub(crate) struct ResponseFeed<P> {
    run: RequestRun<P>,
    stream: DecodeStream,
    assembler: ResponseAssembler,
    stall_timer: Timer,
    last_line: Instant,
}

impl<P: Placement> ResponseFeed<P> {
    /// Starts the answer of `run`; its first decode stream has begun.
    pub async fn start(mut run: RequestRun<P>) -> Result<Self, RunFailure> {
        let stream = run.start(0).await?;
        let assembler = ResponseAssembler::new(run.admitted.request_id.clone());
        let stall_timer = Timer::interval(STALL_CHECK_INTERVAL);
        Ok(ResponseFeed { run, stream, assembler, stall_timer, last_line: Instant::now() })
    }

    /// The request this answers.
    pub fn admitted(&self) -> &AdmittedRequest {
        &self.run.admitted
    }

    /// The next step. When a stream breaks midway the answer goes on from
    /// another server at the very token that is due: the caller notices a
    /// pause, and nothing it had is computed for nothing.
    pub async fn next(&mut self) -> FeedStep {
        loop {
            let step = match self.next_line().await {
                Ok(line) => self.accept(&line),
                Err(message) => AssemblyStep::Broken(message),
            };
            let message = match self.to_feed_step(step) {
                Ok(Some(step)) => return step,
                Ok(None) => continue,
                Err(message) => message,
            };
            if let Err(message) = self.resume(message).await {
                tracing::warn!(event = events::REQUEST_ABANDONED, request_id = %self.run.admitted.request_id, %message, "answer cut");
                return FeedStep::Truncated(message);
            }
        }
    }

    /// The next token if its line has arrived already.
    pub fn next_buffered(&mut self) -> Option<String> {
        let line = self.stream.reader.buffered_line()?;
        let saved = self.assembler.clone();
        match self.accept(&line) {
            AssemblyStep::Token(text) => Some(text),
            AssemblyStep::Ignored => None,
            _ => {
                // Not a token: leave it for `next` to judge.
                self.assembler = saved;
                self.stream.reader.put_back(line);
                None
            }
        }
    }

    /// The answer is whole and delivered: nothing is to be cancelled.
    pub fn mark_completed(&mut self, tokens: u32) {
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
    pub fn record_first_token(&self) {
        let priority = self.run.admitted.priority.to_string();
        metrics::histogram!("umberglade_ttft_seconds", "priority" => priority)
            .record(self.run.age().as_secs_f64());
    }

    async fn next_line(&mut self) -> Result<Bytes, String> {
        let server = &self.stream.slot.entry.server;
        let timer = &mut self.stall_timer;
        let last_line = self.last_line;
        let limit = match self.run.admitted.priority {
            Priority::Urgent => URGENT_STALL_TIMEOUT,
            Priority::Standard => STALL_TIMEOUT,
        };
        let stalled = async {
            while last_line.elapsed() < limit {
                timer.next().await;
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

    fn accept(&mut self, line: &[u8]) -> AssemblyStep {
        match serde_json::from_slice::<DecodeEvent>(line) {
            Ok(event) => self.assembler.accept(event),
            Err(error) => AssemblyStep::Broken(format!("bad line: {error}")),
        }
    }

    /// The step to give out, `None` to read on, or why the stream is of no
    /// more use.
    fn to_feed_step(&self, step: AssemblyStep) -> Result<Option<FeedStep>, String> {
        match step {
            AssemblyStep::Token(text) => Ok(Some(FeedStep::Token(text))),
            AssemblyStep::Done { tokens, finish_reason } => {
                Ok(Some(FeedStep::Done { tokens, finish_reason }))
            }
            AssemblyStep::Ignored => Ok(None),
            AssemblyStep::Broken(message) => Err(message),
        }
    }

    /// Goes on from another server. The one before is told to stop first,
    /// so that no two servers work on one request.
    async fn resume(&mut self, message: String) -> Result<(), String> {
        let slot = std::sync::Arc::clone(&self.stream.slot);
        self.run.record_failure(&slot);
        self.run.cancel.cancel_and_confirm(&slot.entry.addr).await;
        if !self.run.try_next_attempt() {
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
