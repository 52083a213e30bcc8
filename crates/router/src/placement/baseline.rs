//! Baseline policies for comparison with the default policy.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use super::Choice;
use super::Placement;
use super::PlacementRequest;
use super::select_best;
use crate::control::ServerSlot;

/// Round-robin over the servers, ignoring load and prefix.
#[derive(Debug, Default)]
pub struct RoundRobinPlacement {
    next: AtomicUsize,
}

impl RoundRobinPlacement {
    fn next_in_rotation(
        &self,
        candidates: &[Arc<ServerSlot>],
        request: &PlacementRequest<'_>,
    ) -> Option<Choice> {
        if candidates.is_empty() {
            return None;
        }
        let start = self.next.fetch_add(1, Ordering::Relaxed);
        let scored = (0..candidates.len())
            .map(|offset| ((start + offset) % candidates.len(), -(offset as f64)))
            .filter(|(index, _)| request.allows(&candidates[*index]))
            .collect();
        select_best(candidates, scored)
    }
}

impl Placement for RoundRobinPlacement {
    fn prefill(
        &self,
        candidates: &[Arc<ServerSlot>],
        request: &PlacementRequest<'_>,
    ) -> Option<Choice> {
        self.next_in_rotation(candidates, request)
    }

    fn decode(
        &self,
        candidates: &[Arc<ServerSlot>],
        request: &PlacementRequest<'_>,
    ) -> Option<Choice> {
        self.next_in_rotation(candidates, request)
    }

    fn waits_for_capacity(&self) -> bool {
        false
    }
}

/// The server with the fewest known requests, ignoring the prefix.
#[derive(Debug, Default)]
pub struct LeastLoadedPlacement;

impl LeastLoadedPlacement {
    fn least_loaded(
        candidates: &[Arc<ServerSlot>],
        request: &PlacementRequest<'_>,
    ) -> Option<Choice> {
        let scored = candidates
            .iter()
            .enumerate()
            .filter(|(_, slot)| request.allows(slot))
            .map(|(index, slot)| (index, -f64::from(slot.load().running) - fastrand::f64() / 2.0))
            .collect();
        select_best(candidates, scored)
    }
}

impl Placement for LeastLoadedPlacement {
    fn prefill(
        &self,
        candidates: &[Arc<ServerSlot>],
        request: &PlacementRequest<'_>,
    ) -> Option<Choice> {
        Self::least_loaded(candidates, request)
    }

    fn decode(
        &self,
        candidates: &[Arc<ServerSlot>],
        request: &PlacementRequest<'_>,
    ) -> Option<Choice> {
        Self::least_loaded(candidates, request)
    }

    fn waits_for_capacity(&self) -> bool {
        false
    }
}
