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
use crate::belief::ServerOutcome;
use crate::codec::PlatformCodec;
use crate::events;
use crate::model::CacheSource;
use crate::model::OnwardOrder;
use crate::model::SendPurpose;
use crate::state::GatewayState;
use crate::work_hold::WorkHold;

/// What reading a prompt may take besides its own tokens: the prompts ahead
/// of it, at most a handful.
const BASE_PATIENCE: Duration = Duration::from_millis(500);
/// Prompt tokens read in a millisecond at least; a third of an engine's
/// usual pace. One that takes longer is stuck, and the decode server reads
/// the prompt instead.
const SLOWEST_TOKENS_PER_MS: f64 = 18.0;

/// Reads the prompt, and the answer up to `resume_after`, at the server of
/// `hold`; the KV cache's guard.
pub async fn prefill<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    call: &Call,
    hold: WorkHold,
    permit: SendPermit,
    prompt_tokens: u32,
    resume_after: Option<u64>,
) -> Result<CacheGuard<C>, SendFailure> {
    let target = exchange::send_target(state, &hold.server).ok_or(SendFailure::Unsent)?;
    let begun = Instant::now();
    let time_left = call.time_left(begun);
    let own = Duration::from_secs_f64(f64::from(prompt_tokens) / SLOWEST_TOKENS_PER_MS / 1000.0);
    let patience = (BASE_PATIENCE + own).min(time_left);
    let order = OnwardOrder {
        server: target.server.clone(),
        time_left,
        purpose: SendPurpose::Prefill,
        resume_after,
    };
    let reply = exchange::exchange::<C>(state, call, &target, &order, permit, patience).await?;
    let status = reply.response.status();
    let read =
        async { reply.response.into_body().collect().await.map_err(|error| error.to_string()) };
    let late = async {
        smol::Timer::at(begun + patience).await;
        Err("the body did not arrive in time".to_owned())
    };
    let fail = |problem: &str| exchange::fail(state, call, &target, SendFailure::Broken, problem);
    let body = read.or(late).await.map_err(|problem| fail(&problem))?.to_bytes();
    if !reply.head.closes {
        state.pool.keep(&target, reply.connection, reply.head.keep_alive, Instant::now());
    }
    if !status.is_success() {
        return Err(fail(&format!("status {status}")));
    }
    let result = C::prefill_result(&body).map_err(|error| fail(&error.to_string()))?;
    reply.permit.settle();
    state.note_outcome(&target, ServerOutcome::Fine);
    tracing::info!(
        event = events::PREFILL_DONE,
        request_id = call.id(),
        server = %target.server,
        tokens = result.tokens,
        took_ms = begun.elapsed().as_millis() as u64,
        "prompt read"
    );
    let source = CacheSource { server: target.address, handle: result.handle };
    Ok(CacheGuard::new(state, target, source, call.id()))
}
