//! The policy: each prompt goes where its first token comes soonest, the
//! cost of computing a shared prefix anew counted in.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;
use umberglade_wire::engine::Priority;

use super::Choice;
use super::Placement;
use super::PlacementNeed;
use super::PrefixMemory;
use super::best_of;
use crate::control::ServerLoad;
use crate::control::ServerSlot;

/// The share of a prefix assumed missing on the servers its hash ranks
/// first and second when this daemon has not used it there lately: other
/// daemons rank alike and may have.
const RANKED_MISSING: [f64; 2] = [0.2, 0.5];
/// The most of a prefix that may be missing where a picky request goes.
const PICKY_MISSING: f64 = 0.2;
/// A prefill server with less than this share of the queue bound waiting
/// counts as idle.
const IDLE_SHARE: f64 = 0.125;
/// What leaving the failure domain costs, as a share of the prompt.
const OTHER_DOMAIN_COST: f64 = 0.05;
/// What leaving the region costs: it is chosen only when nothing else is.
const OTHER_REGION_COST: f64 = 100.0;
/// Jitter, in tokens, that spreads equal choices of many daemons.
const JITTER_TOKENS: f64 = 64.0;
/// Assumed slots of a server that has not reported yet.
const UNKNOWN_SLOTS: u32 = 20;

/// Prefill by least predicted tokens until the first token (queue, own
/// prompt, uncached prefix); decode by most room; neither beyond its
/// bound, so that what must wait waits at the daemon, urgent work first.
#[derive(Debug, Default)]
pub struct AffinityPlacement {
    memory: PrefixMemory,
}

impl Placement for AffinityPlacement {
    fn prefill(&self, candidates: &[Arc<ServerSlot>], need: &PlacementNeed<'_>) -> Option<Choice> {
        let keep = Duration::from_millis(need.preset.prefix_keep_ms);
        let holders = self.memory.holders(need.shape.prefix_hash, keep);
        let ranked = ranked_candidates(candidates, need);
        let scored = usable(candidates, need)
            .filter_map(|(at, slot)| {
                let load = slot.load();
                if !has_prefill_room(slot, &load, need) {
                    return None;
                }
                let missing = if holders.contains(&slot.entry.server) {
                    0.0
                } else {
                    let rank = ranked.iter().position(|candidate| *candidate == at);
                    rank.map_or(1.0, |rank| RANKED_MISSING[rank])
                };
                if need.picky && missing > PICKY_MISSING && !is_idle(&load, need) {
                    return None;
                }
                Some((at, -prefill_cost(slot, &load, need, missing)))
            })
            .collect();
        let choice = best_of(candidates, scored)?;
        if need.shape.prefix_hash != 0 {
            let server = &candidates[choice.index].entry.server;
            self.memory.note(need.shape.prefix_hash, server, keep);
        }
        Some(choice)
    }

    fn decode(&self, candidates: &[Arc<ServerSlot>], need: &PlacementNeed<'_>) -> Option<Choice> {
        let scored = usable(candidates, need)
            .filter_map(|(at, slot)| {
                let load = slot.load();
                let room = free_slots(&load, need);
                (room > 0).then(|| {
                    let used = f64::from(load.running) / f64::from(slots_of(&load));
                    let jitter = fastrand::f64() / (2.0 * f64::from(slots_of(&load)));
                    (at, -(used + distance(slot, need) + jitter))
                })
            })
            .collect();
        best_of(candidates, scored)
    }

    fn waits_for_room(&self) -> bool {
        true
    }
}

/// Candidates that may be tried and are well, with their indices.
fn usable<'a>(
    candidates: &'a [Arc<ServerSlot>],
    need: &'a PlacementNeed<'_>,
) -> impl Iterator<Item = (usize, &'a Arc<ServerSlot>)> {
    candidates.iter().enumerate().filter(|(_, slot)| need.allows(slot) && !slot.is_set_aside())
}

/// Predicted tokens of work until the prompt is read on `slot`. An urgent
/// prompt overtakes what waits there, so for it the queue counts little.
fn prefill_cost(
    slot: &ServerSlot,
    load: &ServerLoad,
    need: &PlacementNeed<'_>,
    missing: f64,
) -> f64 {
    let shape = need.shape;
    let queue = load.queued_tokens as f64;
    let queue = if need.priority == Priority::Urgent { queue * 0.1 } else { queue };
    let own = f64::from(shape.tokens.saturating_sub(shape.prefix_tokens));
    let prefix = f64::from(shape.prefix_tokens) * missing * need.preset.recompute_weight;
    let away = f64::from(shape.tokens) * distance(slot, need);
    queue + own + prefix + away + fastrand::f64() * JITTER_TOKENS
}

/// Whether `slot` should get one more prompt: a slot is free, and for
/// standard work the queue is under the preset's bound and our own part of
/// it under our share, which counts without the lag of reports.
fn has_prefill_room(slot: &ServerSlot, load: &ServerLoad, need: &PlacementNeed<'_>) -> bool {
    let bound = u64::from(need.preset.prefill_queue_tokens);
    let queue_ok = need.priority == Priority::Urgent
        || (load.queued_tokens < bound && slot.queued_tokens() <= need.own_queue_tokens);
    queue_ok && free_slots(load, need) > 0
}

fn is_idle(load: &ServerLoad, need: &PlacementNeed<'_>) -> bool {
    (load.queued_tokens as f64) < f64::from(need.preset.prefill_queue_tokens) * IDLE_SHARE
}

/// Slots free for this request beyond the reserve it must leave.
fn free_slots(load: &ServerLoad, need: &PlacementNeed<'_>) -> u32 {
    slots_of(load).saturating_sub(load.running + need.reserve)
}

fn slots_of(load: &ServerLoad) -> u32 {
    if load.slots == 0 { UNKNOWN_SLOTS } else { load.slots }
}

fn distance(slot: &ServerSlot, need: &PlacementNeed<'_>) -> f64 {
    if slot.entry.region != need.region {
        OTHER_REGION_COST
    } else if slot.entry.domain != need.domain {
        OTHER_DOMAIN_COST
    } else {
        0.0
    }
}

/// The candidates that the prefix's hash ranks first and second
/// (rendezvous hashing): every daemon ranks alike without a message, and a
/// server that leaves moves only its own prefixes.
fn ranked_candidates(
    candidates: &[Arc<ServerSlot>],
    need: &PlacementNeed<'_>,
) -> SmallVec<[usize; 2]> {
    if need.shape.prefix_hash == 0 {
        return SmallVec::new();
    }
    let mut weights: Vec<(u64, usize)> = candidates
        .iter()
        .enumerate()
        .filter(|(_, slot)| slot.entry.region == need.region)
        .map(|(at, slot)| (rendezvous_weight(need.shape.prefix_hash, &slot.entry.server), at))
        .collect();
    weights.sort_unstable_by(|left, right| right.cmp(left));
    weights.into_iter().take(RANKED_MISSING.len()).map(|(_, at)| at).collect()
}

fn rendezvous_weight(prefix_hash: u64, server: &str) -> u64 {
    umberglade_wire::digest_seeded(server.as_bytes(), prefix_hash)
}
