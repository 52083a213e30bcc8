//! Prefills a prompt at a prefill server.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_lite::FutureExt;
use umberglade_wire::client_connection::read_whole;

use super::Call;
use super::answer_end::AnswerBreak;
use super::answer_end::AnswerEnd;
use super::answer_end::end_break;
use super::answer_end::is_delimited;
use super::attempt_permit::AttemptPermit;
use super::cache_guard::CacheGuard;
use super::exchange;
use super::exchange::AttemptFailure;
use crate::cluster::ServerOutcome;
use crate::codec::PlatformCodec;
use crate::events;
use crate::load_guard::LoadGuard;
use crate::model::AttemptPurpose;
use crate::model::AttemptSpec;
use crate::model::CacheSource;
use crate::model::SoftwareDigest;
use crate::origins::SentVersion;
use crate::paths::NO_PATIENCE;
use crate::state::GatewayState;
use crate::upstream::SendTarget;
use crate::upstream::answer_limits::MAX_HANDLE_BYTES;

/// Time allowed for a prefill beyond a multiple of the typical time, so that a short pause of
/// an engine does not cause a time-out.
const BASE_TIMEOUT: Duration = Duration::from_millis(500);
/// Multiple of the typical time for the same number of tokens that a prefill may take. One
/// that takes longer is stalled, and the decode server prefills the prompt instead.
const TIMEOUT_FACTOR: u32 = 3;
/// Minimum number of prompt tokens prefilled per millisecond, assumed while no rate is known.
const DEFAULT_TOKENS_PER_MS: f64 = 18.0;

/// Returns the timeout of a prefill that completes after `tokens_ahead` tokens.
///
/// Prevents prompts from timing out because they are queued: prefilled again at another server,
/// they lengthen the queues, and healthy engines count as failed. At half the prefill rate
/// that fixed timeouts assume, most prompts time out.
fn prefill_timeout(state: &GatewayState, call: &Call, tokens_ahead: u32) -> Duration {
    let prefill_rate = state.estimates(&call.service).balance.reading;
    let typical = prefill_rate.estimate(tokens_ahead).map(|typical| typical * TIMEOUT_FACTOR);
    let default_time = || {
        let millis = f64::from(tokens_ahead) / DEFAULT_TOKENS_PER_MS;
        Duration::from_secs_f64(millis / 1000.0)
    };
    BASE_TIMEOUT + typical.unwrap_or_else(default_time)
}

/// Returns the prompt tokens that requests of all gateways have at a server, including this
/// prompt's.
fn queued_prompt_tokens(state: &GatewayState, target: &SendTarget) -> u32 {
    let fleet = state.fleet();
    let server_state = fleet.server(&target.server);
    server_state.map_or(0, |server_state| fleet.load(server_state, Instant::now()).prompt_tokens)
}

/// Prefills the prompt, and the response up to `resume_after`, at the server of `load_guard`, for a
/// decode server of `software`, which can't read the KV cache of another version.
/// Returns the guard of the KV cache.
pub async fn prefill<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: &Call,
    load_guard: LoadGuard,
    permit: AttemptPermit,
    software: Option<SoftwareDigest>,
    resume_after: Option<u64>,
) -> Result<CacheGuard<C>, AttemptFailure> {
    let target =
        exchange::send_target(state, &load_guard.server, software).ok_or(AttemptFailure::Unsent)?;
    let sent_version = SentVersion::of(state, &target);
    let started_at = Instant::now();
    let time_left = call.time_left(started_at);
    let tokens_ahead = queued_prompt_tokens(state, &target).max(call.prompt_shape().prompt_tokens);
    let timeout = prefill_timeout(state, call, tokens_ahead).min(time_left);
    let attempt_spec = AttemptSpec {
        server: target.server.clone(),
        time_left,
        purpose: AttemptPurpose::Prefill,
        resume_after,
    };
    let patience = NO_PATIENCE;
    let opened =
        exchange::exchange::<C>(state, call, &target, &attempt_spec, permit, timeout, patience)
            .await?;
    let status = opened.response.status();
    let is_delimited = is_delimited(&opened.response);
    let read = async {
        let read = read_whole(opened.response.into_body(), MAX_HANDLE_BYTES).await;
        read.map_err(|error| (AttemptFailure::of_body(&error), error.to_string()))
    };
    let timed_out = async {
        smol::Timer::at(started_at + timeout).await;
        Err((AttemptFailure::Silent, "the body did not arrive in time".to_owned()))
    };
    let fail = async |failure, problem: &str| {
        exchange::record_failure(state, call, &target, failure, problem, started_at).await
    };
    let body = match read.or(timed_out).await {
        Ok(body) => body,
        Err((failure, problem)) => return Err(fail(failure, &problem).await),
    };
    let opened_at = opened.connection.opened_at;
    if !opened.head.closes {
        state.pool.put(&target, opened.connection, opened.head.keep_alive, Instant::now());
    }
    if !status.is_success() {
        return Err(fail(AttemptFailure::Garbled, &format!("status {status}")).await);
    }
    let result = match C::prefill_result(&body) {
        Ok(result) => result,
        Err(error) => {
            let until = started_at + timeout;
            let broken =
                end_break::<C>(state, call, &target, AnswerEnd::now(is_delimited), until).await;
            let garbled =
                || AnswerBreak { failure: AttemptFailure::Garbled, problem: error.to_string() };
            let AnswerBreak { failure, problem } = broken.unwrap_or_else(garbled);
            return Err(fail(failure, &problem).await);
        }
    };
    opened.permit.settle();
    let took = started_at.elapsed();
    state
        .service_queues
        .with_stage_balance(&call.service, |balance| balance.reading.record(tokens_ahead, took));
    state.record_outcome(&target, ServerOutcome::Fine);
    tracing::info!(
        event = events::PREFILL_DONE,
        request_id = call.id(),
        server = %target.server,
        tokens = result.tokens,
        tokens_ahead,
        took_ms = took.as_millis() as u64,
        "prefill completed"
    );
    let source = CacheSource { server: target.address, handle: result.handle };
    let cache_version = software.unwrap_or_default();
    let cache = CacheGuard::new(state, target.clone(), source, cache_version, call.id());
    let answering = sent_version.confirm::<C>(state, &target, opened_at).await;
    if software.is_none() || answering != software {
        // Dropping the guard releases the cache.
        return Err(AttemptFailure::Misdirected);
    }
    Ok(cache)
}
