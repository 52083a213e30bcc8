//! Relays a stream to its caller event by event, and resumes it at other servers.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use bytes::Bytes;
use futures_lite::FutureExt;
use futures_lite::future::zip;
use http::Response;
use hyper::body::Frame;
use strum::Display;
use umberglade_wire::pool;

use super::Call;
use super::GatewayBody;
use super::StreamBroken;
use super::StreamEvent;
use super::attempts::Attempts;
use super::exchange;
use super::exchange::AttemptFailure;
use super::kept_stream::KeptStream;
use super::response_body;
use super::response_body::BodyFrame;
use super::stream_open::OpenStream;
use super::stream_opener::Opening;
use super::stream_opener::StreamOpener;
use super::stream_opener::StreamStart;
use super::stream_silence;
use crate::cluster::BrokenRun;
use crate::cluster::SURVIVAL_TIME;
use crate::cluster::ServerOutcome;
use crate::codec::PlatformCodec;
use crate::events;
use crate::in_flight_count::InFlightGuard;
use crate::origins::record_origin;
use crate::paths::request_check;
use crate::state::GatewayState;
use crate::timing::with_deadline;

/// Number of target gaps without an event after which a stream counts as stalled. Callers
/// disconnect after eight; the remaining time is for resuming at another server.
const STALL_TIMEOUT_GAPS: u32 = 4;
/// Stall timeout of routes without a target gap.
const DEFAULT_STALL_TIMEOUT: Duration = Duration::from_millis(1200);
/// Interval at which the version of a long stream is told again: well within the time for which it
/// is kept.
const ORIGIN_REFRESH_INTERVAL: Duration = Duration::from_secs(20);

/// The outcome of a relayed stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
enum RelayOutcome {
    Whole,
    CallerLeft,
    Expired,
    Broken,
}

/// Why a server's stream stopped.
enum StreamStop {
    Ended,
    Failed(AttemptFailure, String),
    /// It was silent, and another server has begun to go on with it.
    Replaced(Box<OpenStream>),
    /// It failed while it was silent, and this was recorded; another server has gone on if one may.
    FailedSilent(Option<Box<OpenStream>>),
    Expired,
}

/// Returns the response, whose events a task relays.
pub fn relay<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: Arc<Call>,
    stream: OpenStream,
    attempts: Attempts,
) -> Response<GatewayBody> {
    let first_event = call.arrived.elapsed();
    metrics::histogram!("umberglade_first_event_seconds").record(first_event.as_secs_f64());
    if attempts.count() == 1 {
        let took = stream.load_guard.age();
        state
            .service_queues
            .with_first_event_time(&call.service, |first_event_time| first_event_time.record(took));
    }
    let (sender, body) = response_body::streamed();
    let mut response = Response::new(body);
    *response.status_mut() = stream.status;
    *response.headers_mut() = stream.headers.clone();
    let relay = Relay {
        state: Arc::clone(state),
        in_flight: state.in_flight.enter_request(),
        call,
        sender,
        attempts,
        last_id: None,
        relayed: 0,
        first_event,
        last_event_at: Instant::now(),
        longest_gap: Duration::ZERO,
        origin_told_at: Instant::now(),
        codec: std::marker::PhantomData::<C>,
    };
    pool::spawn(relay.run(stream));
    response
}

/// What a stream that was silent sent, or why it stopped.
enum StalledRead {
    Read(ReadEvent),
    Stopped(StreamStop),
}

/// The next event of a stream; `None` at its end.
type ReadEvent = Result<Option<StreamEvent>, hyper::Error>;

/// Which server went on first.
enum FirstToGoOn {
    /// The one that was silent.
    Kept(ReadEvent),
    Other(Opening),
}

/// Returns how the server of `stream` has failed, if `read` shows that it has.
fn break_problem(read: &ReadEvent, stream: &OpenStream) -> Option<String> {
    match read {
        Ok(Some(_)) => None,
        Ok(None) if stream.reader.is_complete() => None,
        Ok(None) => Some("ended within an event".to_owned()),
        Err(error) => Some(error.to_string()),
    }
}

