//! Which server a request goes to.

use std::time::Instant;

use smallvec::SmallVec;

use super::Fleet;
use super::LoadShare;
use super::ServerBelief;
use crate::model::DomainKey;
use crate::model::EngineSpec;
use crate::model::PromptShape;
use crate::model::ServerKey;
use crate::model::ServerStage;

/// The share of an engine's memory that is given out: the rest takes up
/// block rounding and answers longer than estimated, so that a request is
/// rarely pushed out and its prompt read twice.
const MEMORY_PART: f64 = 0.90;
/// What failing always weighs against the server being full once over.
const FAILURE_WEIGHT: f64 = 4.0;
/// What each gateway that passes a server over weighs, up to three of them.
const PEER_ASIDE_WEIGHT: f64 = 0.7;
/// This many other gateways that pass a server over are believed outright.
const PEERS_TO_BELIEVE: usize = 2;
/// What another failure domain weighs for plain calls, in shares of a full
/// server: two more hops of under two milliseconds, against queueing.
const AWAY_WEIGHT: f64 = 0.3;
/// What fetching the KV cache from another failure domain weighs, in
/// milliseconds of prefill queue: such transfers take twice as long, and
/// their bytes are paid for.
const AWAY_TRANSFER_MS: f64 = 120.0;
/// Prompt tokens an engine reads in a millisecond, for weighing a queue
/// against the transfer above; measured on the deployments' engines.
const PREFILL_TOKENS_PER_MS: f64 = 55.0;
/// Milliseconds that an engine's being wholly full weighs.
const FULL_MS: f64 = 400.0;

/// An odd multiplier whose upper product bits depend on all lower ones: 2^64
/// over the golden ratio, as in multiplicative hashing.
const MIX: u64 = 0x9E37_79B9_7F4A_7C15;

/// What a placement must respect.
#[derive(Debug)]
pub struct PlaceNeed<'a> {
    pub service: &'a str,
    /// This gateway's digest; gateways differ in which of equal servers they
    /// prefer.
    pub gateway: u64,
    /// This gateway's failure domain.
    pub domain: &'a DomainKey,
    /// Servers that this request has already been to.
    pub tried: &'a [ServerKey],
    pub now: Instant,
}

/// Why no server was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum PlaceRefusal {
    /// The service has no server that takes work.
    NoServer,
    /// All that take work are full.
    NoRoom,
}

/// A server chosen for a plain call.
#[derive(Debug, Clone, PartialEq)]
pub struct PlainPlace {
    pub server: ServerKey,
    pub cost: f64,
}

/// The servers chosen for a stream.
#[derive(Debug, Clone, PartialEq)]
pub struct EnginePlace {
    pub decode: ServerKey,
    /// Reads the prompt; `None` when the decode server is to do so.
    pub prefill: Option<ServerKey>,
    pub cost: f64,
}

/// The server for a call to a plain service: the least loaded, weighed with
/// how it has fared and how far it is.
pub fn place_plain(fleet: &Fleet, need: &PlaceNeed<'_>) -> Result<PlainPlace, PlaceRefusal> {
    let cost = |belief: &ServerBelief| {
        let running = f64::from(fleet.load(belief, need.now).running);
        let filled = (running + 1.0) / f64::from(belief.entry.slots.max(1));
        filled + failure_cost(fleet, belief, need.now) + away(belief, need.domain) * AWAY_WEIGHT
    };
    let (server, cost) = cheapest(candidates(fleet, need, |_| true), cost)?;
    Ok(PlainPlace { server, cost })
}

/// The decode server with room for `shape`, and the prefill server to read
/// its prompt. `ahead` is how many requests at other gateways go first: the
/// places best for them are left to them.
///
/// Guards against gateways that all take the one place that has come free:
/// without a word between them, each takes the place of its own rank.
pub fn place_engine(
    fleet: &Fleet,
    spec: &EngineSpec,
    shape: &PromptShape,
    ahead: usize,
    need: &PlaceNeed<'_>,
) -> Result<EnginePlace, PlaceRefusal> {
    let decodes = candidates(fleet, need, |stage| stage != ServerStage::Prefill);
    if decodes.is_empty() {
        return Err(PlaceRefusal::NoServer);
    }
    let prefills = candidates(fleet, need, |stage| stage == ServerStage::Prefill);
    let prompt_ms = f64::from(shape.prompt_tokens) / PREFILL_TOKENS_PER_MS;
    let stream_fill = LoadShare::of_stream(shape).peak_tokens() / given_out(spec);
    let mut places: SmallVec<[EnginePlace; 32]> = SmallVec::new();
    for decode in decodes {
        let Some(fill) = room(fleet, spec, shape, decode, need.now) else { continue };
        let fill = fill + dislike(need, decode) * stream_fill;
        let decode_ms = (fill + failure_cost(fleet, decode, need.now)) * FULL_MS;
        let prefill = prefills
            .iter()
            .map(|prefill| {
                let cost = prefill_cost(fleet, prefill, &decode.entry.domain, need.now);
                (*prefill, cost + dislike(need, prefill) * prompt_ms)
            })
            .min_by(|left, right| left.1.total_cmp(&right.1));
        let cost = decode_ms + prefill.map_or(0.0, |(_, cost)| cost);
        places.push(EnginePlace {
            decode: decode.entry.server.clone(),
            prefill: prefill.map(|(prefill, _)| prefill.entry.server.clone()),
            cost,
        });
    }
    places.sort_unstable_by(|left, right| left.cost.total_cmp(&right.cost));
    if ahead < places.len() { Ok(places.swap_remove(ahead)) } else { Err(PlaceRefusal::NoRoom) }
}

