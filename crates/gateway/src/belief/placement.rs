//! Which server a request goes to.

use std::time::Instant;

use smallvec::SmallVec;

use super::Fleet;
use super::LoadShare;
use super::ServerBelief;
use super::ServerSum;
use crate::model::DomainKey;
use crate::model::EngineSpec;
use crate::model::PromptShape;
use crate::model::ServerKey;
use crate::model::ServerStage;

/// The share of an engine's memory that is given out: the rest takes up
/// block rounding and answers longer than estimated, so that a request is
/// rarely pushed out and its prompt read twice. Where engines hold ten streams
/// or so, 0.90 pushes none out and places fewer (mean worth 0.627 over thirty
/// days); 0.95 pushes out one in 800 (0.639); 1.0 one in 50 (0.642, and 13 to
/// 20 prompts a day read twice).
const MEMORY_PART: f64 = 0.95;
/// What failing always weighs against the server being full once over.
const FAILURE_WEIGHT: f64 = 4.0;
/// What each gateway that passes a server over weighs, up to three of them.
const PEER_ASIDE_WEIGHT: f64 = 0.7;
/// This many other gateways that pass a server over are believed outright.
const PEERS_TO_BELIEVE: u32 = 2;
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
/// A decode engine reads its prompt itself once prompts of this many times its
/// length wait at every reader: it would be done sooner, at half a reader's
/// speed and between its streams' tokens, though these are held up by it.
///
/// Guards against readers that become the narrow stage, when some fail, slow
/// down or were ordered away in a burst: all prompts queued there, first events
/// came after 1.9 s at the median, and half of a day's streams were late.
const READS_ITSELF_TIMES: f64 = 4.0;
/// Milliseconds that an engine's being wholly full weighs.
const FULL_MS: f64 = 400.0;

/// A place is left to others for each so many engines. Guards small services:
/// of two engines a late request would never get any.
const ENGINES_PER_PLACE_LEFT: usize = 4;

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
    /// Engines with room that are left to others, at large enough services: a
    /// late request leaves them to those who can be on time.
    pub places_left: usize,
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

/// A server that may take the request, with what the other gateways tell of
/// it: looked up once, however many costs are weighed.
#[derive(Debug, Clone, Copy)]
struct Candidate<'a> {
    belief: &'a ServerBelief,
    others: ServerSum,
    /// What its failures weigh, ours and those that others saw, in shares of
    /// a full server.
    failure_cost: f64,
}

impl Candidate<'_> {
    /// Work there, ours and the other gateways'.
    fn load(&self) -> LoadShare {
        self.belief.own.plus(self.others.load)
    }

    /// True when we pass the server over, or enough of the other gateways do
    /// that it is hardly their paths.
    fn is_aside(&self, now: Instant) -> bool {
        self.belief.health.is_aside(now) || self.others.aside >= PEERS_TO_BELIEVE
    }

    /// How full the engine would be with a stream of `shape`, from 0 to 1;
    /// `None` when it has no room for it.
    fn room(&self, spec: &EngineSpec, shape: &PromptShape) -> Option<f64> {
        let load = self.load();
        let slots = if spec.slots > 0 { spec.slots } else { self.belief.entry.slots };
        let with_it = load.plus(LoadShare::of_stream(shape));
        let by_slots = f64::from(with_it.running) / f64::from(slots.max(1));
        let by_memory = with_it.peak_tokens() / given_out(spec);
        let is_alone = load.running == 0;
        let filled = by_slots.max(if is_alone { by_memory.min(1.0) } else { by_memory });
        (filled <= 1.0).then_some(filled)
    }

    /// Milliseconds that a prompt waits there for those before it, with what
    /// failures weigh.
    fn reading_cost(&self) -> f64 {
        let queued = f64::from(self.load().prompt_tokens) / PREFILL_TOKENS_PER_MS;
        queued + self.failure_cost * FULL_MS
    }
}

type Candidates<'a> = SmallVec<[Candidate<'a>; 32]>;

