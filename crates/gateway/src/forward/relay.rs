//! Relays a stream to its caller, event by event, also across servers.

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
use super::answer;
use super::answer::BodyPiece;
use super::attempts::Attempts;
use super::exchange;
use super::exchange::SendFailure;
use super::stream_open;
use super::stream_open::OpenEnd;
use super::stream_open::OpenStream;
use super::stream_run;
use crate::cluster::ServerOutcome;
use crate::codec::PlatformCodec;
use crate::events;
use crate::in_flight_count::InFlightGuard;
use crate::model::OnwardOrder;
use crate::model::SendPurpose;
use crate::state::GatewayState;
use crate::timing::by_deadline;

/// A pause this many target gaps long means that the server is stuck. A
/// caller leaves after eight; the rest is for going on elsewhere.
const STUCK_GAPS: u32 = 4;
/// The same where the route names no target gap.
const DEFAULT_STUCK: Duration = Duration::from_millis(1200);
/// How long the first event from another server may take.
const RESUME_PATIENCE: Duration = Duration::from_millis(1500);

/// How a relay ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
enum RelayEnd {
    Whole,
    CallerLeft,
    Expired,
    Broken,
}

/// Why a server's stream gives nothing further.
enum StreamStop {
    Ended,
    Failed(SendFailure, String),
    Expired,
}

/// Begins the answer; a task relays the rest.
pub fn relay<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: Arc<Call>,
    stream: OpenStream,
    attempts: Attempts,
) -> Response<GatewayBody> {
    let first_event = call.arrived.elapsed();
    metrics::histogram!("umberglade_first_event_seconds").record(first_event.as_secs_f64());
    if attempts.sends() == 1 {
        let took = stream.hold.age();
        state.service_queues.with_opening(&call.service, |opening| opening.note(took));
    }
    let (sender, body) = answer::pieces();
    let mut response = Response::new(body);
    *response.status_mut() = stream.status;
    *response.headers_mut() = stream.headers.clone();
    let relay = Relay {
        state: Arc::clone(state),
        in_flight: state.flights.enter_request(),
        call,
        sender,
        attempts,
        last_id: None,
        relayed: 0,
        first_event,
        passed_at: Instant::now(),
        longest_gap: Duration::ZERO,
        codec: std::marker::PhantomData::<C>,
    };
    pool::spawn(relay.run(stream));
    response
}

struct Relay<C> {
    state: Arc<GatewayState>,
    /// Held so that a graceful stop waits for the stream.
    #[allow(dead_code)]
    in_flight: InFlightGuard,
    call: Arc<Call>,
    sender: Sender<BodyPiece>,
    attempts: Attempts,
    /// The id of the last event passed on.
    last_id: Option<u64>,
    relayed: u64,
    first_event: Duration,
    /// When the last event was passed on.
    passed_at: Instant,
    longest_gap: Duration,
    codec: std::marker::PhantomData<C>,
}

impl<C: PlatformCodec> Relay<C> {
    async fn run(mut self, stream: OpenStream) {
        let sender = self.sender.clone();
        // Guards against a server working on for a caller who left while no
        // event was due: no write fails then, but the body is dropped.
        let left = async {
            sender.closed().await;
            RelayEnd::CallerLeft
        };
        let end = self.relay_all(stream).or(left).await;
        if matches!(end, RelayEnd::Broken | RelayEnd::Expired) {
            // The receiver is gone only if the caller is.
            let _ = self.sender.send(Err(StreamBroken)).await;
        }
        self.log_end(end);
    }

    /// Relays `stream` and, where allowed, what other servers add to it.
    async fn relay_all(&mut self, stream: OpenStream) -> RelayEnd {
        let mut current = Box::new(stream);
        loop {
            let stop = match self.relay_one(&mut current).await {
                Ok(stop) => stop,
                Err(end) => return end,
            };
            let (failure, problem) = match stop {
                StreamStop::Ended => {
                    self.end_well(*current);
                    return RelayEnd::Whole;
                }
                StreamStop::Expired => return RelayEnd::Expired,
                StreamStop::Failed(failure, problem) => (failure, problem),
            };
            let lived = current.hold.age().saturating_sub(self.passed_at.elapsed());
            exchange::fail_midway(
                &self.state,
                &self.call,
                &current.target,
                failure,
                &problem,
                lived,
            );
            self.attempts.runs += 1;
            // The connection closes here, before another server begins, so
            // that two never work on one request.
            drop(current);
            match self.resume().await {
                Some(next) => current = next,
                None => return RelayEnd::Broken,
            }
        }
    }

    /// Relays one server's events until it stops; the error is the caller's
    /// leaving.
    async fn relay_one(&mut self, stream: &mut OpenStream) -> Result<StreamStop, RelayEnd> {
        let mut next = stream.first.take();
        let tokens_per_event = self.call.engine_spec().tokens_per_event;
        // A resumed stream's earlier events were read in as part of it.
        let mut made = self.relayed as u32 * tokens_per_event;
        let stuck = self.call.route.target_gap.map_or(DEFAULT_STUCK, |gap| gap * STUCK_GAPS);
        loop {
            if let Some(event) = next.take() {
                if !self.follows(&event) {
                    let problem = format!("event {:?} after {:?}", event.id, self.last_id);
                    return Ok(StreamStop::Failed(SendFailure::Garbled, problem));
                }
                self.pass_on(event).await?;
                made += tokens_per_event;
                stream.hold.advance(made);
            }
            let until = (Instant::now() + stuck).min(self.call.deadline);
            match by_deadline(until, stream.reader.next_event()).await {
                Some(Ok(Some(event))) => next = Some(event),
                Some(Ok(None)) if stream.reader.ended_whole() => return Ok(StreamStop::Ended),
                Some(Ok(None)) => {
                    let problem = "ended within an event".to_owned();
                    return Ok(StreamStop::Failed(SendFailure::Broken, problem));
                }
                Some(Err(error)) => {
                    return Ok(StreamStop::Failed(SendFailure::Broken, error.to_string()));
                }
                None if Instant::now() >= self.call.deadline => return Ok(StreamStop::Expired),
                None => {
                    let problem = format!("no event for {} ms", stuck.as_millis());
                    return Ok(StreamStop::Failed(SendFailure::Silent, problem));
                }
            }
        }
    }

