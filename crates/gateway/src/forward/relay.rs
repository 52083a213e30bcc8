//! Relays a stream to its caller event by event, and resumes it at other servers.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use bytes::Bytes;
use futures_lite::FutureExt;
use http::Response;
use strum::Display;
use umberglade_wire::pool;

use super::Call;
use super::GatewayBody;
use super::StreamBroken;
use super::StreamEvent;
use super::answer_end::AnswerBreak;
use super::attempts::Attempts;
use super::exchange::AttemptFailure;
use super::kept_stream::KeptStream;
use super::response_body;
use super::response_body::BodyFrame;
use super::silence_log;
use super::silent_stream;
use super::silent_stream::SilenceEnd;
use super::silent_stream::StreamPosition;
use super::silent_stream::StreamStep;
use super::silent_stream::next_step;
use super::silent_stream::wait_or_replace;
use super::stream_open::OpenStream;
use super::stream_opener::StreamOpener;
use super::stream_opener::StreamStart;
use crate::cluster::SURVIVAL_TIME;
use crate::cluster::ServerOutcome;
use crate::codec::PlatformCodec;
use crate::events;
use crate::in_flight_count::InFlightGuard;
use crate::origins::record_origin;
use crate::panics;
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
    /// The relay panicked.
    Panicked,
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
        // A panic drops no sender, which would end the body as if it were complete.
        let relayed = async {
            let relayed = panics::catch(self.relay_all(stream)).await;
            relayed.unwrap_or(RelayOutcome::Panicked)
        };
        let outcome = relayed.or(caller_left).await;
        if !matches!(outcome, RelayOutcome::Whole | RelayOutcome::CallerLeft) {
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
                    let last_event_at = self.last_event_at;
                    let (state, call) = (&self.state, &self.call);
                    silent_stream::record_stop(
                        state,
                        call,
                        &current,
                        failure,
                        &problem,
                        last_event_at,
                    )
                    .await;
                    // Closes the connection before another server starts, so that two servers
                    // never run the same request at the same time.
                    drop(current);
                    self.resume().await
                }
                StreamStop::Replaced(next) => {
                    let silence = self.last_event_at.elapsed();
                    let target = &current.target;
                    silence_log::record_replacement(&self.state, &self.call, target, silence);
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
            let step = next_step::<C>(&self.state, &self.call, stream);
            let step = match with_deadline(until, step).await {
                Some(step) => step,
                None => match self.wait_while_silent(stream).await {
                    SilenceEnd::WentOn(step) => step,
                    SilenceEnd::Replaced(next) => return Ok(StreamStop::Replaced(next)),
                    SilenceEnd::Failed(next) => return Ok(StreamStop::FailedSilent(next)),
                    SilenceEnd::Expired => return Ok(StreamStop::Expired),
                },
            };
            next = match step {
                StreamStep::Event(event) => Some(event),
                StreamStep::Ended => return Ok(StreamStop::Ended),
                StreamStep::Broken(AnswerBreak { failure, problem }) => {
                    return Ok(StreamStop::Failed(failure, problem));
                }
            };
        }
    }

    async fn wait_while_silent(&mut self, stream: &mut OpenStream) -> SilenceEnd {
        if Instant::now() >= self.call.deadline {
            return SilenceEnd::Expired;
        }
        let position = StreamPosition {
            last_id: self.last_id,
            relayed: self.relayed,
            last_event_at: self.last_event_at,
        };
        let (state, call) = (&self.state, &self.call);
        wait_or_replace::<C>(state, call, &mut self.attempts, stream, position).await
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
        self.state.link_use.events.add(bytes.len());
        let sent = response_body::send_all(&self.sender, bytes).await;
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
        self.state.record_completion(&self.call.suspects, &stream.target);
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
            RelayOutcome::Expired | RelayOutcome::Broken | RelayOutcome::Panicked => {
                events::STREAM_BROKEN
            }
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
