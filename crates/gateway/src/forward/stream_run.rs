//! A call that is answered by a stream: room, prompt, events.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::Response;

use super::Call;
use super::GatewayBody;
use super::Rejection;
use super::attempts::Attempts;
use super::cache_guard::CacheGuard;
use super::capacity_wait::FIRST_EVENT_TIME;
use super::capacity_wait::log_placed;
use super::capacity_wait::need;
use super::capacity_wait::room_after;
use super::capacity_wait::wait_for_capacity;
use super::exchange::SendFailure;
use super::prefill_step;
use super::reject::refuse_unanswered;
use super::reject::reject_call;
use super::relay;
use super::stream_open;
use super::stream_open::OpenEnd;
use crate::cluster::LoadShare;
use crate::cluster::place_decode;
use crate::cluster::place_prefill;
use crate::codec::PlatformCodec;
use crate::load_guard::LoadGuard;
use crate::model::AttemptPurpose;
use crate::model::AttemptSpec;
use crate::model::ServerKey;
use crate::state::GatewayState;
use crate::stop::CLOSE_TIME;

/// A first event later than this is not coming, as long as another server
/// may be tried: five times what it usually takes.
const FIRST_EVENT_PATIENCE: Duration = Duration::from_millis(1500);

/// Answers a streamed call.
pub async fn run<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: Arc<Call>,
    mut attempts: Attempts,
) -> Response<GatewayBody> {
    // Begun this late in a stop, a stream would be cut by its end.
    if state.stop.has_lasted(CLOSE_TIME) {
        return reject_call(&call, Rejection::Stopping, Some(Duration::ZERO), 0);
    }
    let shape = call.prompt_shape();
    let spec = call.engine_spec();
    let placed = match wait_for_capacity(state, &call, &attempts, &spec, &shape).await {
        Ok(placed) => placed,
        Err(refusal) => return refusal,
    };
    attempts.told_apart(state, &call).await;
    let mut cache = None;
    if let Some(hold) = placed.prefill
        && let Some(permit) = attempts.permit_prompt(state, &call)
    {
        let resume_after = call.head.resume_after;
        cache = prefill_step::prefill::<C>(state, &call, hold, permit, resume_after).await.ok();
    }
    open_somewhere::<C>(state, call, attempts, placed.decode, cache).await
}

/// Opens the stream at the server of `hold`, or at another where that is
/// allowed, and relays it.
async fn open_somewhere<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: Arc<Call>,
    mut attempts: Attempts,
    hold: LoadGuard,
    cache: Option<CacheGuard<C>>,
) -> Response<GatewayBody> {
    attempts.told_apart(state, &call).await;
    let mut next = attempts.permit(state, &call).map(|permit| (permit, hold, cache));
    let mut may_have_run = false;
    let mut refused_with_cache = 0;
    let mut answered = None;
    let ttl = call.engine_spec().handle_ttl;
    while let Some((permit, hold, cache)) = next.take() {
        let mut kept_cache = None;
        attempts.begin(&hold.server);
        let source = cache.as_ref().and_then(|cache| cache.source().cloned());
        let has_source = source.is_some();
        let order = AttemptSpec {
            server: hold.server.clone(),
            time_left: call.time_left(Instant::now()),
            purpose: source.map_or(AttemptPurpose::Respond, AttemptPurpose::Decode),
            resume_after: call.head.resume_after,
        };
        let patience = first_event_patience(&call, &attempts);
        let end = stream_open::open::<C>(state, &call, hold, permit, &order, patience).await;
        match end {
            OpenEnd::Stream(stream) => {
                if let Some(cache) = cache {
                    cache.taken();
                }
                return relay::relay::<C>(state, call, *stream, attempts);
            }
            OpenEnd::Answered(response) => {
                attempts.runs += 1;
                may_have_run = true;
                let is_error = response.status().is_server_error();
                if !(is_error && call.route.is_repeatable()) {
                    return response;
                }
                answered = Some(response);
            }
            OpenEnd::Failed(failure) if failure.is_not_run() => {
                // The KV cache was not fetched, so it is offered on: reading
                // the prompt again would cost as much as tens of tokens. A
                // server that refused with it may have found it gone, and it
                // is offered to one server more only.
                let is_offered_on = failure == SendFailure::Unsent || refused_with_cache == 0;
                if failure == SendFailure::Unsent {
                    attempts.note_unsent();
                }
                refused_with_cache += u32::from(has_source && failure == SendFailure::NotRun);
                kept_cache = cache.filter(|cache| is_offered_on && cache.is_fresh(ttl));
            }
            OpenEnd::Failed(_) => {
                attempts.runs += 1;
                may_have_run = true;
            }
        }
        let has_time = call.time_left(Instant::now()) > FIRST_EVENT_TIME;
        attempts.told_apart(state, &call).await;
        let permit = if has_time { attempts.permit(state, &call) } else { None };
        if let Some(permit) = permit {
            let resume_after = call.head.resume_after;
            let found = match kept_cache {
                Some(cache) => elsewhere(state, &call, &attempts).map(|hold| (hold, Some(cache))),
                None => read_elsewhere::<C>(state, &call, &mut attempts, resume_after).await,
            };
            next = found.map(|(hold, cache)| (permit, hold, cache));
        }
    }
    if let Some(response) = answered {
        return response;
    }
    let usual = || room_after(state, &call);
    refuse_unanswered(state, &call, &attempts, may_have_run, usual)
}

