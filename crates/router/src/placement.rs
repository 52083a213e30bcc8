//! Placement: which backend server gets a step of a request.
//!
//! [`Placement`] is a small trait so that the policy and the baselines
//! share the pipeline; the daemon is generic over it, no `dyn`.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use smallvec::SmallVec;
use umberglade_wire::ids::ServerId;

use crate::control::ServerSlot;
use crate::prompt::PromptShape;

/// Load above the average that a prefix's preferred server may carry
/// before its work spills to the next: 25% plus one request.
const LOAD_BOUND_FACTOR: f64 = 1.25;

/// A server and the score the policy gave it (higher is better).
#[derive(Debug, Clone, PartialEq)]
pub struct ScoredServer {
    pub server: ServerId,
    pub score: f64,
}

/// What a policy chose, with every candidate's score for the log.
#[derive(Debug, Clone)]
pub struct Choice {
    /// Index into the candidates given.
    pub index: usize,
    pub scores: SmallVec<[ScoredServer; 8]>,
}

/// A placement policy.
pub trait Placement: Send + Sync + 'static {
    /// Picks a prefill server among `candidates` for a prompt of `shape`;
    /// `None` when there is none.
    fn prefill(&self, candidates: &[Arc<ServerSlot>], shape: &PromptShape) -> Option<Choice>;
    /// Picks a decode server among `candidates`.
    fn decode(&self, candidates: &[Arc<ServerSlot>], shape: &PromptShape) -> Option<Choice>;
}

/// The policy: prefill by prefix affinity with bounded load (rendezvous
/// hashing over servers under the load bound), decode by least work in
/// flight from this daemon's own count, which does not lag.
#[derive(Debug, Default)]
pub struct AffinityPlacement;

/// The baseline: servers in turn, blind to load and prefix.
#[derive(Debug, Default)]
pub struct RoundRobinPlacement {
    next: AtomicUsize,
}

impl Placement for AffinityPlacement {
    fn prefill(&self, candidates: &[Arc<ServerSlot>], shape: &PromptShape) -> Option<Choice> {
        if shape.prefix_hash == 0 {
            return least_in_flight(candidates);
        }
        let total: u32 = candidates.iter().map(|slot| slot.in_flight()).sum();
        let average = f64::from(total) / candidates.len().max(1) as f64;
        let bound = (average * LOAD_BOUND_FACTOR).ceil() + 1.0;
        let scores: SmallVec<[ScoredServer; 8]> = candidates
            .iter()
            .map(|slot| {
                let under_bound = f64::from(slot.in_flight()) < bound;
                let weight = rendezvous_weight(shape.prefix_hash, &slot.entry.server);
                let score = if under_bound { weight } else { -1.0 };
                ScoredServer { server: slot.entry.server.clone(), score }
            })
            .collect();
        best(scores)
    }

    fn decode(&self, candidates: &[Arc<ServerSlot>], _shape: &PromptShape) -> Option<Choice> {
        least_in_flight(candidates)
    }
}

impl Placement for RoundRobinPlacement {
    fn prefill(&self, candidates: &[Arc<ServerSlot>], _shape: &PromptShape) -> Option<Choice> {
        self.turn(candidates)
    }

    fn decode(&self, candidates: &[Arc<ServerSlot>], _shape: &PromptShape) -> Option<Choice> {
        self.turn(candidates)
    }
}

impl RoundRobinPlacement {
    fn turn(&self, candidates: &[Arc<ServerSlot>]) -> Option<Choice> {
        if candidates.is_empty() {
            return None;
        }
        let index = self.next.fetch_add(1, Ordering::Relaxed) % candidates.len();
        let scores = candidates
            .iter()
            .enumerate()
            .map(|(at, slot)| ScoredServer {
                server: slot.entry.server.clone(),
                score: f64::from(u8::from(at == index)),
            })
            .collect();
        Some(Choice { index, scores })
    }
}

/// The candidate with the fewest requests in flight from this daemon.
fn least_in_flight(candidates: &[Arc<ServerSlot>]) -> Option<Choice> {
    let scores = candidates
        .iter()
        .map(|slot| ScoredServer {
            server: slot.entry.server.clone(),
            score: -f64::from(slot.in_flight()),
        })
        .collect();
    best(scores)
}

fn best(scores: SmallVec<[ScoredServer; 8]>) -> Option<Choice> {
    let index = scores
        .iter()
        .enumerate()
        .max_by(|(_, left), (_, right)| left.score.total_cmp(&right.score))
        .map(|(index, _)| index)?;
    Some(Choice { index, scores })
}

/// A server's weight for a prefix in `[0, 1)`: each prefix ranks servers
/// in its own stable order, so a prefix returns to the server that cached
/// it, and a server leaving moves only its own prefixes.
fn rendezvous_weight(prefix_hash: u64, server: &str) -> f64 {
    let mut key = prefix_hash.to_le_bytes().to_vec();
    key.extend_from_slice(server.as_bytes());
    (umberglade_wire::digest(&key) >> 11) as f64 / (1u64 << 53) as f64
}
