//! Plain calls: sends them, and retries them where that is safe.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_lite::FutureExt;
use http::Response;
use http::response::Parts;
use smallvec::SmallVec;

use super::Call;
use super::GatewayBody;
use super::answer_end::AnswerBreak;
use super::answer_end::AnswerEnd;
use super::answer_end::end_break;
use super::answer_end::is_delimited;
use super::attempt_permit::AttemptPermit;
use super::attempts::Attempts;
use super::exchange;
use super::exchange::AttemptFailure;
use super::exchange::OpenResponse;
use super::long_response::BodyStart;
use super::long_response::LongResponse;
use super::long_response::pass_on;
use super::long_response::read_start;
use super::plain_placement::connect_patience;
use super::plain_placement::reserve_server;
use super::plain_placement::reserve_unopened;
use super::reject::reject_failed;
use super::response_body;
use crate::cluster::LoadShare;
use crate::cluster::ServerOutcome;
use crate::codec::PlatformCodec;
use crate::events;
use crate::load_guard::LoadGuard;
use crate::model::AttemptPurpose;
use crate::model::AttemptSpec;
use crate::model::ResponseHead;
use crate::model::ServerKey;
use crate::state::GatewayState;
use crate::timing::with_deadline;
use crate::upstream::SendTarget;
use crate::upstream::ServerConnection;
use crate::upstream::answer_limits::MAX_HELD_BYTES;

/// `Retry-After` of rejected plain calls: servers work on a call for tens of milliseconds, so
/// their capacity changes that fast.
const RETRY_AFTER: Duration = Duration::from_millis(60);
/// Fraction of the target latency after which an idempotent call is hedged: late enough that
/// few calls are hedged, as a call takes a fifth of its target on average, and early enough that
/// the second server can still meet the target.
const HEDGE_LATENCY_FRACTION: f64 = 0.6;
/// Hedge delay of routes without a target latency.
const DEFAULT_HEDGE_DELAY: Duration = Duration::from_millis(300);

/// The outcome of one attempt of a plain call.
enum PlainOutcome {
    /// The server's complete response.
    Responded(Response<GatewayBody>),
    Failed(AttemptFailure),
    /// No connection to the server opened in time: nothing was sent.
    Unopened(ServerKey),
}

impl PlainOutcome {
    fn is_final(&self, call: &Call) -> bool {
        match self {
            PlainOutcome::Responded(response) => {
                !(call.route.is_retryable() && response.status().is_server_error())
            }
            PlainOutcome::Failed(_) | PlainOutcome::Unopened(_) => false,
        }
    }
}

/// A server's error response to an earlier attempt, which the caller gets rather than a rejection
/// by the gateway.
type ErrorResponse = Option<Response<GatewayBody>>;

/// Returns the response to a plain call.
pub async fn run<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: Arc<Call>,
    mut attempts: Attempts,
) -> Response<GatewayBody> {
    let mut error_response = None;
    loop {
        attempts.wait_for_quarantine_decision(state, &call).await;
        if Instant::now() >= call.deadline {
            break;
        }
        let reserved = reserve_server(state, &call, &attempts)
            .or_else(|| reserve_unopened(state, &call, &mut attempts));
        let Some((server, permit)) = reserved else { break };
        attempts.record(&server);
        let tried = attempts.tried.clone();
        let first = pin!(send_attempt::<C>(state, &call, server, permit, tried));
        let outcome = match hedge_delay(&call, &attempts) {
            None => first.await,
            Some(after) => {
                let errors = &mut error_response;
                run_with_hedge::<C>(state, &call, first, after, &mut attempts, errors).await
            }
        };
        if outcome.is_final(&call) {
            let PlainOutcome::Responded(response) = outcome else {
                unreachable!("only responses are final")
            };
            return complete(&call, response, &attempts);
        }
        record_non_final(outcome, &mut attempts, &mut error_response);
    }
    finish(state, &call, &attempts, error_response)
}

/// Records an outcome that is not final.
fn record_non_final(
    outcome: PlainOutcome,
    attempts: &mut Attempts,
    error_response: &mut ErrorResponse,
) {
    match outcome {
        PlainOutcome::Responded(response) => *error_response = Some(response),
        PlainOutcome::Failed(failure) if failure.is_not_run() => {
            attempts.record_not_run(failure.is_unsent());
        }
        PlainOutcome::Unopened(server) => attempts.record_unopened(server),
        PlainOutcome::Failed(_) => {}
    }
}

/// Returns the delay before the call is hedged; `None` for calls that may run only once.
fn hedge_delay(call: &Call, attempts: &Attempts) -> Option<Duration> {
    let may_run_twice = call.route.is_retryable() && attempts.is_within_route_limits(call);
    may_run_twice.then(|| {
        let target = call.route.target_latency.map(|target| target.mul_f64(HEDGE_LATENCY_FRACTION));
        target.unwrap_or(DEFAULT_HEDGE_DELAY).saturating_sub(call.arrived.elapsed())
    })
}

/// Waits for `first`; after the delay `after`, sends the call to a second server too and
/// returns the first final outcome. If that server fails first, sends the call to a further one.
/// The outcome that is returned is not recorded yet.
///
/// Prevents a caller from waiting until its deadline for a server that stopped responding
/// while others would respond at once.
async fn run_with_hedge<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: &Arc<Call>,
    mut first: std::pin::Pin<&mut impl Future<Output = PlainOutcome>>,
    after: Duration,
    attempts: &mut Attempts,
    error_response: &mut ErrorResponse,
) -> PlainOutcome {
    if let Some(outcome) = with_deadline(Instant::now() + after, first.as_mut()).await {
        return outcome;
    }
    let first_server = attempts.tried.last().cloned();
    while Instant::now() < call.deadline
        && let Some((server, permit)) = reserve_server(state, call, attempts)
    {
        log_hedged(call, first_server.as_deref(), &server, after);
        attempts.record(&server);
        let tried = attempts.tried.clone();
        let mut next = pin!(send_attempt::<C>(state, call, server, permit, tried));
        let of_first = async { (true, first.as_mut().await) };
        let (is_first, outcome) = of_first.or(async { (false, next.as_mut().await) }).await;
        if outcome.is_final(call) {
            return outcome;
        }
        record_non_final(outcome, attempts, error_response);
        if is_first {
            return next.await;
        }
    }
    first.await
}

