//! Chooses the server for each request.

use std::time::Instant;

use smallvec::SmallVec;

use super::Fleet;
use super::LoadShare;
use super::ServerState;
use super::candidate::Candidate;
use super::candidate::Candidates;
use super::candidate::FULL_SERVER_MS;
use super::candidate::PREFILL_TOKENS_PER_MS;
use super::candidate::available_candidates;
use super::candidate::candidates;
use super::candidate::cheapest;
use super::candidate::healthy_or_all;
use super::candidate::usable_tokens;
use super::domain_prefill_servers::DomainPrefillServers;
use super::domain_prefill_servers::transfer_cost;
use super::rendezvous_score::rendezvous_score;
use crate::model::DomainKey;
use crate::model::EngineSpec;
use crate::model::PromptShape;
use crate::model::ServerKey;
use crate::model::ServerStage;
use crate::model::SoftwareDigest;

/// Cost of a server in another failure domain for plain calls, as a fraction of a full server.
/// Weighs two extra hops of under 2 ms against queueing.
const CROSS_DOMAIN_WEIGHT: f64 = 0.3;
/// A decode server prefills a prompt itself when the queue at every prefill server exceeds this
/// multiple of the prompt's length. It then finishes sooner, although it prefills at half the speed
/// of a prefill server, between the tokens of its streams, and delays these streams.
///
/// Prevents prefill servers from becoming the bottleneck when some of them fail, slow down or are
/// ordered to change stage in a burst. With all prompts queued there, the median time to first
/// event is 1.9 s and half of all streams miss their latency target.
const SELF_PREFILL_QUEUE_FACTOR: f64 = 4.0;

/// Cost of beginning a stream at a version with one decode server, as a fraction of a full one:
/// nowhere else could it go on.
const LAST_OF_VERSION_WEIGHT: f64 = 0.5;

/// How full an engine may be, with the stream, that is shared without turns, from 0 to 1.
const MAX_SHARED_OCCUPANCY: f64 = 0.5;

/// Constraints of a placement.
#[derive(Debug)]
pub struct PlacementRequest<'a> {
    pub service: &'a str,
    /// Digest of this gateway. Gateways differ in which of several equal servers they prefer.
    pub gateway: u64,
    /// This gateway's failure domain.
    pub domain: &'a DomainKey,
    /// Servers to which this request has already been sent.
    pub tried: &'a [ServerKey],
    /// The only software version that may respond: that of the servers which wrote what the caller
    /// has, or the KV cache. `None` if any may.
    pub software: Option<SoftwareDigest>,
    pub now: Instant,
}

/// Why no server was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum PlacementError {
    /// The service has no available server.
    NoServer,
    /// No available server has capacity for the request.
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
    /// Server that prefills the prompt; `None` when the decode server does so.
    pub prefill: Option<ServerKey>,
    pub cost: f64,
}

/// Returns the server for a call to a plain service: the least loaded one, weighted by its recent
/// failures and its distance.
pub fn place_plain(
    fleet: &Fleet,
    request: &PlacementRequest<'_>,
) -> Result<PlainPlacement, PlacementError> {
    let cost = |candidate: &Candidate<'_>| {
        let entry = &candidate.server_state.entry;
        let occupancy = f64::from(candidate.load().running + 1) / f64::from(entry.slots.max(1));
        let distance = if entry.domain == *request.domain { 0.0 } else { CROSS_DOMAIN_WEIGHT };
        occupancy + candidate.failure_cost + distance
    };
    let (server, cost) = cheapest(&candidates(fleet, request, |_| true), cost)?;
    Ok(PlainPlacement { server, cost })
}

/// Which of the free places a request may take.
#[derive(Debug, Clone, Copy)]
pub enum PlacementTurn<'a> {
    /// One at the best server that is left when the given number of requests at peers, which go
    /// first, have taken one each.
    Ranked(usize),
    /// This gateway's share of the places at each server that is at most half full. Where capacity is
    /// short, who goes first matters.
    Shared(PlaceShare<'a>),
}

