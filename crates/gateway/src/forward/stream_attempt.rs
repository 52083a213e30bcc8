//! One attempt at a stream: the prefill of its prompt, if at a separate server, and its start at a
//! decode server.

use std::sync::Arc;
use std::time::Instant;

use super::Call;
use super::attempt_permit::AttemptPermit;
use super::cache_guard::CacheGuard;
use super::prefill_step;
use super::stream_open;
use super::stream_open::NeededVersion;
use super::stream_open::OpenOutcome;
use crate::codec::PlatformCodec;
use crate::events;
use crate::load_guard::LoadGuard;
use crate::model::AttemptPurpose;
use crate::model::AttemptSpec;
use crate::model::SoftwareDigest;
use crate::state::GatewayState;

/// A prefill at a separate server, with the permit to send it.
#[derive(Debug)]
pub struct PrefillPlan {
    pub load_guard: LoadGuard,
    pub permit: AttemptPermit,
    /// Version of the decode server, which reads no KV cache of another.
    pub software: Option<SoftwareDigest>,
}

/// Where the decode server gets the KV cache of the prompt.
#[derive(Debug)]
pub enum PromptSource<C: PlatformCodec> {
    /// It prefills the prompt itself.
    DecodeServer,
    /// The cache of a prefill that is still to be made. If that fails, the decode server prefills.
    Prefill(PrefillPlan),
    Cache(CacheGuard<C>),
}

/// One attempt, whose server is chosen and which is counted and permitted.
#[derive(Debug)]
pub struct StreamAttempt<C: PlatformCodec> {
    pub load_guard: LoadGuard,
    pub permit: AttemptPermit,
    pub prompt: PromptSource<C>,
    /// The version that wrote the caller's events.
    pub pinned: Option<SoftwareDigest>,
    /// The event after which the stream begins.
    pub resume_after: Option<u64>,
    /// Number of events that this gateway has relayed; `None` before the response has begun.
    pub relayed: Option<u64>,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptEnd<C: PlatformCodec> {
    pub outcome: OpenOutcome,
    /// The cache that was offered, unless a decode server has fetched it.
    pub cache: Option<CacheGuard<C>>,
}

impl<C: PlatformCodec> StreamAttempt<C> {
    /// Makes the attempt, up to the first event.
    pub async fn run(self, state: &Arc<GatewayState>, call: &Call) -> AttemptEnd<C> {
        let StreamAttempt { load_guard, permit, prompt, pinned, resume_after, relayed } = self;
        let cache = match prompt {
            PromptSource::DecodeServer => None,
            PromptSource::Cache(cache) => Some(cache),
            PromptSource::Prefill(PrefillPlan { load_guard, permit, software }) => {
                prefill_step::prefill::<C>(state, call, load_guard, permit, software, resume_after)
                    .await
                    .ok()
            }
        };
        if let Some(relayed) = relayed {
            log_resumed(call, &load_guard, resume_after, relayed);
        }
        let source = cache.as_ref().and_then(|cache| cache.source().cloned());
        let attempt_spec = AttemptSpec {
            server: load_guard.server.clone(),
            time_left: call.time_left(Instant::now()),
            purpose: source.map_or(AttemptPurpose::Respond, AttemptPurpose::Decode),
            resume_after,
        };
        let needed = NeededVersion { pinned, cached: cache.as_ref().map(CacheGuard::software) };
        let opened = stream_open::open::<C>(state, call, load_guard, permit, &attempt_spec, needed);
        let outcome = opened.await;
        let cache = match (&outcome, cache) {
            (OpenOutcome::Stream(_), Some(cache)) => {
                cache.disarm();
                None
            }
            (_, cache) => cache,
        };
        AttemptEnd { outcome, cache }
    }
}

fn log_resumed(call: &Call, load_guard: &LoadGuard, after: Option<u64>, relayed: u64) {
    metrics::counter!("umberglade_streams_resumed_total").increment(1);
    tracing::info!(
        event = events::STREAM_RESUMED,
        request_id = call.id(),
        server = %load_guard.server,
        after,
        relayed,
        elapsed_ms = call.age_ms(),
        "stream resumed at another server"
    );
}
