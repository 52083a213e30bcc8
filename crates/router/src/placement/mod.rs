//! Placement: which backend server gets a step of a request.
//!
//! [`Placement`] is a small trait so that the policy and the baselines
//! share the pipeline; the daemon is generic over it, no `dyn`.

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

/// Candidates whose scores a decision logs, best first.
pub const MAX_LOGGED_SCORES: usize = 8;

/// A server and the score the policy gave it (higher is better).
#[derive(Debug, Clone, PartialEq)]
pub struct ScoredServer {
    pub server: ServerId,
    pub score: f64,
}

/// What a policy chose, with the best candidates' scores for the log.
#[derive(Debug, Clone)]
pub struct Choice {
    /// Index into the candidates given.
    pub index: usize,
    /// At most [`SCORES_LOGGED`], best first.
    pub scores: SmallVec<[ScoredServer; MAX_LOGGED_SCORES]>,
}

/// What a request needs of a server.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    pub shape: &'a PromptShape,
    pub priority: Priority,
    pub preset: &'a Preset,
    /// The failure domain to be near: the daemon's for prefill, the
    /// prefill server's for decode.
    pub domain: &'a str,
    pub region: &'a str,
    /// Servers this request has tried already.
    pub avoid: &'a [ServerId],
    /// Whether it should go only where its prefix is cached or a server
    /// idles.
    pub cached_or_idle_only: bool,
    /// Slots of each server it must leave free.
    pub reserve: u32,
    /// Prompt tokens this daemon itself may have waiting at a prefill
    /// server: its share of the preset's bound.
    pub max_local_queue_tokens: u64,
}

impl PlacementRequest<'_> {
    /// True when `slot` may be tried: not tried before.
    fn allows(&self, slot: &ServerSlot) -> bool {
        !self.avoid.contains(&slot.entry.server)
    }
}

/// A placement policy.
pub trait Placement: Send + Sync + 'static {
    /// Picks a prefill server among `candidates`; `None` when none should
    /// take the request now.
    fn prefill(
        &self,
        candidates: &[Arc<ServerSlot>],
        request: &PlacementRequest<'_>,
    ) -> Option<Choice>;

    /// Picks a decode server among `candidates`; `None` when none has room.
    fn decode(
        &self,
        candidates: &[Arc<ServerSlot>],
        request: &PlacementRequest<'_>,
    ) -> Option<Choice>;

    /// Whether a request waits at the daemon until both its servers have
    /// room, so that no prefill is computed without a place to decode.
    fn waits_for_capacity(&self) -> bool;
}

/// The best of `scored` (index, score), or `None` when it is empty.
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
