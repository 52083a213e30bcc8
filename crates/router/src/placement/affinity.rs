//! The default policy: places each prompt where its first token is expected soonest, including
//! the cost of recomputing a shared prefix.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;
use umberglade_wire::engine::Priority;

use super::Choice;
use super::Placement;
use super::PlacementRequest;
use super::PrefixIndex;
use super::select_best;
use crate::control::ServerLoad;
use crate::control::ServerSlot;

/// The fraction of a prefix assumed to be missing on the servers that its hash ranks first and
/// second when this daemon has not used it there recently. Other daemons compute the same ranking
/// and may have used it there.
const RANKED_MISSING_FRACTION: [f64; 2] = [0.2, 0.5];
/// The largest missing fraction of a prefix that still counts as cached for
/// [`PlacementRequest::cached_or_idle_only`].
const MAX_MISSING_FRACTION: f64 = 0.2;
/// A prefill server counts as idle while its queue is below this fraction of the queue limit.
const IDLE_QUEUE_FRACTION: f64 = 0.125;
/// The cost of placing outside the failure domain, as a fraction of the prompt.
const OTHER_DOMAIN_COST: f64 = 0.05;
/// The cost of placing outside the region, so high that another region is the last resort.
const OTHER_REGION_COST: f64 = 100.0;
/// Jitter, in tokens, that spreads the choices of many daemons among equal servers.
const JITTER_TOKENS: f64 = 64.0;
/// Slots assumed for a server that has not reported yet.
const UNKNOWN_SLOTS: u32 = 20;

/// Chooses the prefill server with the least predicted work before the first token (queue, the
/// prompt itself, uncached prefix) and the decode server with the most free capacity. Neither is
/// used beyond its limit, so requests wait at the daemon, where urgent ones go first.
#[derive(Debug, Default)]
pub struct AffinityPlacement {
    prefix_index: PrefixIndex,
}

impl Placement for AffinityPlacement {
    fn prefill(
        &self,
        candidates: &[Arc<ServerSlot>],
        request: &PlacementRequest<'_>,
    ) -> Option<Choice> {
        let retention = Duration::from_millis(request.preset.prefix_keep_ms);
        let holders = self.prefix_index.holders(request.shape.prefix_hash, retention);
        let ranked = ranked_candidates(candidates, request);
        let scored = eligible_candidates(candidates, request)
            .filter_map(|(index, slot)| {
                let load = slot.load();
                if !has_prefill_capacity(slot, &load, request) {
                    return None;
                }
                let missing_fraction = if holders.contains(&slot.entry.server) {
                    0.0
                } else {
                    let rank = ranked.iter().position(|candidate| *candidate == index);
                    rank.map_or(1.0, |rank| RANKED_MISSING_FRACTION[rank])
                };
                if request.cached_or_idle_only
                    && missing_fraction > MAX_MISSING_FRACTION
                    && !is_idle(&load, request)
                {
                    return None;
                }
                Some((index, -prefill_cost(slot, &load, request, missing_fraction)))
            })
            .collect();
        let choice = select_best(candidates, scored)?;
        if request.shape.prefix_hash != 0 {
            let server = &candidates[choice.index].entry.server;
            self.prefix_index.record(request.shape.prefix_hash, server, retention);
        }
        Some(choice)
    }

    fn decode(
        &self,
        candidates: &[Arc<ServerSlot>],
        request: &PlacementRequest<'_>,
    ) -> Option<Choice> {
        let scored = eligible_candidates(candidates, request)
            .filter_map(|(index, slot)| {
                let load = slot.load();
                let free = free_slots(&load, request);
                (free > 0).then(|| {
                    let used = f64::from(load.running) / f64::from(slot_count(&load));
                    let jitter = fastrand::f64() / (2.0 * f64::from(slot_count(&load)));
                    (index, -(used + distance_cost(slot, request) + jitter))
                })
            })
            .collect();
        select_best(candidates, scored)
    }

    fn waits_for_capacity(&self) -> bool {
        true
    }
}