/// Returns the run of a stream that broke after an event at `last_event_at`.
fn broken_run(stream: &OpenStream, last_event_at: Instant) -> BrokenRun {
    let since_last_event = last_event_at.elapsed();
    BrokenRun {
        sent_at: stream.sent_at,
        duration: stream.load_guard.age().saturating_sub(since_last_event),
        sent_events_for: stream.first_event_at.elapsed().saturating_sub(since_last_event),
    }
}

/// Records that the server of `stream` has failed.
async fn record_stop(
    state: &Arc<GatewayState>,
    call: &Call,
    stream: &OpenStream,
    failure: AttemptFailure,
    problem: &str,
    run: BrokenRun,
) {
    let target = &stream.target;
    exchange::record_midstream_failure(state, call, target, failure, problem, run).await;
}

struct Relay<C> {
    state: Arc<GatewayState>,
    /// Makes a graceful shutdown wait for the stream.
    #[allow(dead_code)]
    in_flight: InFlightGuard,
    call: Arc<Call>,
    sender: Sender<BodyFrame>,
    attempts: Attempts,
    /// The id of the last relayed event.
    last_id: Option<u64>,
    relayed: u64,
    first_event: Duration,
    /// When the last event was relayed.
    last_event_at: Instant,
    longest_gap: Duration,
    /// When the stream's version was last told to other gateways.
    origin_told_at: Instant,
    codec: std::marker::PhantomData<C>,
}

impl<C: PlatformCodec> Relay<C> {
    async fn run(mut self, stream: OpenStream) {
        let sender = self.sender.clone();
        // Stops the server when its caller disconnects between two events: no write fails then,
        // but the body is dropped.
        let caller_left = async {
            sender.closed().await;
            RelayOutcome::CallerLeft
        };
        let outcome = self.relay_all(stream).or(caller_left).await;
        if matches!(outcome, RelayOutcome::Broken | RelayOutcome::Expired) {
            // Fails only if the caller has disconnected.
            let _ = self.sender.send(Err(StreamBroken)).await;
        }
        self.log_end(outcome);
    }

    /// Relays `stream` and, where allowed, its continuation at other servers.
    async fn relay_all(&mut self, stream: OpenStream) -> RelayOutcome {
        let mut current = Box::new(stream);
        loop {
            let stop = match self.relay_one(&mut current).await {
                Ok(stop) => stop,
                Err(outcome) => return outcome,
            };
            let next = match stop {
                StreamStop::Ended => {
                    self.record_completion(*current);
                    return RelayOutcome::Whole;
                }
                StreamStop::Expired => return RelayOutcome::Expired,
                StreamStop::Failed(failure, problem) => {
                    let run = broken_run(&current, self.last_event_at);
                    record_stop(&self.state, &self.call, &current, failure, &problem, run).await;
                    // Closes the connection before another server starts, so that two servers
                    // never run the same request at the same time.
                    drop(current);
                    self.resume().await
                }
                StreamStop::Replaced(next) => {
                    let silence = self.last_event_at.elapsed();
                    let target = &current.target;
                    stream_silence::record_replacement(&self.state, &self.call, target, silence);
                    Some(next)
                }
                StreamStop::FailedSilent(next) => next,
            };
            match next {
                Some(next) => current = next,
                None => return RelayOutcome::Broken,
            }
        }
    }

