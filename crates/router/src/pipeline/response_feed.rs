//! The tokens of one response, over one or more decode streams.

use std::sync::Arc;
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
use super::end_log::EndReason;
use super::run::RequestRun;
use super::silent_stream::SilenceEnd;
use crate::events;
use crate::placement::Placement;

/// The gap between two lines of a decode stream after which another server is looked for. Longer
/// than a sound server is silent.
pub(super) const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The same for urgent requests, whose callers wait two seconds in total. At the 48 ms allowed per
/// token, ten tokens in a row are missing by then; the server may still go on.
const URGENT_STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a stream is checked for a stall. A single timer serves the whole response, because a
/// timer per line costs more than reading the line.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// The next step of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum FeedStep {
    Token(String),
    Done {
        tokens: u32,
        finish_reason: String,
    },
    /// The response cannot be completed.
    Truncated(String),
}

/// A response in progress. Dropping it cancels the work that servers still hold.
pub(crate) struct ResponseFeed<P> {
    pub(super) run: RequestRun<P>,
    pub(super) stream: DecodeStream,
    pub(super) assembler: ResponseAssembler,
    stall_timer: Timer,
}

impl<P: Placement> ResponseFeed<P> {
    /// Starts the response to `run` and returns once its first decode stream has started.
    pub async fn start(mut run: RequestRun<P>) -> Result<Self, RunFailure> {
        let stream = match run.start(0).await {
            Ok(stream) => stream,
            Err(failure) => {
                run.end_log.set_reason(EndReason::Rejected);
                return Err(failure);
            }
        };
        let assembler = ResponseAssembler::new(run.admitted.request_id.clone());
        let stall_timer = Timer::interval(STALL_CHECK_INTERVAL);
        Ok(ResponseFeed { run, stream, assembler, stall_timer })
    }

    /// Returns the request that is being served.
    pub fn admitted(&self) -> &AdmittedRequest {
        &self.run.admitted
    }

    /// Returns the next step. When a stream fails midway, the response resumes on another server at
    /// the next token: the caller sees only a pause and keeps the tokens already forwarded.
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
                tracing::warn!(event = events::REQUEST_FAILED, request_id = %self.run.admitted.request_id, %message, "response truncated");
                self.run.end_log.set_reason(EndReason::Cut);
                return FeedStep::Truncated(message);
            }
        }
    }

    /// Returns the next token if its line is already buffered.
    pub fn next_buffered(&mut self) -> Option<String> {
        let line = self.stream.reader.buffered_line()?;
        let saved = self.assembler.clone();
        match self.accept(&line) {
            AssemblyStep::Token(text) => Some(text),
            AssemblyStep::Ignored => None,
            _ => {
                // Not a token: left for `next` to handle.
                self.assembler = saved;
                self.stream.reader.unread_line(line);
                None
            }
        }
    }

    /// Records that the complete response was delivered, so that nothing is cancelled.
    pub fn mark_completed(&mut self, tokens: u32) {
        self.run.cancel.disarm();
        self.run.end_log.complete();
        let admitted = &self.run.admitted;
        tracing::info!(
            event = events::REQUEST_COMPLETED,
            request_id = %admitted.request_id,
            organisation = %admitted.organisation,
            tokens,
            attempts = self.run.attempt + 1,
            elapsed_ms = self.run.age().as_millis() as u64,
            "response completed"
        );
        metrics::counter!("umberglade_completed_total", "priority" => admitted.priority.to_string())
            .increment(1);
    }

    /// Records the time to the first token, just before it is sent to the caller.
    pub fn record_first_token(&self) {
        let priority = self.run.admitted.priority.to_string();
        metrics::histogram!("umberglade_ttft_seconds", "priority" => priority)
            .record(self.run.age().as_secs_f64());
    }

    async fn next_line(&mut self) -> Result<Bytes, String> {
        loop {
            let waiting_since = Instant::now();
            if let Some(line) = self.line_before_silence(waiting_since).await {
                return line;
            }
            match self.outlast_silence(waiting_since).await {
                SilenceEnd::Line(line) => return Ok(line),
                SilenceEnd::Replaced => {}
                SilenceEnd::Broken(message) => return Err(message),
            }
        }
    }

    /// Returns the next line, or `None` once the stream has been silent for the limit.
    async fn line_before_silence(
        &mut self,
        waiting_since: Instant,
    ) -> Option<Result<Bytes, String>> {
        let limit = self.silence_limit();
        let timer = &mut self.stall_timer;
        let silent = async {
            while waiting_since.elapsed() < limit {
                timer.next().await;
            }
            None
        };
        let line = async { Some(self.stream.next_line().await) };
        line.or(silent).await
    }

    /// Returns how long a stream may be silent before another server is looked for.
    fn silence_limit(&self) -> Duration {
        match self.run.admitted.priority {
            Priority::Urgent => URGENT_STALL_TIMEOUT,
            Priority::Standard => STALL_TIMEOUT,
        }
    }

    fn accept(&mut self, line: &[u8]) -> AssemblyStep {
        match serde_json::from_slice::<DecodeEvent>(line) {
            Ok(event) => self.assembler.accept(event),
            Err(error) => AssemblyStep::Broken(format!("bad line: {error}")),
        }
    }

    /// Returns the step to yield, `None` to read another line, or why the stream cannot go on.
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

    /// Resumes on another server after the stream broke or its time was over. The previous server
    /// is cancelled first.
    async fn resume(&mut self, message: String) -> Result<(), String> {
        if self.run.remaining().is_zero() {
            // Not a failure of the server: it may be sound and silent, or have stopped in time.
            return Err(message);
        }
        let slot = Arc::clone(&self.stream.slot);
        self.run.record_failure(&slot);
        self.run.cancel.cancel_and_confirm(&slot.entry.addr).await;
        if !self.run.try_next_attempt() {
            return Err(message);
        }
        let resume_from = self.assembler.next_index();
        tracing::warn!(event = events::RESPONSE_RESUMED, request_id = %self.run.admitted.request_id, server = %slot.entry.server, resume_from, %message, "resuming response on another server");
        metrics::counter!("umberglade_resumed_total").increment(1);
        match self.run.start(resume_from).await {
            Ok(stream) => {
                self.stream = stream;
                Ok(())
            }
            Err(failure) => Err(format!("{message}; then {failure}")),
        }
    }
}
