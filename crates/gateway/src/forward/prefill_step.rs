//! Has a prompt read by a prefill server.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_lite::FutureExt;
use http_body_util::BodyExt;

use super::Call;
use super::cache_guard::CacheGuard;
use super::exchange;
use super::exchange::SendFailure;
use super::send_permit::SendPermit;
use crate::cluster::ServerOutcome;
use crate::codec::PlatformCodec;
use crate::events;
use crate::load_guard::LoadGuard;
use crate::model::CacheSource;
use crate::model::OnwardOrder;
use crate::model::SendPurpose;
use crate::state::GatewayState;
use crate::upstream::SendTarget;

/// What a prompt may take beyond a multiple of the usual time: a paused engine
/// is not given up for a hiccup.
const BASE_PATIENCE: Duration = Duration::from_millis(500);
/// How many times the usual time for as many tokens a prompt may take. One that
/// takes longer is stuck, and the decode server reads the prompt instead.
const PATIENCE_TIMES: u32 = 3;
/// Prompt tokens read in a millisecond, at least, while no pace is known.
const UNKNOWN_TOKENS_PER_MS: f64 = 18.0;

/// How long to wait for a prompt that ends `tokens_ahead` tokens from now.
///
/// Guards against prompts given up because they queue: read anew elsewhere,
/// they make the queues longer, and healthy engines count as failed. With half
/// the pace that the constants were made for, most were given up.
fn patience(state: &GatewayState, call: &Call, tokens_ahead: u32) -> Duration {
    let reading = state.learned(&call.service).balance.reading;
    let usual = reading.estimate(tokens_ahead).map(|usual| usual * PATIENCE_TIMES);
    let slowest = || {
        let millis = f64::from(tokens_ahead) / UNKNOWN_TOKENS_PER_MS;
        Duration::from_secs_f64(millis / 1000.0)
    };
    BASE_PATIENCE + usual.unwrap_or_else(slowest)
}

/// Prompt tokens that all gateways have at a server, this prompt's included.
fn tokens_at(state: &GatewayState, target: &SendTarget) -> u32 {
    let fleet = state.fleet();
    let server_state = fleet.server(&target.server);
    server_state.map_or(0, |server_state| fleet.load(server_state, Instant::now()).prompt_tokens)
}

/// Reads the prompt, and the answer up to `resume_after`, at the server of
/// `hold`; the KV cache's guard.
pub async fn prefill<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: &Call,
    hold: LoadGuard,
    permit: SendPermit,
    resume_after: Option<u64>,
) -> Result<CacheGuard<C>, SendFailure> {
    let target = exchange::send_target(state, &hold.server).ok_or(SendFailure::Unsent)?;
    let begun = Instant::now();
    let time_left = call.time_left(begun);
    let tokens_ahead = tokens_at(state, &target).max(call.prompt_shape().prompt_tokens);
    let patience = patience(state, call, tokens_ahead).min(time_left);
    let order = OnwardOrder {
        server: target.server.clone(),
        time_left,
        purpose: SendPurpose::Prefill,
        resume_after,
    };
    let reply = exchange::exchange::<C>(state, call, &target, &order, permit, patience).await?;
    let status = reply.response.status();
    let read = async {
        let collected = reply.response.into_body().collect().await;
        collected.map_err(|error| (SendFailure::Broken, error.to_string()))
    };
    let late = async {
        smol::Timer::at(begun + patience).await;
        Err((SendFailure::Silent, "the body did not arrive in time".to_owned()))
    };
    let fail = |failure, problem: &str| exchange::fail(state, call, &target, failure, problem);
    let body = read.or(late).await.map_err(|(failure, problem)| fail(failure, &problem))?;
    let body = body.to_bytes();
    if !reply.head.closes {
        state.pool.keep(&target, reply.connection, reply.head.keep_alive, Instant::now());
    }
    if !status.is_success() {
        return Err(fail(SendFailure::Garbled, &format!("status {status}")));
    }
    let result =
        C::prefill_result(&body).map_err(|error| fail(SendFailure::Garbled, &error.to_string()))?;
    reply.permit.settle();
    let took = begun.elapsed();
    state
        .service_queues
        .with_stage_balance(&call.service, |balance| balance.reading.record(tokens_ahead, took));
    state.note_outcome(&target, ServerOutcome::Fine);
    tracing::info!(
        event = events::PREFILL_DONE,
        request_id = call.id(),
        server = %target.server,
        tokens = result.tokens,
        tokens_ahead,
        took_ms = took.as_millis() as u64,
        "prompt read"
    );
    let source = CacheSource { server: target.address, handle: result.handle };
    Ok(CacheGuard::new(state, target, source, call.id()))
}