/// Returns the candidates, with their indices, that the request allows and that are not ejected.
fn eligible_candidates<'a>(
    candidates: &'a [Arc<ServerSlot>],
    request: &'a PlacementRequest<'_>,
) -> impl Iterator<Item = (usize, &'a Arc<ServerSlot>)> {
    candidates.iter().enumerate().filter(|(_, slot)| request.allows(slot) && !slot.is_ejected())
}

/// Returns the predicted work, in tokens, until the prompt is prefilled on `slot`. An urgent
/// prompt overtakes the queue there, so the queue counts only a tenth for it.
fn prefill_cost(
    slot: &ServerSlot,
    load: &ServerLoad,
    request: &PlacementRequest<'_>,
    missing_fraction: f64,
) -> f64 {
    let shape = request.shape;
    let queue = load.queued_tokens as f64;
    let queue = if request.priority == Priority::Urgent { queue * 0.1 } else { queue };
    let suffix = f64::from(shape.tokens.saturating_sub(shape.prefix_tokens));
    let prefix =
        f64::from(shape.prefix_tokens) * missing_fraction * request.preset.recompute_weight;
    let distance_tokens = f64::from(shape.tokens) * distance_cost(slot, request);
    queue + suffix + prefix + distance_tokens + fastrand::f64() * JITTER_TOKENS
}

/// Returns whether `slot` can take one more prompt. It needs a free slot and, for standard
/// requests, a queue below the preset's limit with no more than this daemon's share queued by this
/// daemon. The tokens that this daemon has queued are counted without the lag of load reports.
fn has_prefill_capacity(
    slot: &ServerSlot,
    load: &ServerLoad,
    request: &PlacementRequest<'_>,
) -> bool {
    let limit = u64::from(request.preset.prefill_queue_tokens);
    let queue_has_capacity = request.priority == Priority::Urgent
        || (load.queued_tokens < limit
            && slot.local_queued_tokens() <= request.max_local_queue_tokens);
    queue_has_capacity && free_slots(load, request) > 0
}

fn is_idle(load: &ServerLoad, request: &PlacementRequest<'_>) -> bool {
    (load.queued_tokens as f64)
        < f64::from(request.preset.prefill_queue_tokens) * IDLE_QUEUE_FRACTION
}

/// Returns the free slots beyond the reserve that this request must leave.
fn free_slots(load: &ServerLoad, request: &PlacementRequest<'_>) -> u32 {
    slot_count(load).saturating_sub(load.running + request.reserve)
}

fn slot_count(load: &ServerLoad) -> u32 {
    if load.slots == 0 { UNKNOWN_SLOTS } else { load.slots }
}

fn distance_cost(slot: &ServerSlot, request: &PlacementRequest<'_>) -> f64 {
    if slot.entry.region != request.region {
        OTHER_REGION_COST
    } else if slot.entry.domain != request.domain {
        OTHER_DOMAIN_COST
    } else {
        0.0
    }
}

/// Returns the two candidates ranked highest for the prefix by rendezvous hashing. Every daemon
/// computes the same ranking without communication, and a departing server remaps only its own
/// prefixes.
fn ranked_candidates(
    candidates: &[Arc<ServerSlot>],
    request: &PlacementRequest<'_>,
) -> SmallVec<[usize; 2]> {
    if request.shape.prefix_hash == 0 {
        return SmallVec::new();
    }
    let mut weights: Vec<(u64, usize)> = candidates
        .iter()
        .enumerate()
        .filter(|(_, slot)| slot.entry.region == request.region)
        .map(|(index, slot)| (rank_weight(request.shape.prefix_hash, &slot.entry.server), index))
        .collect();
    weights.sort_unstable_by(|left, right| right.cmp(left));
    weights.into_iter().take(RANKED_MISSING_FRACTION.len()).map(|(_, index)| index).collect()
}

fn rank_weight(prefix_hash: u64, server: &str) -> u64 {
    umberglade_wire::digest_seeded(server.as_bytes(), prefix_hash)
}