    /// Relays the events of one server until it stops. Fails when the caller disconnects.
    async fn relay_one(&mut self, stream: &mut OpenStream) -> Result<StreamStop, RelayOutcome> {
        let mut next = stream.first.take();
        let tokens_per_event = self.call.engine_spec().tokens_per_event;
        // The server of a resumed stream prefilled the tokens of the earlier events.
        let mut tokens = self.relayed as u32 * tokens_per_event;
        let stall_timeout = self
            .call
            .route
            .target_gap
            .map_or(DEFAULT_STALL_TIMEOUT, |gap| gap * STALL_TIMEOUT_GAPS);
        loop {
            if let Some(event) = next.take() {
                if !self.is_next(&event) {
                    let problem = format!("event {:?} after {:?}", event.id, self.last_id);
                    return Ok(StreamStop::Failed(AttemptFailure::Garbled, problem));
                }
                self.relay_event(event).await?;
                self.refresh_origin(stream).await;
                self.record_survival(stream);
                tokens += tokens_per_event;
                stream.load_guard.record_progress(tokens);
            }
            let until = (Instant::now() + stall_timeout).min(self.call.deadline);
            let read = match with_deadline(until, stream.reader.next_event()).await {
                Some(read) => read,
                None => match self.wait_or_replace(stream).await {
                    StalledRead::Read(read) => read,
                    StalledRead::Stopped(stop) => return Ok(stop),
                },
            };
            if let Some(problem) = break_problem(&read, stream) {
                return Ok(StreamStop::Failed(AttemptFailure::Broken, problem));
            }
            next = match read {
                Ok(Some(event)) => Some(event),
                Ok(None) | Err(_) => return Ok(StreamStop::Ended),
            };
        }
    }

    /// Waits for the silent server of `stream` while another one is opened, where that is allowed.
    /// The first of them to send an event goes on with the stream.
    async fn wait_or_replace(&mut self, stream: &mut OpenStream) -> StalledRead {
        if Instant::now() >= self.call.deadline {
            return StalledRead::Stopped(StreamStop::Expired);
        }
        let silent_since = self.last_event_at;
        let server = stream.target.server.clone();
        request_check(&self.state, &stream.target);
        stream_silence::log_stall(&self.call, &server, self.relayed, silent_since.elapsed());
        let start = self.continuation();
        let read = {
            let kept = KeptStream::open();
            let opener =
                StreamOpener::<C>::new(&self.state, &self.call, &mut self.attempts, start, &kept);
            let mut opening = pin!(opener.open(None));
            let kept_read = async { FirstToGoOn::Kept(stream.reader.next_event().await) };
            let replaced = async { FirstToGoOn::Other(opening.as_mut().await) };
            let read = match with_deadline(self.call.deadline, kept_read.or(replaced)).await {
                None => return StalledRead::Stopped(StreamStop::Expired),
                Some(FirstToGoOn::Other(opening)) => {
                    return StalledRead::Stopped(match opening.into_stream() {
                        Some(next) => StreamStop::Replaced(next),
                        None => StreamStop::FailedSilent(None),
                    });
                }
                Some(FirstToGoOn::Kept(read)) => read,
            };
            if let Some(problem) = break_problem(&read, stream) {
                let run = broken_run(stream, silent_since);
                let failure = AttemptFailure::Broken;
                let recorded = async {
                    record_stop(&self.state, &self.call, stream, failure, &problem, run).await;
                    kept.end();
                };
                let ((), opening) = zip(recorded, opening).await;
                return StalledRead::Stopped(StreamStop::FailedSilent(opening.into_stream()));
            }
            read
        };
        let silence = silent_since.elapsed();
        let sends = self.attempts.count();
        stream_silence::log_recovery(&self.call, &server, self.relayed, silence, sends);
        StalledRead::Read(read)
    }

    /// Returns from where another server continues the stream.
    fn continuation(&self) -> StreamStart {
        StreamStart::Continues { last_id: self.last_id, relayed: self.relayed }
    }

    /// Returns true when the id of `event` is the successor of the last one. Prevents missing
    /// or duplicate events after a stream is resumed.
    fn is_next(&self, event: &StreamEvent) -> bool {
        match (self.last_id, event.id) {
            (Some(last), Some(id)) => id == last + 1,
            _ => true,
        }
    }

