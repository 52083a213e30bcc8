//! Streamed calls: queues, prefills and opens them, with retries.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::Response;

use super::Call;
use super::GatewayBody;
use super::Rejection;
use super::attempts::Attempts;
use super::cache_guard::CacheGuard;
use super::capacity_wait::DEFAULT_FIRST_EVENT_TIME;
use super::capacity_wait::capacity_retry_after;
use super::capacity_wait::log_placed;
use super::capacity_wait::placement_request;
use super::capacity_wait::wait_for_capacity;
use super::exchange::AttemptFailure;
use super::next_server;
use super::next_server::NextServer;
use super::prefill_step;
use super::reject::reject_call;
use super::reject::reject_failed;
use super::relay;
use super::stream_open;
use super::stream_open::NeededVersion;
use super::stream_open::OpenOutcome;
use super::version_wait::wait_for_version;
use crate::cluster::LoadShare;
use crate::cluster::place_decode;
use crate::cluster::place_prefill;
use crate::codec::PlatformCodec;
use crate::load_guard::LoadGuard;
use crate::model::AttemptPurpose;
use crate::model::AttemptSpec;
use crate::model::PinnedVersion;
use crate::model::ServerKey;
use crate::model::SoftwareDigest;
use crate::origins::find_version;
use crate::origins::record_origin;
use crate::state::GatewayState;
use crate::stop::IDLE_CLOSE_DELAY;

/// Time without a first event after which another server is tried where there is one: five times
/// the typical time, after which the event is not expected to arrive.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1500);

/// `Retry-After` of a request that takes up a stream of unknown version: gateways that know it may
/// be reached by then.
const VERSION_UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Returns the response to a streamed call.
pub async fn run<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: Arc<Call>,
    mut attempts: Attempts,
) -> Response<GatewayBody> {
    // A stream that starts this late in a shutdown would be cut when the process ends.
    if state.stop.has_elapsed(IDLE_CLOSE_DELAY) {
        return reject_call(&call, Rejection::Stopping, Some(Duration::ZERO), 0);
    }
    attempts.pinned_version = find_version::<C>(state, &call).await;
    let placed = match attempts.pinned_version {
        PinnedVersion::Unknown => {
            let retry_after = Some(VERSION_UNKNOWN_RETRY_AFTER);
            return reject_call(&call, Rejection::VersionUnknown, retry_after, 0);
        }
        PinnedVersion::Known(_) if state.fleet().sole_version(&call.service).is_none() => {
            wait_for_version(state, &call, &attempts).await
        }
        PinnedVersion::Known(_) | PinnedVersion::Any => {
            wait_for_capacity(state, &call, &attempts).await
        }
    };
    let placed = match placed {
        Ok(placed) => placed,
        Err(rejection) => return rejection,
    };
    attempts.wait_for_quarantine_decision(state, &call).await;
    let mut cache = None;
    if let Some(load_guard) = placed.prefill
        && let Some(permit) = attempts.permit_prefill(state, &call)
    {
        let resume_after = call.head.resume_after;
        let software = software_of(state, &placed.decode);
        let prefilled =
            prefill_step::prefill::<C>(state, &call, load_guard, permit, software, resume_after);
        cache = prefilled.await.ok();
    }
    open_with_retries::<C>(state, call, attempts, placed.decode, cache).await
}

/// Opens the stream at the server of `load_guard`, or at another where that is allowed, and
/// relays it.
async fn open_with_retries<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: Arc<Call>,
    mut attempts: Attempts,
    load_guard: LoadGuard,
    cache: Option<CacheGuard<C>>,
) -> Response<GatewayBody> {
    attempts.wait_for_quarantine_decision(state, &call).await;
    let mut next = attempts.permit(state, &call).map(|permit| (permit, load_guard, cache));
    let mut may_have_run = false;
    let mut rejected_with_cache = 0;
    let mut error_response = None;
    let ttl = call.engine_spec().handle_ttl;
    while let Some((permit, load_guard, cache)) = next.take() {
        let mut reusable_cache = None;
        attempts.record(&load_guard.server);
        let source = cache.as_ref().and_then(|cache| cache.source().cloned());
        let has_source = source.is_some();
        let attempt_spec = AttemptSpec {
            server: load_guard.server.clone(),
            time_left: call.time_left(Instant::now()),
            purpose: source.map_or(AttemptPurpose::Respond, AttemptPurpose::Decode),
            resume_after: call.head.resume_after,
        };
        let needed = NeededVersion {
            pinned: attempts.pinned_version.known(),
            cached: cache.as_ref().map(CacheGuard::software),
        };
        let replacement = next_server::reserve_after(FIRST_EVENT_TIMEOUT, state, &call, &attempts);
        let outcome = stream_open::open::<C>(
            state,
            &call,
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
                attempts.pinned_version =
                    stream.software.map_or(PinnedVersion::Unknown, PinnedVersion::Known);
                if let Some(software) = stream.software {
                    record_origin(state, &call, software, stream.target.incarnation).await;
                }
                return relay::relay::<C>(state, call, *stream, attempts);
            }
            OpenOutcome::Responded(response) => {
                attempts.runs += 1;
                may_have_run = true;
                let is_error = response.status().is_server_error();
                if !(is_error && call.route.is_retryable()) {
                    return response;
                }
                error_response = Some(response);
            }
            OpenOutcome::Failed(failure) if failure.is_not_run() => {
                // The KV cache was not fetched, so it is offered to the next server: another
                // prefill would cost as much as tens of tokens. A server that rejected the
                // request may have found the cache missing, so only one more is offered it.
                let is_offered_again =
                    failure == AttemptFailure::Unsent || rejected_with_cache == 0;
                if failure == AttemptFailure::Unsent {
                    attempts.record_unsent();
                }
                rejected_with_cache += u32::from(has_source && failure == AttemptFailure::NotRun);
                reusable_cache = cache.filter(|cache| is_offered_again && cache.is_fresh(ttl));
            }
            OpenOutcome::Failed(_) => {
                attempts.runs += 1;
                may_have_run = true;
            }
            OpenOutcome::Replaced(NextServer { load_guard, permit }) => {
                attempts.runs += 1;
                may_have_run = true;
                let resume_after = call.head.resume_after;
                let cache =
                    prefill_nearby::<C>(state, &call, &mut attempts, &load_guard, resume_after)
                        .await;
                next = Some((permit, load_guard, cache));
                continue;
            }
        }
        let has_time = call.time_left(Instant::now()) > DEFAULT_FIRST_EVENT_TIME;
        attempts.wait_for_quarantine_decision(state, &call).await;
        let permit = if has_time { attempts.permit(state, &call) } else { None };
        if let Some(permit) = permit {
            let resume_after = call.head.resume_after;
            let found = match reusable_cache {
                Some(cache) => place_with_cache(state, &call, &attempts, cache),
                None => prefill_retry::<C>(state, &call, &mut attempts, resume_after).await,
            };
            next = found.map(|(load_guard, cache)| (permit, load_guard, cache));
        }
    }
    if let Some(response) = error_response {
        return response;
    }
    let usual_delay = || capacity_retry_after(state, &call);
    reject_failed(state, &call, &attempts, may_have_run, usual_delay)
}

