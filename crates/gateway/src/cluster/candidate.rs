//! A server that may receive a request, and the costs by which servers are compared.

use std::time::Instant;

use smallvec::SmallVec;

use super::Fleet;
use super::LoadShare;
use super::PlacementError;
use super::PlacementRequest;
use super::ServerState;
use super::ServerTotals;
use super::fleet_paths::ServerReach;
use crate::model::EngineSpec;
use crate::model::PromptShape;
use crate::model::ServerKey;
use crate::model::ServerStage;

/// Fraction of an engine's KV cache that placement uses. The rest absorbs block rounding and
/// responses longer than estimated, so that a request is rarely preempted and its prompt prefilled
/// twice.
///
/// For engines that hold about ten streams, over thirty runs with bursts and faults: 0.90 preempts
/// none but places fewer in a burst (callers get 0.627 of the value of what they request); 0.95
/// preempts one in 800 (0.639); 1.0 preempts one in 50 (0.642, with 13 to 20 prompts per run
/// prefilled twice).
const USABLE_MEMORY_FRACTION: f64 = 0.95;
/// Cost of a server at which every attempt fails, in multiples of a full server.
const FAILURE_WEIGHT: f64 = 4.0;
/// Cost of each peer that has ejected the server, for up to three peers.
const PEER_EJECTION_WEIGHT: f64 = 0.7;
/// Cost of a server that is reached only through another gateway: as for plain calls to another
/// failure domain.
const TUNNEL_WEIGHT: f64 = 0.3;
/// Number of peers that must have ejected a server for it to count as ejected here too.
const MIN_EJECTING_PEERS: u32 = 2;
/// Prompt tokens that an engine prefills in a millisecond, for weighing a queue against a transfer
/// between failure domains. Matches engines that prefill 55. Never causes a rejection by itself.
pub(super) const PREFILL_TOKENS_PER_MS: f64 = 55.0;
/// Cost of a full engine, in milliseconds.
pub(super) const FULL_SERVER_MS: f64 = 400.0;

/// A server that may receive the request, with the totals that peers report for it. Looked up once,
/// however many costs are computed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate<'a> {
    pub server_state: &'a ServerState,
    pub peers: ServerTotals,
    /// False while a backoff or the server's rate limit keeps this gateway from sending to it.
    pub may_send: bool,
    pub reach: ServerReach,
    /// Cost of failures, both observed by this gateway and reported by peers, and of a tunnel, in
    /// multiples of a full server.
    pub failure_cost: f64,
}

impl Candidate<'_> {
    /// Returns the load of this gateway and its peers on the server.
    pub fn load(&self) -> LoadShare {
        self.server_state.local_load.plus(self.peers.load)
    }

    /// Returns true if this gateway has ejected or does not reach the server, or if so many peers
    /// have ejected it that their network paths are hardly the cause.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.server_state.health.is_ejected(now)
            || self.peers.ejections >= MIN_EJECTING_PEERS
            || self.reach == ServerReach::None
    }

    /// Returns how full the engine would be with a stream of `shape`, from 0 to 1; `None` when it
    /// has no capacity for it.
    pub fn occupancy_with(&self, spec: &EngineSpec, shape: &PromptShape) -> Option<f64> {
        let load = self.load();
        let load_after = load.plus(LoadShare::of_stream(shape));
        let by_slots = f64::from(load_after.running) / f64::from(self.slots(spec));
        let by_memory = load_after.peak_tokens() / usable_tokens(spec);
        let is_alone = load.running == 0;
        let occupancy = by_slots.max(if is_alone { by_memory.min(1.0) } else { by_memory });
        (occupancy <= 1.0).then_some(occupancy)
    }

    /// Returns how many more streams of `shape` the engine has capacity for, if it has any.
    pub fn places(&self, spec: &EngineSpec, shape: &PromptShape) -> u32 {
        let load = self.load();
        let by_slots = self.slots(spec).saturating_sub(load.running);
        let free_tokens = usable_tokens(spec) - load.peak_tokens();
        let by_memory = (free_tokens / LoadShare::of_stream(shape).peak_tokens().max(1.0)) as u32;
        by_slots.min(by_memory).max(1)
    }

    /// Returns how many requests the engine runs at once.
    fn slots(&self, spec: &EngineSpec) -> u32 {
        let slots = if spec.slots > 0 { spec.slots } else { self.server_state.entry.slots };
        slots.max(1)
    }

    /// Returns how long a prompt is queued behind others at the server, in milliseconds, plus the
    /// cost of failures.
    pub fn prefill_cost(&self) -> f64 {
        let queued = f64::from(self.load().prompt_tokens) / PREFILL_TOKENS_PER_MS;
        queued + self.failure_cost * FULL_SERVER_MS
    }
}