/// What a gateway may take of free places without knowing what its peers take at the same time.
///
/// Prevents gateways with many waiting requests from placing one after the other, each after a
/// report of the one before, while engines are empty.
#[derive(Debug, Clone, Copy)]
pub struct PlaceShare<'a> {
    /// Number of gateways with waiting requests, this one included.
    pub queues: u32,
    /// The servers of this gateway's placements that peers may not know of yet.
    pub unreported: &'a [ServerKey],
}

impl PlaceShare<'_> {
    /// Returns true if this gateway may place one more stream of `shape` at `decode`, which has
    /// capacity for it.
    fn allows(&self, decode: &Candidate<'_>, spec: &EngineSpec, shape: &PromptShape) -> bool {
        let server = &decode.server_state.entry.server;
        let taken = self.unreported.iter().filter(|one| *one == server).count() as u32;
        // What the taken places have left.
        let places = decode.places(spec, shape);
        (taken + 1) * self.queues <= places + taken
    }
}

/// Returns a decode server with capacity for `shape`, and the prefill server for its prompt.
///
/// Prevents gateways from all taking the same capacity when it becomes free: each takes the
/// placement at its own rank, or no more than its share.
pub fn place_engine(
    fleet: &Fleet,
    spec: &EngineSpec,
    shape: &PromptShape,
    turn: PlacementTurn<'_>,
    request: &PlacementRequest<'_>,
) -> Result<EnginePlacement, PlacementError> {
    let can_decode =
        |candidate: &Candidate<'_>| candidate.server_state.entry.stage != ServerStage::Prefill;
    let mut engines = available_candidates(fleet, request, |_| true);
    if !engines.iter().any(can_decode) {
        return Err(PlacementError::NoServer);
    }
    engines.retain(|candidate| candidate.may_send);
    if request.software.is_none() {
        retain_beginning_versions(fleet, request.service, &mut engines);
    }
    let decode_servers =
        healthy_or_all(&engines, request.now, |stage| stage != ServerStage::Prefill);
    let prompt_ms = f64::from(shape.prompt_tokens) / PREFILL_TOKENS_PER_MS;
    let prefill_cost =
        |one: &Candidate<'_>| one.prefill_cost() + tie_break(request, one.server_state) * prompt_ms;
    let prefill_servers =
        healthy_or_all(&engines, request.now, |stage| stage == ServerStage::Prefill);
    let prefill_servers = DomainPrefillServers::new(&prefill_servers, prefill_cost);
    let max_queued_tokens = (f64::from(shape.prompt_tokens) * SELF_PREFILL_QUEUE_FACTOR) as u32;
    let stream_occupancy = LoadShare::of_stream(shape).peak_tokens() / usable_tokens(spec);
    let version_costs = VersionCosts::new(fleet, request, &decode_servers);
    let mut options: SmallVec<[(f64, usize); 32]> = SmallVec::new();
    for (index, decode) in decode_servers.iter().enumerate() {
        let Some(occupancy) = decode.occupancy_with(spec, shape) else { continue };
        if let PlacementTurn::Shared(share) = turn
            && (occupancy > MAX_SHARED_OCCUPANCY || !share.allows(decode, spec, shape))
        {
            continue;
        }
        let occupancy = occupancy + tie_break(request, decode.server_state) * stream_occupancy;
        let version_cost = version_costs.cost(decode.server_state.software);
        let decode_cost = (occupancy + decode.failure_cost + version_cost) * FULL_SERVER_MS;
        let prefill_server = prefill_servers.cheapest_for(decode.server_state, max_queued_tokens);
        let prefill_server_cost =
            prefill_server.map_or(prompt_ms * SELF_PREFILL_QUEUE_FACTOR, |(_, cost)| cost);
        options.push((decode_cost + prefill_server_cost, index));
    }
    let rank = match turn {
        PlacementTurn::Ranked(requests_ahead) => requests_ahead,
        PlacementTurn::Shared(_) => 0,
    };
    if rank >= options.len() {
        return Err(PlacementError::NoRoom);
    }
    let by_cost = |left: &(f64, usize), right: &(f64, usize)| left.0.total_cmp(&right.0);
    let (_, &mut (cost, index), _) = options.select_nth_unstable_by(rank, by_cost);
    let decode = decode_servers[index].server_state;
    let prefill =
        prefill_servers.cheapest_for(decode, max_queued_tokens).map(|(server, _)| server.clone());
    Ok(EnginePlacement { decode: decode.entry.server.clone(), prefill, cost })
}

