//! A server that may take a request, and what weighs for and against it.

use std::time::Instant;

use smallvec::SmallVec;

use super::Fleet;
use super::LoadShare;
use super::PlacementError;
use super::PlacementRequest;
use super::ServerState;
use super::ServerTotals;
use crate::model::EngineSpec;
use crate::model::PromptShape;
use crate::model::ServerKey;
use crate::model::ServerStage;

/// The share of an engine's memory that is given out: the rest takes up
/// block rounding and answers longer than estimated, so that a request is
/// rarely pushed out and its prompt read twice. Where engines hold ten streams
/// or so, 0.90 pushes none out and places fewer in a burst (callers got 0.627 of
/// the value of what they asked for, over thirty runs with bursts and faults);
/// 0.95 pushes out one in 800 (0.639); 1.0 one in 50 (0.642, with 13 to 20
/// prompts a run read twice).
const MEMORY_PART: f64 = 0.95;
/// What failing always weighs against the server being full once over.
const FAILURE_WEIGHT: f64 = 4.0;
/// What each gateway that passes a server over weighs, up to three of them.
const PEER_ASIDE_WEIGHT: f64 = 0.7;
/// This many other gateways that pass a server over are believed outright.
const PEERS_TO_BELIEVE: u32 = 2;
/// Prompt tokens an engine reads in a millisecond, for weighing a queue
/// against a transfer between failure domains; measured on engines that read
/// 55. It refuses nobody.
pub(super) const PREFILL_TOKENS_PER_MS: f64 = 55.0;
/// Milliseconds that an engine's being wholly full weighs.
pub(super) const FULL_MS: f64 = 400.0;

/// A server that may take the request, with what the other gateways tell of
/// it: looked up once, however many costs are weighed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate<'a> {
    pub server_state: &'a ServerState,
    pub others: ServerTotals,
    /// False while the server's rate limit keeps this gateway from sending to it.
    pub may_send: bool,
    /// What its failures weigh, ours and those that others saw, in shares of
    /// a full server.
    pub failure_cost: f64,
}

impl Candidate<'_> {
    /// Work there, ours and the other gateways'.
    pub fn load(&self) -> LoadShare {
        self.server_state.own.plus(self.others.load)
    }

    /// True when we pass the server over, or enough of the other gateways do
    /// that it is hardly their paths.
    pub fn is_aside(&self, now: Instant) -> bool {
        self.server_state.health.is_aside(now) || self.others.ejections >= PEERS_TO_BELIEVE
    }

    /// How full the engine would be with a stream of `shape`, from 0 to 1;
    /// `None` when it has no room for it.
    pub fn room(&self, spec: &EngineSpec, shape: &PromptShape) -> Option<f64> {
        let load = self.load();
        let slots = if spec.slots > 0 { spec.slots } else { self.server_state.entry.slots };
        let with_it = load.plus(LoadShare::of_stream(shape));
        let by_slots = f64::from(with_it.running) / f64::from(slots.max(1));
        let by_memory = with_it.peak_tokens() / given_out(spec);
        let is_alone = load.running == 0;
        let filled = by_slots.max(if is_alone { by_memory.min(1.0) } else { by_memory });
        (filled <= 1.0).then_some(filled)
    }

    /// Milliseconds that a prompt waits there for those before it, with what
    /// failures weigh.
    pub fn reading_cost(&self) -> f64 {
        let queued = f64::from(self.load().prompt_tokens) / PREFILL_TOKENS_PER_MS;
        queued + self.failure_cost * FULL_MS
    }
}

/// Most services have no more.
pub(super) type Candidates<'a> = SmallVec<[Candidate<'a>; 32]>;

/// The servers that may take the request now: not tried yet and not set aside;
/// set aside ones too when there are no others, since a guess that one is
/// down must never refuse a request by itself.
pub(super) fn candidates<'a>(
    fleet: &'a Fleet,
    need: &PlacementRequest<'_>,
    suits: impl Fn(ServerStage) -> bool,
) -> Candidates<'a> {
    let mut open = open_candidates(fleet, need, suits);
    open.retain(|candidate| candidate.may_send);
    well_or_all(&open, need.now, |_| true)
}

/// The servers that are open to the request, whatever their record.
pub(super) fn open_candidates<'a>(
    fleet: &'a Fleet,
    need: &PlacementRequest<'_>,
    suits: impl Fn(ServerStage) -> bool,
) -> Candidates<'a> {
    fleet
        .open_servers(need.service, need.now)
        .filter(|(server_state, _)| suits(server_state.entry.stage))
        .filter(|(server_state, _)| !need.tried.contains(&server_state.entry.server))
        .map(|(server_state, others)| Candidate {
            server_state,
            others,
            may_send: fleet.may_send(server_state, need.now),
            failure_cost: failure_cost(server_state, others, need.now),
        })
        .collect()
}

/// Those of a suitable stage that are not set aside, or all of that stage if
/// there are no others.
pub(super) fn well_or_all<'a>(
    open: &[Candidate<'a>],
    now: Instant,
    suits: impl Fn(ServerStage) -> bool,
) -> Candidates<'a> {
    let suitable = || open.iter().filter(|candidate| suits(candidate.server_state.entry.stage));
    let well: Candidates<'a> = suitable().filter(|one| !one.is_aside(now)).copied().collect();
    if well.is_empty() { suitable().copied().collect() } else { well }
}

/// The candidate of the least cost; equal ones are drawn from.
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

/// What our own failures there weigh, and those of the other gateways: a
/// server that one of them passes over is likely down for all, though only
/// this one's path may be.
fn failure_cost(server_state: &ServerState, others: ServerTotals, now: Instant) -> f64 {
    let peers = f64::from(others.ejections.min(3));
    server_state.health.failure_share(now) * FAILURE_WEIGHT + peers * PEER_ASIDE_WEIGHT
}

/// The tokens of an engine's memory that are given out.
pub(super) fn given_out(spec: &EngineSpec) -> f64 {
    f64::from(spec.kv_tokens.max(1)) * MEMORY_PART
}