/// Places a stream that failed, or could not be opened, at another decode server.
pub fn place_retry(
    state: &Arc<GatewayState>,
    call: &Call,
    attempts: &Attempts,
) -> Option<LoadGuard> {
    let server = choose_retry(state, call, attempts)?;
    Some(begin_retry(state, call, attempts, server))
}

/// Places a stream whose KV cache is still offered: at a server that can read the cache, or else at
/// any other without it.
fn place_with_cache<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: &Call,
    attempts: &Attempts,
    cache: CacheGuard<C>,
) -> Option<(LoadGuard, Option<CacheGuard<C>>)> {
    let of_version = choose_decode(state, call, attempts, Some(cache.software()));
    if let Some(server) = of_version {
        return Some((begin_retry(state, call, attempts, server), Some(cache)));
    }
    place_retry(state, call, attempts).map(|load_guard| (load_guard, None))
}

/// Returns another decode server with capacity for the stream.
pub fn choose_retry(state: &GatewayState, call: &Call, attempts: &Attempts) -> Option<ServerKey> {
    if attempts.pinned_version == PinnedVersion::Unknown {
        return None;
    }
    choose_decode(state, call, attempts, attempts.pinned_version.known())
}

fn choose_decode(
    state: &GatewayState,
    call: &Call,
    attempts: &Attempts,
    software: Option<SoftwareDigest>,
) -> Option<ServerKey> {
    let fleet = state.fleet();
    let request = placement_request(state, call, &attempts.tried, software);
    place_decode(&fleet, &call.engine_spec(), &call.prompt_shape(), &request).ok()
}

/// Counts the stream's load at `server`, to which it goes next.
pub fn begin_retry(
    state: &Arc<GatewayState>,
    call: &Call,
    attempts: &Attempts,
    server: ServerKey,
) -> LoadGuard {
    log_placed(state, call, &server, None, attempts.count(), 0.0);
    LoadGuard::begin(state, server, LoadShare::of_stream(&call.prompt_shape()))
}

/// Like [`place_retry`], with a prefill at a separate server where that is allowed.
async fn prefill_retry<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: &Call,
    attempts: &mut Attempts,
    resume_after: Option<u64>,
) -> Option<(LoadGuard, Option<CacheGuard<C>>)> {
    let decode = place_retry(state, call, attempts)?;
    let cache = prefill_nearby::<C>(state, call, attempts, &decode, resume_after).await;
    Some((decode, cache))
}

/// Prefills the prompt of a retry at `decode` at a separate server, where that is allowed.
///
/// Prevents retries from delaying other streams: a decode server prefills prompts in small
/// chunks between the tokens of its streams, and a few at once pause all of them for half a
/// second.
pub async fn prefill_nearby<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: &Call,
    attempts: &mut Attempts,
    decode: &LoadGuard,
    resume_after: Option<u64>,
) -> Option<CacheGuard<C>> {
    let software = software_of(state, decode);
    let server = nearby_prefill(state, call, decode, software)?;
    let permit = attempts.permit_prefill(state, call)?;
    let load_share = LoadShare::of_prompt(call.prompt_shape().prompt_tokens);
    let prefill = LoadGuard::begin(state, server, load_share);
    prefill_step::prefill::<C>(state, call, prefill, permit, software, resume_after).await.ok()
}

/// Returns the version of the server of `load_guard`, if it is still known.
fn software_of(state: &GatewayState, load_guard: &LoadGuard) -> Option<SoftwareDigest> {
    state.fleet().server(&load_guard.server).map(|server_state| server_state.software)
}

/// Returns a prefill server of `software`, preferably in the failure domain of the decode server.
fn nearby_prefill(
    state: &Arc<GatewayState>,
    call: &Call,
    decode: &LoadGuard,
    software: Option<SoftwareDigest>,
) -> Option<ServerKey> {
    let fleet = state.fleet();
    let domain = fleet.server(&decode.server)?.entry.domain.clone();
    place_prefill(&fleet, &domain, &placement_request(state, call, &[], software)).ok()
}