/// Keeps the engines whose version may begin streams, or all where none of these can decode.
fn retain_beginning_versions(fleet: &Fleet, service: &str, engines: &mut Candidates<'_>) {
    let Some(versions) = fleet.service_versions(service) else { return };
    let may_begin = |one: &Candidate<'_>| versions.may_begin(one.server_state.software);
    let can_decode = |one: &Candidate<'_>| one.server_state.entry.stage != ServerStage::Prefill;
    if engines.iter().any(|one| can_decode(one) && may_begin(one)) {
        engines.retain(|one| may_begin(one));
    }
}

/// Costs of beginning a stream at one of several versions, as fractions of a full server: streams
/// begin so that their version has room left to take them up again.
struct VersionCosts {
    /// Empty unless there are several versions.
    costs: SmallVec<[(SoftwareDigest, f64); 4]>,
}

impl VersionCosts {
    fn new(
        fleet: &Fleet,
        request: &PlacementRequest<'_>,
        decode_servers: &[Candidate<'_>],
    ) -> Self {
        let versions = fleet.service_versions(request.service);
        let Some(versions) = versions.filter(|versions| versions.sole().is_none()) else {
            return VersionCosts { costs: SmallVec::new() };
        };
        let cost = |software: SoftwareDigest| {
            let of_version = |one: &&Candidate<'_>| one.server_state.software == software;
            let is_last = decode_servers.iter().filter(of_version).count() == 1;
            let last_cost = if is_last { LAST_OF_VERSION_WEIGHT } else { 0.0 };
            last_cost + versions.leaving_share(software)
        };
        let costs = versions.recent().into_iter().map(|software| (software, cost(software)));
        VersionCosts { costs: costs.collect() }
    }

    fn cost(&self, software: SoftwareDigest) -> f64 {
        self.costs.iter().find(|(one, _)| *one == software).map_or(0.0, |(_, cost)| *cost)
    }
}

/// Returns a decode server for a stream that must continue on another server. A server without
/// capacity is accepted too, since the caller is already waiting in the middle of a response.
pub fn place_decode(
    fleet: &Fleet,
    spec: &EngineSpec,
    shape: &PromptShape,
    request: &PlacementRequest<'_>,
) -> Result<ServerKey, PlacementError> {
    let decode_servers = candidates(fleet, request, |stage| stage != ServerStage::Prefill);
    let cost = |candidate: &Candidate<'_>| {
        candidate.occupancy_with(spec, shape).unwrap_or(2.0) + candidate.failure_cost
    };
    cheapest(&decode_servers, cost).map(|(server, _)| server)
}

/// Returns a prefill server, preferably in `domain`.
pub fn place_prefill(
    fleet: &Fleet,
    domain: &DomainKey,
    request: &PlacementRequest<'_>,
) -> Result<ServerKey, PlacementError> {
    let prefill_servers = candidates(fleet, request, |stage| stage == ServerStage::Prefill);
    let cost = |candidate: &Candidate<'_>| {
        candidate.prefill_cost() + transfer_cost(&candidate.server_state.entry.domain, domain)
    };
    cheapest(&prefill_servers, cost).map(|(server, _)| server)
}

/// Returns how much this gateway disfavours a server among equal ones, from 0 to 1: a pseudo-random
/// value derived from both digests, to be scaled by the load of one request.
///
/// Prevents gateways from all choosing the same server. Their views are up to one report interval
/// (250 ms) old, and by cost alone they agree on the server that looks emptiest: of the placements
/// that 79 gateways make within 30 ms, a third go to one of 39 servers, where prompts queue and
/// memory runs out. A server that is less loaded by one request is still preferred.
fn tie_break(request: &PlacementRequest<'_>, server_state: &ServerState) -> f64 {
    f64::from(rendezvous_score(request.gateway, server_state.incarnation)) / f64::from(u32::MAX)
}
