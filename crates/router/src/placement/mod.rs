//! Placement: chooses the backend server for each stage of a request.
//!
//! [`Placement`] is a trait so that the default policy and the baselines share the pipeline. The
//! daemon is generic over it and does not use `dyn`.

mod affinity;
mod baseline;
mod prefix_index;

use std::sync::Arc;

use smallvec::SmallVec;
use umberglade_wire::engine::Priority;
use umberglade_wire::ids::ServerId;

pub use self::affinity::AffinityPlacement;
pub use self::baseline::LeastLoadedPlacement;
pub use self::baseline::RoundRobinPlacement;
pub use self::prefix_index::PrefixIndex;
use crate::control::ServerSlot;
use crate::preset::Preset;
use crate::prompt::PromptShape;

/// How many candidates' scores are logged with a decision, best first.
pub const MAX_LOGGED_SCORES: usize = 8;

/// A server and its score (higher is better).
#[derive(Debug, Clone, PartialEq)]
pub struct ScoredServer {
    pub server: ServerId,
    pub score: f64,
}

/// The chosen server, with the scores of the best candidates for the log.
#[derive(Debug, Clone)]
pub struct Choice {
    /// Index into the candidates.
    pub index: usize,
    /// At most [`MAX_LOGGED_SCORES`], best first.
    pub scores: SmallVec<[ScoredServer; MAX_LOGGED_SCORES]>,
}

/// The inputs of a placement decision for one request.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    pub shape: &'a PromptShape,
    pub priority: Priority,
    pub preset: &'a Preset,
    /// The preferred failure domain: the daemon's for prefill, the prefill server's for decode.
    pub domain: &'a str,
    pub region: &'a str,
    /// Servers that this request has already tried.
    pub avoid: &'a [ServerId],
    /// Whether only servers that have the prefix cached or are idle may be chosen.
    pub cached_or_idle_only: bool,
    /// Slots that must stay free on each server.
    pub reserve: u32,
    /// Prompt tokens that this daemon may have queued at a prefill server: its share of the
    /// preset's limit.
    pub max_local_queue_tokens: u64,
}

impl PlacementRequest<'_> {
    /// Returns true when this request has not tried `slot` yet.
    fn allows(&self, slot: &ServerSlot) -> bool {
        !self.avoid.contains(&slot.entry.server)
    }
}

/// A placement policy.
pub trait Placement: Send + Sync + 'static {
    /// Chooses a prefill server among `candidates`; `None` when none should take the request now.
    fn prefill(
        &self,
        candidates: &[Arc<ServerSlot>],
        request: &PlacementRequest<'_>,
    ) -> Option<Choice>;

    /// Chooses a decode server among `candidates`; `None` when none has capacity.
    fn decode(
        &self,
        candidates: &[Arc<ServerSlot>],
        request: &PlacementRequest<'_>,
    ) -> Option<Choice>;

    /// Whether requests wait at the daemon until both servers have capacity, so that no prefill
    /// is computed without a decode slot.
    fn waits_for_capacity(&self) -> bool;
}

/// Returns the best of `scored` (index, score), or `None` when it is empty.
fn select_best(candidates: &[Arc<ServerSlot>], mut scored: Vec<(usize, f64)>) -> Option<Choice> {
    scored.sort_by(|left, right| right.1.total_cmp(&left.1));
    let index = scored.first()?.0;
    let scores = scored
        .iter()
        .take(MAX_LOGGED_SCORES)
        .map(|(index, score)| ScoredServer {
            server: candidates[*index].entry.server.clone(),
            score: *score,
        })
        .collect();
    Some(Choice { index, scores })
}