/// The server for a call to a plain service: the least loaded, weighed with
/// how it has fared and how far it is.
pub fn place_plain(fleet: &Fleet, need: &PlaceNeed<'_>) -> Result<PlainPlace, PlaceRefusal> {
    let cost = |candidate: &Candidate<'_>| {
        let entry = &candidate.belief.entry;
        let filled = f64::from(candidate.load().running + 1) / f64::from(entry.slots.max(1));
        let distance = if entry.domain == *need.domain { 0.0 } else { AWAY_WEIGHT };
        filled + candidate.failure_cost + distance
    };
    let (server, cost) = cheapest(&candidates(fleet, need, |_| true), cost)?;
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
    let engines = open_candidates(fleet, need, |_| true);
    let decodes = well_or_all(&engines, need.now, |stage| stage != ServerStage::Prefill);
    if decodes.is_empty() {
        return Err(PlaceRefusal::NoServer);
    }
    let prompt_ms = f64::from(shape.prompt_tokens) / PREFILL_TOKENS_PER_MS;
    let reading_cost =
        |reader: &Candidate<'_>| reader.reading_cost() + dislike(need, reader.belief) * prompt_ms;
    let readers = well_or_all(&engines, need.now, |stage| stage == ServerStage::Prefill);
    let readers = DomainReaders::new(&readers, reading_cost);
    let longest_queue = (f64::from(shape.prompt_tokens) * READS_ITSELF_TIMES) as u32;
    let stream_fill = LoadShare::of_stream(shape).peak_tokens() / given_out(spec);
    let mut places: SmallVec<[(f64, usize); 32]> = SmallVec::new();
    for (at, decode) in decodes.iter().enumerate() {
        let Some(fill) = decode.room(spec, shape) else { continue };
        let fill = fill + dislike(need, decode.belief) * stream_fill;
        let decode_cost = (fill + decode.failure_cost) * FULL_MS;
        let reader = readers.near(&decode.belief.entry.domain, longest_queue);
        let reader_cost = reader.map_or(prompt_ms * READS_ITSELF_TIMES, |(_, cost)| cost);
        places.push((decode_cost + reader_cost, at));
    }
    let left = need.places_left.min(decodes.len() / ENGINES_PER_PLACE_LEFT);
    if ahead + left >= places.len() {
        return Err(PlaceRefusal::NoRoom);
    }
    let by_cost = |left: &(f64, usize), right: &(f64, usize)| left.0.total_cmp(&right.0);
    let (_, &mut (cost, at), _) = places.select_nth_unstable_by(ahead, by_cost);
    let decode = &decodes[at].belief.entry;
    let prefill = readers.near(&decode.domain, longest_queue).map(|(server, _)| server.clone());
    Ok(EnginePlace { decode: decode.server.clone(), prefill, cost })
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
    let cost = |candidate: &Candidate<'_>| {
        candidate.room(spec, shape).unwrap_or(2.0) + candidate.failure_cost
    };
    cheapest(&decodes, cost).map(|(server, _)| server)
}

/// A prefill server near `domain`.
pub fn place_prefill(
    fleet: &Fleet,
    domain: &DomainKey,
    need: &PlaceNeed<'_>,
) -> Result<ServerKey, PlaceRefusal> {
    let prefills = candidates(fleet, need, |stage| stage == ServerStage::Prefill);
    let cost = |candidate: &Candidate<'_>| {
        candidate.reading_cost() + transfer_cost(&candidate.belief.entry.domain, domain)
    };
    cheapest(&prefills, cost).map(|(server, _)| server)
}

