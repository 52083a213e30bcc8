//! Relays a stream to its caller event by event, and resumes it at other servers.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Sender;
use bytes::Bytes;
use futures_lite::FutureExt;
use http::Response;
use hyper::body::Frame;
use strum::Display;
use umberglade_wire::pool;

use super::Call;
use super::GatewayBody;
use super::StreamBroken;
use super::StreamEvent;
use super::attempts::Attempts;
use super::cache_guard::CacheGuard;
use super::exchange;
use super::exchange::AttemptFailure;
use super::next_server;
use super::next_server::NextServer;
use super::response_body;
use super::response_body::BodyFrame;
use super::stream_open;
use super::stream_open::NeededVersion;
use super::stream_open::OpenOutcome;
use super::stream_open::OpenStream;
use super::stream_run;
use crate::cluster::BrokenRun;
use crate::cluster::SURVIVAL_TIME;
use crate::cluster::ServerOutcome;
use crate::codec::PlatformCodec;
use crate::events;
use crate::in_flight_count::InFlightGuard;
use crate::model::AttemptPurpose;
use crate::model::AttemptSpec;
use crate::model::PinnedVersion;
use crate::origins::is_contradictory;
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
/// Time without a first event of a resumed stream after which another server is tried where there
/// is one.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1500);

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
    /// It is silent, and goes on at another server.
    Replaced(NextServer, String),
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
            let (failure, problem, next) = match stop {
                StreamStop::Ended => {
                    self.record_completion(*current);
                    return RelayOutcome::Whole;
                }
                StreamStop::Expired => return RelayOutcome::Expired,
                StreamStop::Failed(failure, problem) => (failure, problem, None),
                StreamStop::Replaced(next, problem) => {
                    (AttemptFailure::Silent, problem, Some(next))
                }
            };
            let since_last_event = self.last_event_at.elapsed();
            let run = BrokenRun {
                sent_at: current.sent_at,
                duration: current.load_guard.age().saturating_sub(since_last_event),
                sent_events_for: current.first_event_at.elapsed().saturating_sub(since_last_event),
            };
            exchange::record_midstream_failure(
                &self.state,
                &self.call,
                &current.target,
                failure,
                &problem,
                run,
            )
            .await;
            self.attempts.runs += 1;
            // Closes the connection before another server starts, so that two servers never
            // run the same request at the same time.
            drop(current);
            if is_contradictory(&self.state, &self.call) {
                self.attempts.pinned_version = PinnedVersion::Unknown;
            }
            match self.resume(next).await {
                Some(next) => current = next,
                None => return RelayOutcome::Broken,
            }
        }
    }

    /// Relays the events of one server until it stops. Fails when the caller disconnects.
    async fn relay_one(&mut self, stream: &mut OpenStream) -> Result<StreamStop, RelayOutcome> {
        let mut next = stream.first.take();
        let mut is_stalled = false;
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
                is_stalled = false;
                tokens += tokens_per_event;
                stream.load_guard.record_progress(tokens);
            }
            let patience = if is_stalled { next_server::RESERVE_INTERVAL } else { stall_timeout };
            let until = (Instant::now() + patience).min(self.call.deadline);
            match with_deadline(until, stream.reader.next_event()).await {
                Some(Ok(Some(event))) => next = Some(event),
                Some(Ok(None)) if stream.reader.is_complete() => return Ok(StreamStop::Ended),
                Some(Ok(None)) => {
                    let problem = "ended within an event".to_owned();
                    return Ok(StreamStop::Failed(AttemptFailure::Broken, problem));
                }
                Some(Err(error)) => {
                    return Ok(StreamStop::Failed(AttemptFailure::Broken, error.to_string()));
                }
                None if Instant::now() >= self.call.deadline => return Ok(StreamStop::Expired),
                None => {
                    let silence = self.last_event_at.elapsed();
                    if let Some(next) =
                        next_server::reserve(&self.state, &self.call, &self.attempts)
                    {
                        let problem = format!("no event for {} ms", silence.as_millis());
                        return Ok(StreamStop::Replaced(next, problem));
                    }
                    if !std::mem::replace(&mut is_stalled, true) {
                        self.record_stall(stream, silence);
                    }
                }
            }
        }
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

    /// Records that the server sends nothing, while no other may continue the stream.
    fn record_stall(&self, stream: &OpenStream, silence: Duration) {
        request_check(&self.state, &stream.target);
        self.state.record_outcome(&stream.target, AttemptFailure::Silent.outcome());
        metrics::counter!("umberglade_stream_stalls_total").increment(1);
        tracing::info!(
            event = events::STREAM_STALLED,
            request_id = self.call.id(),
            server = %stream.target.server,
            relayed = self.relayed,
            silent_ms = silence.as_millis() as u64,
            elapsed_ms = self.call.age_ms(),
            "stream is silent; waiting, as no other server may continue it"
        );
    }

    /// Resumes the stream at another server after the last relayed event, first at `next`.
    async fn resume(&mut self, next: Option<NextServer>) -> Option<Box<OpenStream>> {
        let resume_after = self.last_id.or(self.call.head.resume_after);
        let mut next = next;
        loop {
            let NextServer { load_guard, permit } = match next.take() {
                Some(next) => next,
                None => self.find_next().await?,
            };
            let cache = stream_run::prefill_nearby::<C>(
                &self.state,
                &self.call,
                &mut self.attempts,
                &load_guard,
                resume_after,
            )
            .await;
            self.attempts.record(&load_guard.server);
            let source = cache.as_ref().and_then(|cache| cache.source().cloned());
            let attempt_spec = AttemptSpec {
                server: load_guard.server.clone(),
                time_left: self.call.time_left(Instant::now()),
                purpose: source.map_or(AttemptPurpose::Respond, AttemptPurpose::Decode),
                resume_after,
            };
            tracing::info!(
                event = events::STREAM_RESUMED,
                request_id = self.call.id(),
                server = %load_guard.server,
                after = resume_after,
                relayed = self.relayed,
                elapsed_ms = self.call.age_ms(),
                "stream resumed at another server"
            );
            metrics::counter!("umberglade_streams_resumed_total").increment(1);
            let cached = cache.as_ref().map(CacheGuard::software);
            let pinned = self.attempts.pinned_version.known();
            let needed = NeededVersion { pinned, cached };
            let replacement =
                next_server::reserve_after(RESUME_TIMEOUT, &self.state, &self.call, &self.attempts);
            let outcome = stream_open::open::<C>(
                &self.state,
                &self.call,
                load_guard,
                permit,
                &attempt_spec,
                needed,
                replacement,
            )
            .await;
            match outcome {
                OpenOutcome::Stream(stream) => {
                    if let Some(cache) = cache {
                        cache.disarm();
                    }
                    return Some(stream);
                }
                OpenOutcome::Responded(_) => self.attempts.runs += 1,
                OpenOutcome::Failed(AttemptFailure::Unsent) => self.attempts.record_unsent(),
                OpenOutcome::Failed(failure) if failure.is_not_run() => {}
                OpenOutcome::Failed(_) => self.attempts.runs += 1,
                OpenOutcome::Replaced(other) => {
                    self.attempts.runs += 1;
                    next = Some(other);
                }
            }
        }
    }

    /// Returns another server for the stream, whose server has stopped.
    async fn find_next(&mut self) -> Option<NextServer> {
        self.attempts.wait_for_quarantine_decision(&self.state, &self.call).await;
        let permit = self.attempts.permit(&self.state, &self.call)?;
        if self.call.time_left(Instant::now()).is_zero() {
            return None;
        }
        let load_guard = stream_run::place_retry(&self.state, &self.call, &self.attempts)?;
        Some(NextServer { load_guard, permit })
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
