//! Keeps a silent decode stream until another server has sent the next line of its response.
//!
//! A sound server may send nothing for a second or so and go on; one that is gone looks the same.
//! Another stream is therefore opened beside the silent one, and the first to send the next line
//! goes on. No line of the other is relayed, and its server gets a cancel order at that moment.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_lite::FutureExt;
use smol::Timer;
use umberglade_wire::engine::DecodeEvent;

use super::AssemblyStep;
use super::ResponseAssembler;
use super::decode::DecodeStream;
use super::response_feed::ResponseFeed;
use super::response_feed::STALL_TIMEOUT;
use crate::control::ServerSlot;
use crate::events;
use crate::placement::Placement;

/// Delay before the second attempt beside a silent stream; doubles with each one that failed.
const FIRST_ATTEMPT_DELAY: Duration = Duration::from_millis(250);
/// The longest such delay: attempts beside a silent stream take from the retry budget.
const MAX_ATTEMPT_DELAY: Duration = Duration::from_secs(4);

/// How a silence ended.
pub(super) enum SilenceEnd {
    /// The next line came, from the stream that is now the feed's.
    Line(Bytes),
    /// The silent stream broke, and one that has not sent a line yet took its place.
    Replaced,
    /// No stream is left, or the deadline has passed.
    Broken(String),
}

/// What happened first while a silent stream was waited for.
enum FirstResult<T> {
    /// The silent stream went on or broke.
    Kept(Result<Bytes, String>),
    Other(T),
    DeadlinePassed,
}

/// The outcome of an attempt to open another stream beside the silent one.
enum OpenOutcome {
    Opened(DecodeStream),
    /// Nothing was sent.
    NoRoom,
    Failed,
    SilenceEnded(SilenceEnd),
}

impl<P: Placement> ResponseFeed<P> {
    /// Waits for the next line of the silent stream, or of another one that is opened beside it.
    /// `silent_since` is when the last line came.
    pub(super) async fn outlast_silence(&mut self, silent_since: Instant) -> SilenceEnd {
        let attempts_before = self.run.attempt;
        let kept = Arc::clone(&self.stream.slot);
        self.run.keep_server(&kept);
        tracing::info!(event = events::STREAM_SILENT, request_id = %self.run.admitted.request_id, server = %kept.entry.server, next_token = self.assembler.next_index(), silent_ms = silent_since.elapsed().as_millis() as u64, "stream silent; looking for another server");
        let end = self.race_silent_stream(silent_since).await;
        let is_replaced = !Arc::ptr_eq(&kept, &self.stream.slot);
        let went_on = matches!(end, SilenceEnd::Line(_)) && !is_replaced;
        self.run.release_kept_server(went_on);
        if !is_replaced {
            // An attempt counts only if it took the response over.
            self.run.attempt = attempts_before;
        }
        if went_on {
            tracing::info!(event = events::STREAM_WENT_ON, request_id = %self.run.admitted.request_id, server = %kept.entry.server, silent_ms = silent_since.elapsed().as_millis() as u64, "silent stream went on");
        }
        self.run.cancel.cancel_others(&self.stream.slot.entry.addr);
        end
    }

    async fn race_silent_stream(&mut self, silent_since: Instant) -> SilenceEnd {
        let attempts_before = self.run.attempt;
        let mut delay = FIRST_ATTEMPT_DELAY;
        loop {
            match self.open_beside(silent_since).await {
                OpenOutcome::Opened(other) => {
                    if let Some(end) = self.race_streams(other, silent_since).await {
                        return end;
                    }
                    delay = (delay * 2).min(MAX_ATTEMPT_DELAY);
                }
                OpenOutcome::NoRoom => {}
                OpenOutcome::Failed => delay = (delay * 2).min(MAX_ATTEMPT_DELAY),
                OpenOutcome::SilenceEnded(end) => return end,
            }
            self.run.attempt = attempts_before;
            if let Some(end) = self.wait_before_attempt(delay, silent_since).await {
                return end;
            }
        }
    }

    /// Waits for `delay` before another attempt. Returns the end of the silence if it ends before.
    async fn wait_before_attempt(
        &mut self,
        delay: Duration,
        silent_since: Instant,
    ) -> Option<SilenceEnd> {
        let kept_line = next_useful_line(&mut self.stream, &self.assembler);
        match first_of(kept_line, Timer::after(delay), self.run.deadline()).await {
            FirstResult::Other(_) => None,
            FirstResult::Kept(Ok(line)) => Some(SilenceEnd::Line(line)),
            FirstResult::Kept(Err(message)) => Some(SilenceEnd::Broken(message)),
            FirstResult::DeadlinePassed => Some(self.deadline_passed(silent_since)),
        }
    }