/// A decode server for a stream that must go on elsewhere; one without
/// room is taken too, since the caller is already waiting midway.
pub fn place_decode(
    fleet: &Fleet,
    spec: &EngineSpec,
    shape: &PromptShape,
    need: &PlaceNeed<'_>,
) -> Result<ServerKey, PlaceRefusal> {
    let decodes = candidates(fleet, need, |stage| stage != ServerStage::Prefill);
    let cost = |belief: &ServerBelief| {
        let full = room(fleet, spec, shape, belief, need.now);
        full.unwrap_or(2.0) + failure_cost(fleet, belief, need.now)
    };
    cheapest(decodes, cost).map(|(server, _)| server)
}

/// A prefill server near `domain`.
pub fn place_prefill(
    fleet: &Fleet,
    domain: &DomainKey,
    need: &PlaceNeed<'_>,
) -> Result<ServerKey, PlaceRefusal> {
    let prefills = candidates(fleet, need, |stage| stage == ServerStage::Prefill);
    let cost = |belief: &ServerBelief| prefill_cost(fleet, belief, domain, need.now);
    cheapest(prefills, cost).map(|(server, _)| server)
}

/// The servers that may take the request: not tried yet and not set aside;
/// set aside ones too when there are no others, since a guess that one is
/// down must never refuse a request by itself.
fn candidates<'a>(
    fleet: &'a Fleet,
    need: &PlaceNeed<'_>,
    suits: impl Fn(ServerStage) -> bool,
) -> SmallVec<[&'a ServerBelief; 32]> {
    let open: SmallVec<[&ServerBelief; 32]> = fleet
        .open_servers(need.service, need.now)
        .filter(|belief| suits(belief.entry.stage))
        .filter(|belief| !need.tried.contains(&belief.entry.server))
        .collect();
    let well: SmallVec<[&ServerBelief; 32]> =
        open.iter().copied().filter(|belief| !is_aside(fleet, belief, need.now)).collect();
    if well.is_empty() { open } else { well }
}

/// True when we pass the server over, or enough of the other gateways do
/// that it is hardly their paths.
fn is_aside(fleet: &Fleet, belief: &ServerBelief, now: Instant) -> bool {
    belief.health.is_aside(now) || fleet.peers.aside_count(belief.digest, now) >= PEERS_TO_BELIEVE
}

fn cheapest(
    candidates: SmallVec<[&ServerBelief; 32]>,
    cost: impl Fn(&ServerBelief) -> f64,
) -> Result<(ServerKey, f64), PlaceRefusal> {
    candidates
        .into_iter()
        .map(|belief| (belief, cost(belief) + fastrand::f64() * 0.01))
        .min_by(|left, right| left.1.total_cmp(&right.1))
        .map(|(belief, cost)| (belief.entry.server.clone(), cost))
        .ok_or(PlaceRefusal::NoServer)
}

/// What our own failures there weigh, and those of the other gateways: a
/// server that one of them passes over is likely down for all, though only
/// this one's path may be.
fn failure_cost(fleet: &Fleet, belief: &ServerBelief, now: Instant) -> f64 {
    let peers = fleet.peers.aside_count(belief.digest, now) as f64;
    belief.health.failure_share(now) * FAILURE_WEIGHT + peers.min(3.0) * PEER_ASIDE_WEIGHT
}

/// How much this gateway dislikes a server among equal ones, from 0 to 1: a
/// draw from both names, weighed as one request's work.
///
/// Guards against gateways that all choose the same server: their views are
/// a report old (up to 250 ms), and by cost alone they agree on the one that
/// looks emptiest. Of 79 gateways' placements within 30 ms of each other a
/// third met at one server of 39; its prompts queued and its memory ran out.
/// A server that is less loaded by one request still goes first.
fn dislike(need: &PlaceNeed<'_>, belief: &ServerBelief) -> f64 {
    let mixed = (need.gateway ^ belief.digest).wrapping_mul(MIX);
    (mixed >> 32) as f64 / f64::from(u32::MAX)
}

fn away(belief: &ServerBelief, domain: &DomainKey) -> f64 {
    if belief.entry.domain == *domain { 0.0 } else { 1.0 }
}

fn prefill_cost(
    fleet: &Fleet,
    belief: &ServerBelief,
    decode_domain: &DomainKey,
    now: Instant,
) -> f64 {
    let queued = f64::from(fleet.load(belief, now).prompt_tokens) / PREFILL_TOKENS_PER_MS;
    queued
        + away(belief, decode_domain) * AWAY_TRANSFER_MS
        + failure_cost(fleet, belief, now) * FULL_MS
}

/// The tokens of an engine's memory that are given out.
fn given_out(spec: &EngineSpec) -> f64 {
    f64::from(spec.kv_tokens.max(1)) * MEMORY_PART
}

/// How full the engine would be with the request, from 0 to 1; `None` when
/// it has no room for it.
fn room(
    fleet: &Fleet,
    spec: &EngineSpec,
    shape: &PromptShape,
    belief: &ServerBelief,
    now: Instant,
) -> Option<f64> {
    let load = fleet.load(belief, now);
    let slots = if spec.slots > 0 { spec.slots } else { belief.entry.slots };
    let with_it = load.plus(LoadShare::of_stream(shape));
    let by_slots = f64::from(with_it.running) / f64::from(slots.max(1));
    let by_memory = with_it.peak_tokens() / given_out(spec);
    let is_alone = load.running == 0;
    let filled = by_slots.max(if is_alone { by_memory.min(1.0) } else { by_memory });
    (filled <= 1.0).then_some(filled)
}
