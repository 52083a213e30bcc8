//! A call that is answered whole: sent, and sent again where that is safe.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_lite::FutureExt;
use http::Response;
use http_body_util::BodyExt;

use super::Call;
use super::GatewayBody;
use super::answer;
use super::attempts::Attempts;
use super::capacity_wait::need;
use super::exchange;
use super::exchange::OpenReply;
use super::exchange::SendFailure;
use super::exchange::is_delimited;
use super::reject::refuse_unanswered;
use super::send_permit::SendPermit;
use crate::cluster::LoadShare;
use crate::cluster::ServerOutcome;
use crate::cluster::place_plain;
use crate::codec::PlatformCodec;
use crate::events;
use crate::load_guard::LoadGuard;
use crate::model::OnwardOrder;
use crate::model::RequestRate;
use crate::model::SendPurpose;
use crate::model::ServerKey;
use crate::state::GatewayState;
use crate::timing::by_deadline;
use crate::upstream::SendTarget;

/// How soon a refused caller of a plain call may come back: its servers
/// work for tens of milliseconds a call, so room comes and goes that fast.
const RETRY_AFTER: Duration = Duration::from_millis(60);
/// The share of the target latency after which an idempotent call goes to a
/// second server as well: late enough that few do (calls take a fifth of
/// their target on the mean), early enough that the second still meets it.
const HEDGE_AT: f64 = 0.6;
/// Hedged after this long where the route names no target.
const DEFAULT_HEDGE: Duration = Duration::from_millis(300);

/// How one send ended.
enum SendEnd {
    /// The server's own answer, read whole.
    Answered(Response<GatewayBody>),
    Failed(SendFailure),
}

impl SendEnd {
    fn is_final(&self, call: &Call) -> bool {
        match self {
            SendEnd::Answered(response) => {
                !(call.route.is_repeatable() && response.status().is_server_error())
            }
            SendEnd::Failed(_) => false,
        }
    }
}

/// What the sends so far leave to answer with.
#[derive(Default)]
struct Leftover {
    /// A server's own failure: better than ours.
    answered: Option<Response<GatewayBody>>,
    /// True when some server may have run the request.
    may_have_run: bool,
}

/// Answers a plain call.
pub async fn run<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: Arc<Call>,
    mut attempts: Attempts,
) -> Response<GatewayBody> {
    let mut leftover = Leftover::default();
    loop {
        attempts.told_apart(state, &call).await;
        let Some(permit) = attempts.permit(state, &call) else { break };
        if Instant::now() >= call.deadline {
            break;
        }
        let Some(server) = place(state, &call, &attempts) else { break };
        attempts.begin(&server);
        let first = pin!(send_once::<C>(state, &call, server, permit));
        let end = match hedge_after(&call, &attempts) {
            None => first.await,
            Some(after) => {
                match race_timer::<C>(state, &call, first, after, &mut attempts, &mut leftover)
                    .await
                {
                    Some(end) => end,
                    None => continue,
                }
            }
        };
        if end.is_final(&call) {
            let SendEnd::Answered(response) = end else { unreachable!("only answers are final") };
            return done(&call, response, &attempts);
        }
        take_in(end, &mut attempts, &mut leftover);
    }
    finish(state, &call, &attempts, leftover)
}

/// Counts an end that is not final.
fn take_in(end: SendEnd, attempts: &mut Attempts, leftover: &mut Leftover) {
    match end {
        SendEnd::Answered(response) => {
            attempts.runs += 1;
            leftover.may_have_run = true;
            leftover.answered = Some(response);
        }
        SendEnd::Failed(SendFailure::Unsent) => attempts.note_unsent(),
        SendEnd::Failed(failure) if failure.is_not_run() => {}
        SendEnd::Failed(_) => {
            attempts.runs += 1;
            leftover.may_have_run = true;
        }
    }
}

/// When to send to a second server as well; never for calls that may run
/// only once.
fn hedge_after(call: &Call, attempts: &Attempts) -> Option<Duration> {
    let may_run_twice = call.route.is_repeatable() && attempts.runs + 2 <= call.route.max_attempts;
    may_run_twice.then(|| {
        let target = call.route.target_latency.map(|target| target.mul_f64(HEDGE_AT));
        target.unwrap_or(DEFAULT_HEDGE).saturating_sub(call.arrived.elapsed())
    })
}