/// The cheapest prefill server of each failure domain, found once a decision:
/// once for each pair of engines grows with the square of a site.
#[derive(Debug)]
struct DomainReaders<'a> {
    cheapest: SmallVec<[(Candidate<'a>, f64); 8]>,
}

impl<'a> DomainReaders<'a> {
    fn new(readers: &[Candidate<'a>], cost: impl Fn(&Candidate<'_>) -> f64) -> Self {
        let mut cheapest: SmallVec<[(Candidate<'a>, f64); 8]> = SmallVec::new();
        for reader in readers {
            let cost = cost(reader);
            let domain = &reader.belief.entry.domain;
            let same = |known: &&mut (Candidate<'a>, f64)| known.0.belief.entry.domain == *domain;
            match cheapest.iter_mut().find(same) {
                Some(known) if cost < known.1 => *known = (*reader, cost),
                Some(_) => {}
                None => cheapest.push((*reader, cost)),
            }
        }
        DomainReaders { cheapest }
    }

    /// The cheapest for a decode server in `domain` at which no more than
    /// `longest_queue` tokens wait, and its cost with the transfer's.
    fn near(&self, domain: &DomainKey, longest_queue: u32) -> Option<(&'a ServerKey, f64)> {
        self.cheapest
            .iter()
            .filter(|(reader, _)| reader.load().prompt_tokens <= longest_queue)
            .map(|(reader, cost)| {
                let entry = &reader.belief.entry;
                (&entry.server, cost + transfer_cost(&entry.domain, domain))
            })
            .min_by(|left, right| left.1.total_cmp(&right.1))
    }
}

/// The servers that may take the request: not tried yet and not set aside;
/// set aside ones too when there are no others, since a guess that one is
/// down must never refuse a request by itself.
fn candidates<'a>(
    fleet: &'a Fleet,
    need: &PlaceNeed<'_>,
    suits: impl Fn(ServerStage) -> bool,
) -> Candidates<'a> {
    well_or_all(&open_candidates(fleet, need, suits), need.now, |_| true)
}

fn open_candidates<'a>(
    fleet: &'a Fleet,
    need: &PlaceNeed<'_>,
    suits: impl Fn(ServerStage) -> bool,
) -> Candidates<'a> {
    fleet
        .open_servers(need.service, need.now)
        .filter(|(belief, _)| suits(belief.entry.stage))
        .filter(|(belief, _)| !need.tried.contains(&belief.entry.server))
        .map(|(belief, others)| Candidate {
            belief,
            others,
            failure_cost: failure_cost(belief, others, need.now),
        })
        .collect()
}

/// Those of a suitable stage that are not set aside, or all of that stage if
/// there are no others.
fn well_or_all<'a>(
    open: &[Candidate<'a>],
    now: Instant,
    suits: impl Fn(ServerStage) -> bool,
) -> Candidates<'a> {
    let suitable = || open.iter().filter(|candidate| suits(candidate.belief.entry.stage));
    let well: Candidates<'a> = suitable().filter(|one| !one.is_aside(now)).copied().collect();
    if well.is_empty() { suitable().copied().collect() } else { well }
}

fn cheapest(
    candidates: &[Candidate<'_>],
    cost: impl Fn(&Candidate<'_>) -> f64,
) -> Result<(ServerKey, f64), PlaceRefusal> {
    candidates
        .iter()
        .map(|candidate| (candidate, cost(candidate) + fastrand::f64() * 0.01))
        .min_by(|left, right| left.1.total_cmp(&right.1))
        .map(|(candidate, cost)| (candidate.belief.entry.server.clone(), cost))
        .ok_or(PlaceRefusal::NoServer)
}

/// What our own failures there weigh, and those of the other gateways: a
/// server that one of them passes over is likely down for all, though only
/// this one's path may be.
fn failure_cost(belief: &ServerBelief, others: ServerSum, now: Instant) -> f64 {
    let peers = f64::from(others.aside.min(3));
    belief.health.failure_share(now) * FAILURE_WEIGHT + peers * PEER_ASIDE_WEIGHT
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
    let mixed = (need.gateway ^ belief.incarnation).wrapping_mul(MIX);
    (mixed >> 32) as f64 / f64::from(u32::MAX)
}

/// What a transfer between two failure domains weighs, in milliseconds.
fn transfer_cost(from: &DomainKey, to: &DomainKey) -> f64 {
    if from == to { 0.0 } else { AWAY_TRANSFER_MS }
}

/// The tokens of an engine's memory that are given out.
fn given_out(spec: &EngineSpec) -> f64 {
    f64::from(spec.kv_tokens.max(1)) * MEMORY_PART
}