    /// True when `event` is the one due: its id is the last one's successor.
    /// Guards against a piece missing or coming twice after a resumption.
    fn follows(&self, event: &StreamEvent) -> bool {
        match (self.last_id, event.id) {
            (Some(last), Some(id)) => id == last + 1,
            _ => true,
        }
    }

    async fn pass_on(&mut self, event: StreamEvent) -> Result<(), RelayEnd> {
        let StreamEvent { id, bytes } = event;
        self.send(bytes).await?;
        let now = Instant::now();
        self.longest_gap = self.longest_gap.max(now - self.passed_at);
        self.passed_at = now;
        self.relayed += 1;
        self.last_id = id.or(self.last_id);
        Ok(())
    }

    async fn send(&self, bytes: Bytes) -> Result<(), RelayEnd> {
        let sent = self.sender.send(Ok(Frame::data(bytes))).await;
        sent.map_err(|_| RelayEnd::CallerLeft)
    }

    fn end_well(&self, stream: OpenStream) {
        let made = self.relayed as u32 * self.call.engine_spec().tokens_per_event;
        let took = self.call.arrived.elapsed().saturating_sub(self.first_event);
        let service_queues = &self.state.service_queues;
        service_queues.with_outputs(&self.call.service, |outputs| outputs.note(made, took));
        let prompt_tokens = self.call.prompt_shape().prompt_tokens;
        let stay = stream.hold.age();
        service_queues.with_balance(&self.call.service, |balance| {
            balance.record_stream(prompt_tokens, made, stay);
        });
        self.state.note_outcome(&stream.target, ServerOutcome::Fine);
        if stream.is_delimited {
            self.state.note_whole(self.call.content, &stream.target);
        }
        if let Some(connection) = stream.connection {
            let target = &stream.target;
            self.state.pool.keep(target, connection, stream.keep_alive, Instant::now());
        }
    }

    /// Goes on at another server behind the last event passed on.
    async fn resume(&mut self) -> Option<Box<OpenStream>> {
        let resume_after = self.last_id.or(self.call.head.resume_after);
        loop {
            self.attempts.told_apart(&self.state, &self.call).await;
            let permit = self.attempts.permit(&self.state, &self.call)?;
            let left = self.call.time_left(Instant::now());
            if left.is_zero() {
                return None;
            }
            let (hold, cache) = stream_run::read_elsewhere::<C>(
                &self.state,
                &self.call,
                &mut self.attempts,
                resume_after,
            )
            .await?;
            self.attempts.begin(&hold.server);
            let source = cache.as_ref().and_then(|cache| cache.source().cloned());
            let order = OnwardOrder {
                server: hold.server.clone(),
                time_left: self.call.time_left(Instant::now()),
                purpose: source.map_or(SendPurpose::Answer, SendPurpose::Decode),
                resume_after,
            };
            tracing::info!(
                event = events::STREAM_RESUMED,
                request_id = self.call.id(),
                server = %hold.server,
                after = resume_after,
                relayed = self.relayed,
                elapsed_ms = self.call.age_ms(),
                "stream goes on elsewhere"
            );
            metrics::counter!("umberglade_streams_resumed_total").increment(1);
            let patience = RESUME_PATIENCE.min(left);
            let end =
                stream_open::open::<C>(&self.state, &self.call, hold, permit, &order, patience)
                    .await;
            match end {
                OpenEnd::Stream(stream) => {
                    if let Some(cache) = cache {
                        cache.taken();
                    }
                    return Some(stream);
                }
                OpenEnd::Answered(_) => self.attempts.runs += 1,
                OpenEnd::Failed(SendFailure::Unsent) => self.attempts.note_unsent(),
                OpenEnd::Failed(failure) if failure.is_not_run() => {}
                OpenEnd::Failed(_) => self.attempts.runs += 1,
            }
        }
    }

    fn log_end(&self, end: RelayEnd) {
        let event = match end {
            RelayEnd::Whole => events::CALL_DONE,
            RelayEnd::CallerLeft => events::CALLER_DISCONNECTED,
            RelayEnd::Expired | RelayEnd::Broken => events::STREAM_BROKEN,
        };
        let outcome = end.to_string();
        metrics::counter!("umberglade_streams_total", "outcome" => outcome).increment(1);
        tracing::info!(
            event,
            request_id = self.call.id(),
            route = %self.call.route.name,
            server = self.attempts.tried.last().map(|server| &**server),
            outcome = %end,
            events = self.relayed,
            last_id = self.last_id,
            sends = self.attempts.sends(),
            first_event_ms = self.first_event.as_millis() as u64,
            longest_gap_ms = self.longest_gap.as_millis() as u64,
            elapsed_ms = self.call.age_ms(),
            "stream over"
        );
    }
}