    async fn relay_event(&mut self, event: StreamEvent) -> Result<(), RelayOutcome> {
        let StreamEvent { id, bytes } = event;
        self.send(bytes).await?;
        let now = Instant::now();
        self.longest_gap = self.longest_gap.max(now - self.last_event_at);
        self.last_event_at = now;
        self.relayed += 1;
        self.last_id = id.or(self.last_id);
        Ok(())
    }

    /// Tells the version of a stream again if that was long ago.
    async fn refresh_origin(&mut self, stream: &OpenStream) {
        let Some(software) = self.attempts.pinned_version.known() else { return };
        if self.origin_told_at.elapsed() >= ORIGIN_REFRESH_INTERVAL {
            self.origin_told_at = Instant::now();
            record_origin(&self.state, &self.call, software, stream.target.incarnation).await;
        }
    }

    /// Records once, when the stream has gone on for a while, that its server answers prompts with
    /// these parts.
    fn record_survival(&self, stream: &mut OpenStream) {
        let has_survived = stream.first_event_at.elapsed() >= SURVIVAL_TIME;
        if has_survived && !std::mem::replace(&mut stream.has_survived, true) {
            self.state.record_answered_parts(&self.call.suspects.parts, &stream.target);
        }
    }

    async fn send(&self, bytes: Bytes) -> Result<(), RelayOutcome> {
        let sent = self.sender.send(Ok(Frame::data(bytes))).await;
        sent.map_err(|_| RelayOutcome::CallerLeft)
    }

    fn record_completion(&self, stream: OpenStream) {
        let tokens = self.relayed as u32 * self.call.engine_spec().tokens_per_event;
        let took = self.call.arrived.elapsed().saturating_sub(self.first_event);
        let service_queues = &self.state.service_queues;
        service_queues
            .with_output_estimate(&self.call.service, |outputs| outputs.record(tokens, took));
        let prompt_tokens = self.call.prompt_shape().prompt_tokens;
        let duration = stream.load_guard.age();
        service_queues.with_stage_balance(&self.call.service, |balance| {
            balance.record_stream(prompt_tokens, tokens, duration);
        });
        self.state.record_outcome(&stream.target, ServerOutcome::Fine);
        if stream.is_delimited {
            self.state.record_completion(&self.call.suspects, &stream.target);
        } else {
            self.state.quarantines.record_undelimited_end(&self.call.suspects, &stream.target);
        }
        if let Some(connection) = stream.connection {
            let target = &stream.target;
            self.state.pool.put(target, connection, stream.keep_alive, Instant::now());
        }
    }

    /// Resumes the stream, whose server has failed, at another one after the last relayed event.
    async fn resume(&mut self) -> Option<Box<OpenStream>> {
        let kept = KeptStream::default();
        let start = self.continuation();
        let opener =
            StreamOpener::<C>::new(&self.state, &self.call, &mut self.attempts, start, &kept);
        opener.open(None).await.into_stream()
    }

    fn log_end(&self, outcome: RelayOutcome) {
        let event = match outcome {
            RelayOutcome::Whole => events::CALL_DONE,
            RelayOutcome::CallerLeft => events::CALLER_DISCONNECTED,
            RelayOutcome::Expired | RelayOutcome::Broken => events::STREAM_BROKEN,
        };
        let label = outcome.to_string();
        metrics::counter!("umberglade_streams_total", "outcome" => label).increment(1);
        tracing::info!(
            event,
            request_id = self.call.id(),
            route = %self.call.route.name,
            server = self.attempts.tried.last().map(|server| &**server),
            outcome = %outcome,
            events = self.relayed,
            last_id = self.last_id,
            sends = self.attempts.count(),
            first_event_ms = self.first_event.as_millis() as u64,
            longest_gap_ms = self.longest_gap.as_millis() as u64,
            elapsed_ms = self.call.age_ms(),
            "stream ended"
        );
    }
}
