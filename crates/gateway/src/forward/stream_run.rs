//! Streamed calls: queues, prefills and opens them, with retries.

use std::sync::Arc;
use std::time::Duration;

use http::Response;

use super::Call;
use super::GatewayBody;
use super::Rejection;
use super::attempts::Attempts;
use super::cache_guard::CacheGuard;
use super::capacity_wait::capacity_retry_after;
use super::capacity_wait::wait_for_capacity;
use super::kept_stream::KeptStream;
use super::prefill_step;
use super::reject::reject_call;
use super::reject::reject_failed;
use super::relay;
use super::stream_attempt::PrefillPlan;
use super::stream_attempt::PromptSource;
use super::stream_attempt::StreamAttempt;
use super::stream_opener::Opening;
use super::stream_opener::StreamOpener;
use super::stream_opener::StreamStart;
use super::stream_placement::log_placed;
use super::stream_placement::placement_request;
use super::version_wait::wait_for_version;
use crate::cluster::LoadShare;
use crate::cluster::place_decode;
use crate::cluster::place_prefill;
use crate::codec::PlatformCodec;
use crate::load_guard::LoadGuard;
use crate::model::PinnedVersion;
use crate::model::ServerKey;
use crate::model::SoftwareDigest;
use crate::origins::find_version;
use crate::origins::record_origin;
use crate::state::GatewayState;

/// `Retry-After` of a request that takes up a stream of unknown version: gateways that know it may
/// be reached by then.
const VERSION_UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Returns the response to a streamed call.
pub async fn run<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: Arc<Call>,
    mut attempts: Attempts,
) -> Response<GatewayBody> {
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
    open_and_relay::<C>(state, call, attempts, placed.decode, cache).await
}

/// Opens the stream at the server of `load_guard`, or at another where that is allowed, and
/// relays it.
async fn open_and_relay<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: Arc<Call>,
    mut attempts: Attempts,
    load_guard: LoadGuard,
    cache: Option<CacheGuard<C>>,
) -> Response<GatewayBody> {
    attempts.wait_for_quarantine_decision(state, &call).await;
    let opening = match attempts.permit(state, &call) {
        None => Opening::Exhausted { error_response: None },
        Some(permit) => {
            attempts.record(&load_guard.server);
            let first = StreamAttempt {
                load_guard,
                permit,
                prompt: cache.map_or(PromptSource::DecodeServer, PromptSource::Cache),
                pinned: attempts.pinned_version.known(),
                resume_after: call.head.resume_after,
                relayed: None,
            };
            let kept = KeptStream::default();
            let start = StreamStart::Begins;
            let opener = StreamOpener::<C>::new(state, &call, &mut attempts, start, &kept);
            opener.open(Some(first)).await
        }
    };
    match opening {
        Opening::Stream(stream) => {
            attempts.pinned_version =
                stream.software.map_or(PinnedVersion::Unknown, PinnedVersion::Known);
            if let Some(software) = stream.software {
                record_origin(state, &call, software, stream.target.incarnation).await;
            }
            relay::relay::<C>(state, call, *stream, attempts)
        }
        Opening::Responded(response) | Opening::Exhausted { error_response: Some(response) } => {
            response
        }
        Opening::Exhausted { error_response: None } => {
            reject_failed(state, &call, &attempts, || capacity_retry_after(state, &call))
        }
    }
}

/// Returns another decode server with capacity for the stream.
pub fn choose_retry(state: &GatewayState, call: &Call, attempts: &Attempts) -> Option<ServerKey> {
    if attempts.pinned_version == PinnedVersion::Unknown {
        return None;
    }
    choose_decode(state, call, attempts, attempts.pinned_version.known())
}

/// Returns another decode server of `software` with capacity for the stream.
pub fn choose_decode(
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

/// Plans where the KV cache of a retry at `decode` comes from: a separate prefill server, where that
/// is allowed.
///
/// Prevents retries from delaying other streams: a decode server prefills prompts in small
/// chunks between the tokens of its streams, and a few at once pause all of them for half a
/// second.
pub fn plan_prefill<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: &Call,
    attempts: &mut Attempts,
    decode: &LoadGuard,
) -> PromptSource<C> {
    let software = software_of(state, decode);
    let Some(server) = nearby_prefill(state, call, decode, software) else {
        return PromptSource::DecodeServer;
    };
    let Some(permit) = attempts.permit_prefill(state, call) else {
        return PromptSource::DecodeServer;
    };
    let load_share = LoadShare::of_prompt(call.prompt_shape().prompt_tokens);
    let load_guard = LoadGuard::begin(state, server, load_share);
    PromptSource::Prefill(PrefillPlan { load_guard, permit, software })
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
