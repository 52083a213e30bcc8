//! When engines should change from reading prompts to generating, or back.

use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;

use super::Fleet;
use crate::model::DomainKey;
use crate::model::ServerKey;
use crate::model::ServerStage;

/// Engines at work are averaged over about this long: a burst shows after a
/// second, a single prompt does not.
const AVERAGE_TIME: Duration = Duration::from_millis(1500);
/// Requests must have waited for room this long without a pause: shorter
/// waits end by themselves before an engine has changed (some 6 s).
const WAITING_TIME: Duration = Duration::from_millis(600);
/// The least part of a service's engines that reads prompts, and the least
/// number: a failure domain may fail.
const MIN_PART: f64 = 0.12;
const MIN_PREFILL: usize = 3;
/// Where more than this part of the readers is not wanted for this long, they
/// change also while nobody waits: engines are away for some 6 s, longer than
/// most bursts last, so whoever waits for the burst gets its room after it.
const SPARE_PART: f64 = 0.2;
const SPARE_TIME: Duration = Duration::from_secs(2);
/// Prompt readers busier than this for [`OVERLOAD_TIME`] are too few.
const OVERLOAD_SHARE: f64 = 0.9;
const OVERLOAD_TIME: Duration = Duration::from_secs(3);
/// Nothing is changed again for this long: engines change in some 6 s, and
/// what that does shows in the next burst.
const REST_TIME: Duration = Duration::from_secs(15);

/// One look at a service's engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StageSnapshot {
    pub prefill: usize,
    /// Prompt readers that have any work.
    pub prefill_busy: usize,
    pub decode: usize,
    /// Requests that wait for room, here and at other gateways.
    pub waiting: usize,
    /// Prompt readers wanted by what streams take of either stage; `None` while
    /// that is not known.
    pub wanted: Option<usize>,
}

impl StageSnapshot {
    /// Engines of either stage.
    pub fn engines(&self) -> usize {
        self.prefill + self.decode
    }
}

/// How many engines should change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StageChange {
    pub to: ServerStage,
    pub count: usize,
}

/// Watches one service's pools.
///
/// Engines that generate are full in bursts while those that read prompts
/// idle for much of their time: with a third of 60 engines reading, they
/// worked for 0.45 of it while 100 requests waited. Seven of them changed
/// give 18% more room.
#[derive(Debug, Default)]
pub struct StageWatch {
    /// Prompt readers at work, averaged.
    busy: f64,
    looked_at: Option<Instant>,
    waiting_since: Option<Instant>,
    overloaded_since: Option<Instant>,
    /// Since when there have been clearly more readers than wanted.
    spare_since: Option<Instant>,
    rest_until: Option<Instant>,
}

impl StageWatch {
    /// Takes in a look, and says what should change.
    pub fn look(&mut self, look: StageSnapshot, now: Instant) -> Option<StageChange> {
        self.average(look, now);
        let is_overloaded = self.busy > OVERLOAD_SHARE * look.prefill as f64;
        keep_since(&mut self.waiting_since, look.waiting > 0, now);
        keep_since(&mut self.overloaded_since, is_overloaded && look.waiting == 0, now);
        if self.rest_until.is_some_and(|until| now < until) {
            return None;
        }
        let spare = look
            .wanted
            .map_or(0, |wanted| look.prefill.saturating_sub(wanted.max(least_prefill(look))));
        keep_since(&mut self.spare_since, spare as f64 > SPARE_PART * look.prefill as f64, now);
        if has_lasted(self.waiting_since, WAITING_TIME, now)
            || has_lasted(self.spare_since, SPARE_TIME, now)
        {
            return (spare > 0).then_some(StageChange { to: ServerStage::Decode, count: spare });
        }
        if has_lasted(self.overloaded_since, OVERLOAD_TIME, now) {
            let missing = look.wanted?.saturating_sub(look.prefill);
            let count = missing.min(look.decode / 4);
            return (count > 0).then_some(StageChange { to: ServerStage::Prefill, count });
        }
        None
    }

    /// This gateway acts on a change: none is asked for again for a while.
    pub fn rest(&mut self, now: Instant) {
        self.rest_until = Some(now + REST_TIME);
    }

    fn average(&mut self, look: StageSnapshot, now: Instant) {
        let gap = self.looked_at.map_or(AVERAGE_TIME, |at| now.saturating_duration_since(at));
        let weight = (gap.as_secs_f64() / AVERAGE_TIME.as_secs_f64()).min(1.0);
        self.busy += (look.prefill_busy as f64 - self.busy) * weight;
        self.looked_at = Some(now);
    }
}

fn least_prefill(look: StageSnapshot) -> usize {
    let part = MIN_PART * look.engines() as f64;
    MIN_PREFILL.max(part.ceil() as usize)
}

fn keep_since(since: &mut Option<Instant>, holds: bool, now: Instant) {
    *since = holds.then(|| since.unwrap_or(now));
}

fn has_lasted(since: Option<Instant>, time: Duration, now: Instant) -> bool {
    since.is_some_and(|since| now.saturating_duration_since(since) >= time)
}

/// A look at the engines of `service`, for which `waiting` requests wait.
pub fn stage_snapshot(fleet: &Fleet, service: &str, waiting: usize, now: Instant) -> StageSnapshot {
    let mut look = StageSnapshot { prefill: 0, prefill_busy: 0, decode: 0, waiting, wanted: None };
    for (server_state, others) in fleet.open_servers(service, now) {
        match server_state.entry.stage {
            ServerStage::Plain => {}
            ServerStage::Decode => look.decode += 1,
            ServerStage::Prefill => {
                look.prefill += 1;
                look.prefill_busy += usize::from(server_state.own.plus(others.load).running > 0);
            }
        }
    }
    look
}

/// The engines of `service` to change: the idlest, one by one from the
/// failure domain that has most of them left, so that no domain loses all.
pub fn choose_stage_change(
    fleet: &Fleet,
    service: &str,
    change: StageChange,
    now: Instant,
) -> Vec<ServerKey> {
    let from = match change.to {
        ServerStage::Decode => ServerStage::Prefill,
        _ => ServerStage::Decode,
    };
    let mut left: Vec<(u32, DomainKey, ServerKey)> = fleet
        .open_servers(service, now)
        .filter(|(server_state, _)| server_state.entry.stage == from)
        .filter(|(server_state, _)| !server_state.health.is_aside(now))
        .map(|(server_state, others)| {
            let running = server_state.own.plus(others.load).running;
            (running, server_state.entry.domain.clone(), server_state.entry.server.clone())
        })
        .collect();
    left.sort();
    let mut chosen = Vec::new();
    while chosen.len() < change.count && !left.is_empty() {
        let domain = fullest_domain(&left);
        let at = left.iter().position(|(_, of, _)| *of == domain).expect("a domain of the list");
        chosen.push(left.remove(at).2);
    }
    chosen
}

fn fullest_domain(left: &[(u32, DomainKey, ServerKey)]) -> DomainKey {
    let mut counts: SmallVec<[(&DomainKey, usize); 8]> = SmallVec::new();
    for (_, domain, _) in left {
        match counts.iter_mut().find(|(known, _)| *known == domain) {
            Some((_, count)) => *count += 1,
            None => counts.push((domain, 1)),
        }
    }
    let most = counts.iter().max_by_key(|(_, count)| *count).expect("a list that is not empty");
    most.0.clone()
}