    /// Opens another stream, if other servers have room now and the silence does not end before.
    async fn open_beside(&mut self, silent_since: Instant) -> OpenOutcome {
        let deadline = self.run.deadline();
        let request_id = self.run.admitted.request_id.clone();
        let mut opening = Box::pin(self.run.open_beside(self.assembler.next_index()));
        let kept_line = next_useful_line(&mut self.stream, &self.assembler);
        match first_of(kept_line, opening.as_mut(), deadline).await {
            FirstResult::Other(Ok(Some(other))) => OpenOutcome::Opened(other),
            FirstResult::Other(Ok(None)) => OpenOutcome::NoRoom,
            FirstResult::Other(Err(failure)) => {
                tracing::info!(event = events::ATTEMPT_RETRIED, %request_id, %failure, "attempt beside a silent stream failed");
                OpenOutcome::Failed
            }
            FirstResult::Kept(Ok(line)) => OpenOutcome::SilenceEnded(SilenceEnd::Line(line)),
            FirstResult::Kept(Err(message)) => {
                let opened = async { opening.await.ok().flatten() };
                let expired = async {
                    Timer::at(deadline).await;
                    None
                };
                let opened = opened.or(expired).await;
                OpenOutcome::SilenceEnded(self.end_broken(message, opened))
            }
            FirstResult::DeadlinePassed => {
                drop(opening);
                OpenOutcome::SilenceEnded(self.deadline_passed(silent_since))
            }
        }
    }

    /// Lets the first of the two streams that sends the next line go on. Returns `None` if `other`
    /// failed or was silent too.
    async fn race_streams(
        &mut self,
        mut other: DecodeStream,
        silent_since: Instant,
    ) -> Option<SilenceEnd> {
        let kept_line = next_useful_line(&mut self.stream, &self.assembler);
        let other_line = async {
            let silent = async {
                // Also for urgent calls: a sound server may be silent for longer than their limit.
                Timer::after(STALL_TIMEOUT).await;
                Err(format!("no line within {STALL_TIMEOUT:?}"))
            };
            next_useful_line(&mut other, &self.assembler).or(silent).await
        };
        match first_of(kept_line, other_line, self.run.deadline()).await {
            FirstResult::Other(Ok(line)) => {
                record_silence(&self.stream.slot, silent_since);
                self.replace_stream(other, "silent until another server went on");
                Some(SilenceEnd::Line(line))
            }
            FirstResult::Other(Err(message)) => {
                tracing::warn!(event = events::SERVER_STEP_FAILED, request_id = %self.run.admitted.request_id, server = %other.slot.entry.server, error = %message, "stream beside a silent one failed");
                // It broke, or was silent for longer than a sound server.
                self.run.record_failure(&other.slot);
                self.run.cancel.cancel_others(&self.stream.slot.entry.addr);
                None
            }
            FirstResult::Kept(Ok(line)) => Some(SilenceEnd::Line(line)),
            FirstResult::Kept(Err(message)) => Some(self.end_broken(message, Some(other))),
            FirstResult::DeadlinePassed => Some(self.deadline_passed(silent_since)),
        }
    }

    /// Ends the silence of a stream that broke: `other` takes its place, if there is one.
    fn end_broken(&mut self, message: String, other: Option<DecodeStream>) -> SilenceEnd {
        let Some(other) = other else {
            if self.run.remaining().is_zero() {
                // The run does not resume, which would record it.
                self.stream.slot.record_failure();
            }
            return SilenceEnd::Broken(message);
        };
        self.stream.slot.record_failure();
        self.replace_stream(other, &message);
        SilenceEnd::Replaced
    }

    /// Makes `other` the response's stream; drops the one before, which closes its connection.
    fn replace_stream(&mut self, other: DecodeStream, message: &str) {
        let before = std::mem::replace(&mut self.stream, other);
        let resume_from = self.assembler.next_index();
        tracing::warn!(event = events::RESPONSE_RESUMED, request_id = %self.run.admitted.request_id, server = %before.slot.entry.server, resume_from, %message, "response goes on from another server");
        metrics::counter!("umberglade_resumed_total").increment(1);
    }

    fn deadline_passed(&self, silent_since: Instant) -> SilenceEnd {
        record_silence(&self.stream.slot, silent_since);
        let server = &self.stream.slot.entry.server;
        SilenceEnd::Broken(format!("the stream from {server} was silent until the deadline"))
    }
}

/// Ejects a server for all requests only if it was silent for longer than a sound one may be.
fn record_silence(slot: &ServerSlot, silent_since: Instant) {
    if silent_since.elapsed() >= STALL_TIMEOUT {
        slot.record_failure();
    }
}

/// Returns the next line of `stream` that continues the response, or why none will come. Other
/// lines end no silence.
async fn next_useful_line(
    stream: &mut DecodeStream,
    assembler: &ResponseAssembler,
) -> Result<Bytes, String> {
    loop {
        let line = stream.next_line().await?;
        let event = serde_json::from_slice::<DecodeEvent>(&line);
        let event = event.map_err(|error| format!("bad line: {error}"))?;
        match assembler.clone().accept(event) {
            AssemblyStep::Token(_) | AssemblyStep::Done { .. } => return Ok(line),
            AssemblyStep::Ignored => {}
            AssemblyStep::Broken(message) => return Err(message),
        }
    }
}

async fn first_of<T>(
    kept_line: impl Future<Output = Result<Bytes, String>>,
    other: impl Future<Output = T>,
    deadline: Instant,
) -> FirstResult<T> {
    let kept_line = async {
        match kept_line.await {
            // Sound servers end their streams at the deadline.
            Err(_) if Instant::now() >= deadline => FirstResult::DeadlinePassed,
            result => FirstResult::Kept(result),
        }
    };
    let other = async { FirstResult::Other(other.await) };
    let expired = async {
        Timer::at(deadline).await;
        FirstResult::DeadlinePassed
    };
    kept_line.or(other).or(expired).await
}