/// The inline capacity covers the servers of most services.
pub(super) type Candidates<'a> = SmallVec<[Candidate<'a>; 32]>;

/// Returns the servers that may receive the request now: those that are neither tried yet nor
/// ejected. Includes ejected servers when there are no others, since an estimate that a server is
/// down must never be the only reason to reject a request.
pub(super) fn candidates<'a>(
    fleet: &'a Fleet,
    request: &PlacementRequest<'_>,
    suits: impl Fn(ServerStage) -> bool,
) -> Candidates<'a> {
    let mut available = available_candidates(fleet, request, suits);
    available.retain(|candidate| candidate.may_send);
    healthy_or_all(&available, request.now, |_| true)
}

/// Returns the servers that are available to the request, whatever their health.
pub(super) fn available_candidates<'a>(
    fleet: &'a Fleet,
    request: &PlacementRequest<'_>,
    suits: impl Fn(ServerStage) -> bool,
) -> Candidates<'a> {
    fleet
        .available_servers_of(request.service, request.software, request.now)
        .filter(|(server_state, _)| suits(server_state.entry.stage))
        .filter(|(server_state, _)| !request.tried.contains(&server_state.entry.server))
        .map(|(server_state, peers)| {
            let reach = fleet.reach(server_state, request.now);
            let tunnel_cost = if reach == ServerReach::Direct { 0.0 } else { TUNNEL_WEIGHT };
            Candidate {
                server_state,
                peers,
                may_send: fleet.may_send(server_state, request.now),
                reach,
                failure_cost: failure_cost(server_state, peers, request.now) + tunnel_cost,
            }
        })
        .collect()
}

/// Returns the servers of a suitable stage that are not ejected, or all of that stage if there are
/// no others.
pub(super) fn healthy_or_all<'a>(
    available: &[Candidate<'a>],
    now: Instant,
    suits: impl Fn(ServerStage) -> bool,
) -> Candidates<'a> {
    let suitable =
        || available.iter().filter(|candidate| suits(candidate.server_state.entry.stage));
    let healthy: Candidates<'a> =
        suitable().filter(|candidate| !candidate.is_ejected(now)).copied().collect();
    if healthy.is_empty() { suitable().copied().collect() } else { healthy }
}

/// Returns the candidate with the lowest cost. Equal ones are chosen from at random.
pub(super) fn cheapest(
    candidates: &[Candidate<'_>],
    cost: impl Fn(&Candidate<'_>) -> f64,
) -> Result<(ServerKey, f64), PlacementError> {
    candidates
        .iter()
        .map(|candidate| (candidate, cost(candidate) + fastrand::f64() * 0.01))
        .min_by(|left, right| left.1.total_cmp(&right.1))
        .map(|(candidate, cost)| (candidate.server_state.entry.server.clone(), cost))
        .ok_or(PlacementError::NoServer)
}

/// Returns the cost of failures observed by this gateway and of ejections by peers. A server that
/// one peer has ejected is likely down for all, although only that peer's path to it may be.
fn failure_cost(server_state: &ServerState, peers: ServerTotals, now: Instant) -> f64 {
    let peer_count = f64::from(peers.ejections.min(3));
    server_state.health.failure_fraction(now) * FAILURE_WEIGHT + peer_count * PEER_EJECTION_WEIGHT
}

/// Returns the number of an engine's KV cache tokens that placement uses.
pub(super) fn usable_tokens(spec: &EngineSpec) -> f64 {
    f64::from(spec.kv_tokens.max(1)) * USABLE_MEMORY_FRACTION
}