/// How long to wait for a first event: to the end when no other server may
/// be tried.
fn first_event_patience(call: &Call, attempts: &Attempts) -> Duration {
    let left = call.time_left(Instant::now());
    let may_repeat = call.route.is_repeatable() && attempts.runs + 1 < call.route.max_attempts;
    if may_repeat { left.min(FIRST_EVENT_PATIENCE) } else { left }
}

/// A decode server for a stream that could not be opened, or broke.
pub fn elsewhere(state: &Arc<GatewayState>, call: &Call, attempts: &Attempts) -> Option<LoadGuard> {
    let shape = call.prompt_shape();
    let server = {
        let fleet = state.fleet();
        let need = need(state, call, &attempts.tried);
        place_decode(&fleet, &call.engine_spec(), &shape, &need).ok()?
    };
    log_placed(state, call, &server, None, attempts.sends(), 0.0);
    Some(LoadGuard::begin(state, server, LoadShare::of_stream(&shape)))
}

/// Like [`elsewhere`], with the prompt read by a prefill server where that
/// is allowed.
///
/// Guards against streams held up by others: a decode server reads prompts
/// in small pieces between the tokens of its streams, and a few at once make
/// pauses of half a second in all of them.
pub async fn read_elsewhere<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: &Call,
    attempts: &mut Attempts,
    resume_after: Option<u64>,
) -> Option<(LoadGuard, Option<CacheGuard<C>>)> {
    let decode = elsewhere(state, call, attempts)?;
    let Some(server) = prefill_near(state, call, &decode) else { return Some((decode, None)) };
    let Some(permit) = attempts.permit_prompt(state, call) else { return Some((decode, None)) };
    let work = LoadShare::of_prompt(call.prompt_shape().prompt_tokens);
    let prefill = LoadGuard::begin(state, server, work);
    let cache = prefill_step::prefill::<C>(state, call, prefill, permit, resume_after).await.ok();
    Some((decode, cache))
}

/// A prefill server near the decode server, if there is any.
fn prefill_near(state: &Arc<GatewayState>, call: &Call, decode: &LoadGuard) -> Option<ServerKey> {
    let fleet = state.fleet();
    let domain = fleet.server(&decode.server)?.entry.domain.clone();
    place_prefill(&fleet, &domain, &need(state, call, &[])).ok()
}
