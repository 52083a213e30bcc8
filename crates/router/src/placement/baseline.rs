//! The baselines the policy is measured against.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use super::Choice;
use super::Placement;
use super::PlacementNeed;
use super::best_of;
use crate::control::ServerSlot;

/// Servers in turn, blind to load and prefix.
#[derive(Debug, Default)]
pub struct RoundRobinPlacement {
    next: AtomicUsize,
}

impl RoundRobinPlacement {
    fn turn(&self, candidates: &[Arc<ServerSlot>], need: &PlacementNeed<'_>) -> Option<Choice> {
        if candidates.is_empty() {
            return None;
        }
        let first = self.next.fetch_add(1, Ordering::Relaxed);
        let scored = (0..candidates.len())
            .map(|offset| ((first + offset) % candidates.len(), -(offset as f64)))
            .filter(|(at, _)| need.allows(&candidates[*at]))
            .collect();
        best_of(candidates, scored)
    }
}

impl Placement for RoundRobinPlacement {
    fn prefill(&self, candidates: &[Arc<ServerSlot>], need: &PlacementNeed<'_>) -> Option<Choice> {
        self.turn(candidates, need)
    }

    fn decode(&self, candidates: &[Arc<ServerSlot>], need: &PlacementNeed<'_>) -> Option<Choice> {
        self.turn(candidates, need)
    }

    fn waits_for_room(&self) -> bool {
        false
    }
}

/// The server with the fewest requests as best known, blind to prefix.
#[derive(Debug, Default)]
pub struct LeastLoadedPlacement;

impl LeastLoadedPlacement {
    fn least(candidates: &[Arc<ServerSlot>], need: &PlacementNeed<'_>) -> Option<Choice> {
        let scored = candidates
            .iter()
            .enumerate()
            .filter(|(_, slot)| need.allows(slot))
            .map(|(at, slot)| (at, -f64::from(slot.load().running) - fastrand::f64() / 2.0))
            .collect();
        best_of(candidates, scored)
    }
}

impl Placement for LeastLoadedPlacement {
    fn prefill(&self, candidates: &[Arc<ServerSlot>], need: &PlacementNeed<'_>) -> Option<Choice> {
        Self::least(candidates, need)
    }

    fn decode(&self, candidates: &[Arc<ServerSlot>], need: &PlacementNeed<'_>) -> Option<Choice> {
        Self::least(candidates, need)
    }

    fn waits_for_room(&self) -> bool {
        false
    }
}