/// Waits for `first`; once `after` has passed, sends to a second server as
/// well and takes the first final answer. `None` when neither was final:
/// both are taken in then.
///
/// Guards against a server that has gone silent: without it the caller
/// waits for the whole deadline, though others would answer at once.
async fn race_timer<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: &Arc<Call>,
    mut first: std::pin::Pin<&mut impl Future<Output = SendEnd>>,
    after: Duration,
    attempts: &mut Attempts,
    leftover: &mut Leftover,
) -> Option<SendEnd> {
    if let Some(end) = by_deadline(Instant::now() + after, first.as_mut()).await {
        return Some(end);
    }
    let permit = attempts.permit(state, call);
    let second = permit.and_then(|permit| Some((place(state, call, attempts)?, permit)));
    let Some((server, permit)) = second else { return Some(first.await) };
    tracing::info!(
        event = events::CALL_HEDGED,
        request_id = call.id(),
        first = attempts.tried.last().map(|server| &**server),
        second = %server,
        after_ms = after.as_millis() as u64,
        "sent to a second server"
    );
    metrics::counter!("umberglade_hedges_total").increment(1);
    attempts.begin(&server);
    let mut second = pin!(send_once::<C>(state, call, server, permit));
    let (is_first, end) =
        async { (true, first.as_mut().await) }.or(async { (false, second.as_mut().await) }).await;
    if end.is_final(call) {
        return Some(end);
    }
    take_in(end, attempts, leftover);
    let end = if is_first { second.await } else { first.await };
    if end.is_final(call) {
        return Some(end);
    }
    take_in(end, attempts, leftover);
    None
}

fn place(state: &GatewayState, call: &Call, attempts: &Attempts) -> Option<ServerKey> {
    let fleet = state.fleet();
    let need = need(state, call, &attempts.tried);
    let place = place_plain(&fleet, &need).ok()?;
    let server_state = fleet.server(&place.server)?;
    tracing::info!(
        event = events::PLAIN_PLACED,
        request_id = call.id(),
        route = %call.route.name,
        service = %call.service,
        config = call.config,
        server = %place.server,
        domain = %server_state.entry.domain,
        row_version = server_state.version,
        own = server_state.local_load.running,
        all = fleet.load(server_state, need.now).running,
        failure_share = server_state.health.failure_fraction(need.now),
        limit = fleet.limits.limit(server_state.incarnation).map(RequestRate::per_second),
        cost = place.cost,
        attempt = attempts.sends(),
        "placed"
    );
    Some(place.server)
}

async fn send_once<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: &Arc<Call>,
    server: ServerKey,
    permit: SendPermit,
) -> SendEnd {
    let Some(target) = exchange::send_target(state, &server) else {
        return SendEnd::Failed(SendFailure::Unsent);
    };
    let _hold = LoadGuard::begin(state, server, LoadShare::of_call());
    let time_left = call.time_left(Instant::now());
    let order = OnwardOrder {
        server: target.server.clone(),
        time_left,
        purpose: SendPurpose::Answer,
        resume_after: call.head.resume_after,
    };
    match exchange::exchange::<C>(state, call, &target, &order, permit, time_left).await {
        Ok(reply) => read_whole::<C>(state, call, &target, reply).await,
        Err(failure) => SendEnd::Failed(failure),
    }
}

/// Reads the answer's body; it counts only when it came whole.
async fn read_whole<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: &Call,
    target: &SendTarget,
    reply: OpenReply,
) -> SendEnd {
    let (parts, body) = reply.response.into_parts();
    let read = match by_deadline(call.deadline, body.collect()).await {
        Some(Ok(collected)) => Ok(collected.to_bytes()),
        Some(Err(error)) => Err((SendFailure::Broken, error.to_string())),
        None => Err((SendFailure::Silent, "the body did not arrive in time".to_owned())),
    };
    let body: Bytes = match read {
        Ok(body) => body,
        Err((failure, problem)) => {
            return SendEnd::Failed(exchange::fail(state, call, target, failure, &problem));
        }
    };
    let is_error = parts.status.is_server_error();
    state.note_outcome(target, if is_error { ServerOutcome::Erred } else { ServerOutcome::Fine });
    if !is_error && is_delimited(&parts.headers) {
        state.note_whole(call.content, target);
    }
    if !reply.head.closes {
        state.pool.keep(target, reply.connection, reply.head.keep_alive, Instant::now());
    }
    let mut response = Response::new(answer::whole(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = C::response_headers(&parts.headers);
    SendEnd::Answered(response)
}

fn done(
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
        sends = attempts.sends(),
        elapsed_ms = elapsed.as_millis() as u64,
        "answered"
    );
    response
}

/// The answer when no send was final.
fn finish(
    state: &GatewayState,
    call: &Call,
    attempts: &Attempts,
    leftover: Leftover,
) -> Response<GatewayBody> {
    match leftover.answered {
        Some(response) => done(call, response, attempts),
        None => refuse_unanswered(state, call, attempts, leftover.may_have_run, || RETRY_AFTER),
    }
}
