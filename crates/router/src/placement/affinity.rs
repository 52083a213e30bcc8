//! The policy: each prompt goes where its first token comes soonest, the
//! cost of computing a shared prefix anew counted in.

use std::sync::Arc;
use std::time::Duration;

use umberglade_wire::engine::Priority;

use super::Choice;
use super::Placement;
use super::PlacementNeed;
use super::PrefixMemory;
use super::best_of;
use crate::control::ServerLoad;
use crate::control::ServerSlot;

/// The share of a prefix assumed cached on the server that its hash ranks
/// first when this daemon has not used it there lately: other daemons rank
/// alike and may have.
const RANKED_FIRST_CACHED: f64 = 0.5;
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
        let ranked_first = ranked_first(candidates, need);
        let scored = candidates
            .iter()
            .enumerate()
            .filter(|(_, slot)| need.allows(slot) && !slot.is_set_aside())
            .filter_map(|(at, slot)| {
                let load = slot.load();
                if !has_prefill_room(&load, need) {
                    return None;
                }
                let missing = if holders.contains(&slot.entry.server) {
                    0.0
                } else if ranked_first == Some(at) {
                    1.0 - RANKED_FIRST_CACHED
                } else {
                    1.0
                };
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
        let scored = candidates
            .iter()
            .enumerate()
            .filter(|(_, slot)| need.allows(slot) && !slot.is_set_aside())
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

/// Whether `load` leaves room for one more prompt: slots short of the
/// urgent reserve, and for standard work a queue under the preset's bound.
fn has_prefill_room(load: &ServerLoad, need: &PlacementNeed<'_>) -> bool {
    let queue_ok = need.priority == Priority::Urgent
        || load.queued_tokens < u64::from(need.preset.prefill_queue_tokens);
    queue_ok && free_slots(load, need) > 0
}

/// Slots free for this request: standard work leaves the urgent reserve.
fn free_slots(load: &ServerLoad, need: &PlacementNeed<'_>) -> u32 {
    let reserve = match need.priority {
        Priority::Urgent => 0,
        Priority::Standard => need.preset.urgent_reserve_slots,
    };
    slots_of(load).saturating_sub(load.running + reserve)
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

/// The candidate that the prefix's hash ranks first (rendezvous hashing):
/// every daemon ranks alike without a message, and a server that leaves
/// moves only its own prefixes.
fn ranked_first(candidates: &[Arc<ServerSlot>], need: &PlacementNeed<'_>) -> Option<usize> {
    if need.shape.prefix_hash == 0 {
        return None;
    }
    candidates
        .iter()
        .enumerate()
        .filter(|(_, slot)| slot.entry.region == need.region)
        .max_by_key(|(_, slot)| rendezvous_weight(need.shape.prefix_hash, &slot.entry.server))
        .map(|(at, _)| at)
}

fn rendezvous_weight(prefix_hash: u64, server: &str) -> u64 {
    umberglade_wire::digest_seeded(server.as_bytes(), prefix_hash)
}
