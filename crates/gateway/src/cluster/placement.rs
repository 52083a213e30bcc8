//! Which server a request goes to.

use std::time::Instant;

use smallvec::SmallVec;

use super::Fleet;
use super::LoadShare;
use super::ServerState;
use super::candidate::Candidate;
use super::candidate::FULL_MS;
use super::candidate::PREFILL_TOKENS_PER_MS;
use super::candidate::candidates;
use super::candidate::cheapest;
use super::candidate::given_out;
use super::candidate::open_candidates;
use super::candidate::well_or_all;
use super::domain_prefill_servers::DomainPrefillServers;
use super::domain_prefill_servers::transfer_cost;
use super::rendezvous_score::rendezvous_score;
use crate::model::DomainKey;
use crate::model::EngineSpec;
use crate::model::PromptShape;
use crate::model::ServerKey;
use crate::model::ServerStage;

/// What another failure domain weighs for plain calls, in shares of a full
/// server: two more hops of under two milliseconds, against queueing.
const AWAY_WEIGHT: f64 = 0.3;
/// A decode engine reads its prompt itself once prompts of this many times its
/// length wait at every reader: it would be done sooner, at half a reader's
/// speed and between its streams' tokens, though these are held up by it.
///
/// Guards against readers that become the narrow stage, when some fail, slow
/// down or were ordered away in a burst: all prompts queued there, first events
/// came after 1.9 s at the median, and half of all streams were late.
const READS_ITSELF_TIMES: f64 = 4.0;

/// What a placement must respect.
#[derive(Debug)]
pub struct PlacementRequest<'a> {
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
pub enum PlacementError {
    /// The service has no server that takes work.
    NoServer,
    /// All that take work are full.
    NoRoom,
}

/// A server chosen for a plain call.
#[derive(Debug, Clone, PartialEq)]
pub struct PlainPlacement {
    pub server: ServerKey,
    pub cost: f64,
}

/// The servers chosen for a stream.
#[derive(Debug, Clone, PartialEq)]
pub struct EnginePlacement {
    pub decode: ServerKey,
    /// Reads the prompt; `None` when the decode server is to do so.
    pub prefill: Option<ServerKey>,
    pub cost: f64,
}

/// The server for a call to a plain service: the least loaded, weighed with
/// how it has fared and how far it is.
pub fn place_plain(
    fleet: &Fleet,
    need: &PlacementRequest<'_>,
) -> Result<PlainPlacement, PlacementError> {
    let cost = |candidate: &Candidate<'_>| {
        let entry = &candidate.server_state.entry;
        let filled = f64::from(candidate.load().running + 1) / f64::from(entry.slots.max(1));
        let distance = if entry.domain == *need.domain { 0.0 } else { AWAY_WEIGHT };
        filled + candidate.failure_cost + distance
    };
    let (server, cost) = cheapest(&candidates(fleet, need, |_| true), cost)?;
    Ok(PlainPlacement { server, cost })
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
    need: &PlacementRequest<'_>,
) -> Result<EnginePlacement, PlacementError> {
    let can_decode =
        |candidate: &Candidate<'_>| candidate.server_state.entry.stage != ServerStage::Prefill;
    let mut engines = open_candidates(fleet, need, |_| true);
    if !engines.iter().any(can_decode) {
        return Err(PlacementError::NoServer);
    }
    engines.retain(|candidate| candidate.may_send);
    let decodes = well_or_all(&engines, need.now, |stage| stage != ServerStage::Prefill);
    let prompt_ms = f64::from(shape.prompt_tokens) / PREFILL_TOKENS_PER_MS;
    let reading_cost =
        |cand: &Candidate<'_>| cand.reading_cost() + dislike(need, cand.server_state) * prompt_ms;
    let readers = well_or_all(&engines, need.now, |stage| stage == ServerStage::Prefill);
    let readers = DomainPrefillServers::new(&readers, reading_cost);
    let longest_queue = (f64::from(shape.prompt_tokens) * READS_ITSELF_TIMES) as u32;
    let stream_fill = LoadShare::of_stream(shape).peak_tokens() / given_out(spec);
    let mut places: SmallVec<[(f64, usize); 32]> = SmallVec::new();
    for (at, decode) in decodes.iter().enumerate() {
        let Some(fill) = decode.room(spec, shape) else { continue };
        let fill = fill + dislike(need, decode.server_state) * stream_fill;
        let decode_cost = (fill + decode.failure_cost) * FULL_MS;
        let reader = readers.near(&decode.server_state.entry.domain, longest_queue);
        let reader_cost = reader.map_or(prompt_ms * READS_ITSELF_TIMES, |(_, cost)| cost);
        places.push((decode_cost + reader_cost, at));
    }
    if ahead >= places.len() {
        return Err(PlacementError::NoRoom);
    }
    let by_cost = |left: &(f64, usize), right: &(f64, usize)| left.0.total_cmp(&right.0);
    let (_, &mut (cost, at), _) = places.select_nth_unstable_by(ahead, by_cost);
    let decode = &decodes[at].server_state.entry;
    let prefill = readers.near(&decode.domain, longest_queue).map(|(server, _)| server.clone());
    Ok(EnginePlacement { decode: decode.server.clone(), prefill, cost })
}

/// A decode server for a stream that must go on elsewhere; one without
/// room is taken too, since the caller is already waiting midway.
pub fn place_decode(
    fleet: &Fleet,
    spec: &EngineSpec,
    shape: &PromptShape,
    need: &PlacementRequest<'_>,
) -> Result<ServerKey, PlacementError> {
    let decodes = candidates(fleet, need, |stage| stage != ServerStage::Prefill);
    let cost = |candidate: &Candidate<'_>| {
        candidate.room(spec, shape).unwrap_or(2.0) + candidate.failure_cost
    };
    cheapest(&decodes, cost).map(|(server, _)| server)
}

/// A prefill server near `domain`.
pub fn place_prefill(
    fleet: &Fleet,
    domain: &DomainKey,
    need: &PlacementRequest<'_>,
) -> Result<ServerKey, PlacementError> {
    let prefills = candidates(fleet, need, |stage| stage == ServerStage::Prefill);
    let cost = |candidate: &Candidate<'_>| {
        candidate.reading_cost() + transfer_cost(&candidate.server_state.entry.domain, domain)
    };
    cheapest(&prefills, cost).map(|(server, _)| server)
}

/// How much this gateway dislikes a server among equal ones, from 0 to 1: a
/// draw from both names, weighed as one request's work.
///
/// Guards against gateways that all choose the same server: their views are
/// a report old (up to 250 ms), and by cost alone they agree on the one that
/// looks emptiest. Of 79 gateways' placements within 30 ms of each other a
/// third met at one server of 39; its prompts queued and its memory ran out.
/// A server that is less loaded by one request still goes first.
fn dislike(need: &PlacementRequest<'_>, server_state: &ServerState) -> f64 {
    f64::from(rendezvous_score(need.gateway, server_state.incarnation)) / f64::from(u32::MAX)
}