fn log_hedged(call: &Call, first: Option<&str>, second: &ServerKey, after: Duration) {
    metrics::counter!("umberglade_hedges_total").increment(1);
    tracing::info!(
        event = events::CALL_HEDGED,
        request_id = call.id(),
        first,
        %second,
        after_ms = after.as_millis() as u64,
        "sent to a second server"
    );
}

/// Sends `call` to `server`, the last of `tried`.
async fn send_attempt<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: &Arc<Call>,
    server: ServerKey,
    permit: AttemptPermit,
    tried: SmallVec<[ServerKey; 4]>,
) -> PlainOutcome {
    let Some(target) = exchange::send_target(state, &server, None) else {
        return PlainOutcome::Failed(AttemptFailure::Unsent);
    };
    let load_guard = LoadGuard::begin(state, server, LoadShare::of_call());
    let patience = || connect_patience(state, call, &tried);
    let time_left = call.time_left(Instant::now());
    let attempt_spec = AttemptSpec {
        server: target.server.clone(),
        time_left,
        purpose: AttemptPurpose::Respond,
        resume_after: call.head.resume_after,
    };
    let opened =
        exchange::exchange::<C>(state, call, &target, &attempt_spec, permit, time_left, &patience);
    match opened.await {
        Ok(opened) => read_response::<C>(state, call, &target, opened, load_guard).await,
        Err(AttemptFailure::Unopened) => PlainOutcome::Unopened(target.server),
        Err(failure) => PlainOutcome::Failed(failure),
    }
}

/// Reads the body of the response, which must be complete unless it is passed on.
async fn read_response<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: &Arc<Call>,
    target: &SendTarget,
    opened: OpenResponse,
    load_guard: LoadGuard,
) -> PlainOutcome {
    let OpenResponse { response, head, connection, sent_at, .. } = opened;
    let is_delimited = is_delimited(&response);
    let (parts, mut body) = response.into_parts();
    let is_error = parts.status.is_server_error();
    let broken = match with_deadline(call.deadline, read_start(&mut body)).await {
        Some(Ok(BodyStart::Whole(bytes))) => {
            match end_break::<C>(state, call, target, AnswerEnd::now(is_delimited), call.deadline)
                .await
            {
                Some(broken) => broken,
                None => {
                    record_whole(state, call, target, &parts, connection, &head);
                    let mut response = Response::new(response_body::full(bytes));
                    *response.status_mut() = parts.status;
                    *response.headers_mut() = C::response_headers(&parts.headers);
                    return PlainOutcome::Responded(response);
                }
            }
        }
        Some(Ok(BodyStart::Long(start))) if !is_error => {
            let long = LongResponse {
                head,
                parts,
                is_delimited,
                start,
                body,
                connection,
                sent_at,
                load_guard,
            };
            return PlainOutcome::Responded(pass_on::<C>(state, call, target, long));
        }
        Some(Ok(BodyStart::Long(_))) => AnswerBreak {
            failure: AttemptFailure::Garbled,
            problem: format!("an error of more than {MAX_HELD_BYTES} bytes"),
        },
        Some(Err(error)) => AnswerBreak::of_body(&error),
        None => AnswerBreak::silent("the body did not arrive in time"),
    };
    let AnswerBreak { failure, problem } = broken;
    // Closes the connection: the server may still be sending.
    drop((body, connection));
    let failure = exchange::record_failure(state, call, target, failure, &problem, sent_at).await;
    PlainOutcome::Failed(failure)
}

/// Records a response that was read to its end, and keeps its connection.
pub(super) fn record_whole(
    state: &Arc<GatewayState>,
    call: &Call,
    target: &SendTarget,
    parts: &Parts,
    connection: ServerConnection,
    head: &ResponseHead,
) {
    let is_error = parts.status.is_server_error();
    state.record_outcome(target, if is_error { ServerOutcome::Erred } else { ServerOutcome::Fine });
    if !is_error {
        state.record_completion(&call.suspects, target);
    }
    if !head.closes {
        state.pool.put(target, connection, head.keep_alive, Instant::now());
    }
}

fn complete(
    call: &Call,
    response: Response<GatewayBody>,
    attempts: &Attempts,
) -> Response<GatewayBody> {
    let elapsed = call.arrived.elapsed();
    metrics::histogram!("umberglade_answer_seconds").record(elapsed.as_secs_f64());
    tracing::info!(
        event = events::CALL_DONE,
        request_id = call.id(),
        route = %call.route.name,
        server = attempts.tried.last().map(|server| &**server),
        status = response.status().as_u16(),
        sends = attempts.count(),
        elapsed_ms = elapsed.as_millis() as u64,
        "completed"
    );
    response
}

/// Returns the response when no attempt had a final outcome.
fn finish(
    state: &GatewayState,
    call: &Call,
    attempts: &Attempts,
    error_response: ErrorResponse,
) -> Response<GatewayBody> {
    match error_response {
        Some(response) => complete(call, response, attempts),
        None => reject_failed(state, call, attempts, || RETRY_AFTER),
    }
}
