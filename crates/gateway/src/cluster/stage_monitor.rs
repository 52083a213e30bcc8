//! Decides when engines should change between the prefill and decode stages.

use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;

use super::Fleet;
use crate::model::DomainKey;
use crate::model::ServerKey;
use crate::model::ServerStage;

/// Window over which the number of busy prefill servers is averaged. A burst shows after a second,
/// a single prompt does not.
const AVERAGING_WINDOW: Duration = Duration::from_millis(1500);
/// How long requests must have been queued without interruption. Shorter queues clear by themselves
/// before an engine has changed, which takes about 6 s.
const MIN_QUEUED_DURATION: Duration = Duration::from_millis(600);
/// Minimum fraction, and minimum number, of a service's engines that prefill prompts, since a
/// failure domain may fail.
const MIN_PREFILL_FRACTION: f64 = 0.12;
const MIN_PREFILL_SERVERS: usize = 3;
/// Prefill servers also change while no request is queued, when more than this fraction of them has
/// been spare for [`MIN_SPARE_DURATION`]. Engines are unavailable for about 6 s, longer than most
/// bursts last, so a change that waits for the burst adds its capacity only afterwards.
const SPARE_FRACTION: f64 = 0.2;
const MIN_SPARE_DURATION: Duration = Duration::from_secs(2);
/// Prefill servers that are busier than this for [`MIN_OVERLOAD_DURATION`] are too few.
const OVERLOAD_FRACTION: f64 = 0.9;
const MIN_OVERLOAD_DURATION: Duration = Duration::from_secs(3);
/// Minimum time between two changes. Engines change in about 6 s, and the effect shows in the next
/// burst.
const COOLDOWN: Duration = Duration::from_secs(15);

/// The engines of a service at one point in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StageSnapshot {
    pub prefill: usize,
    /// Prefill servers that have any load.
    pub prefill_busy: usize,
    pub decode: usize,
    /// Requests queued for capacity, at this gateway and its peers.
    pub queued: usize,
    /// Target number of prefill servers, from the time that streams take in each stage; `None`
    /// while that is unknown.
    pub target_prefill: Option<usize>,
}

impl StageSnapshot {
    /// Returns the number of engines in both stages.
    pub fn engines(&self) -> usize {
        self.prefill + self.decode
    }
}

/// A number of engines that should change to another stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StageChange {
    pub to: ServerStage,
    pub count: usize,
}

/// Monitors the engines of one service.
///
/// In bursts, decode servers are full while prefill servers are idle for much of their time: with a
/// third of 60 engines in the prefill stage, these are busy for 0.45 of it while 100 requests are
/// queued. Changing seven of them gives 18% more capacity.
#[derive(Debug, Default)]
pub struct StageMonitor {
    /// Moving average of the number of busy prefill servers.
    busy: f64,
    polled_at: Option<Instant>,
    queued_since: Option<Instant>,
    overloaded_since: Option<Instant>,
    /// Since when more than [`SPARE_FRACTION`] of the prefill servers have been spare.
    spare_since: Option<Instant>,
    cooldown_until: Option<Instant>,
}

impl StageMonitor {
    /// Records a snapshot. Returns the change that should be made, if any.
    pub fn update(&mut self, snapshot: StageSnapshot, now: Instant) -> Option<StageChange> {
        self.update_average(snapshot, now);
        let is_overloaded = self.busy > OVERLOAD_FRACTION * snapshot.prefill as f64;
        update_since(&mut self.queued_since, snapshot.queued > 0, now);
        update_since(&mut self.overloaded_since, is_overloaded && snapshot.queued == 0, now);
        if self.cooldown_until.is_some_and(|until| now < until) {
            return None;
        }
        let spare = snapshot
            .target_prefill
            .map_or(0, |target| snapshot.prefill.saturating_sub(target.max(min_prefill(snapshot))));
        update_since(
            &mut self.spare_since,
            spare as f64 > SPARE_FRACTION * snapshot.prefill as f64,
            now,
        );
        if has_persisted(self.queued_since, MIN_QUEUED_DURATION, now)
            || has_persisted(self.spare_since, MIN_SPARE_DURATION, now)
        {
            return (spare > 0).then_some(StageChange { to: ServerStage::Decode, count: spare });
        }
        if has_persisted(self.overloaded_since, MIN_OVERLOAD_DURATION, now) {
            let missing = snapshot.target_prefill?.saturating_sub(snapshot.prefill);
            let count = missing.min(snapshot.decode / 4);
            return (count > 0).then_some(StageChange { to: ServerStage::Prefill, count });
        }
        None
    }

    /// Suppresses further changes for a while, since this gateway acts on one.
    pub fn start_cooldown(&mut self, now: Instant) {
        self.cooldown_until = Some(now + COOLDOWN);
    }

    fn update_average(&mut self, snapshot: StageSnapshot, now: Instant) {
        let elapsed = self
            .polled_at
            .map_or(AVERAGING_WINDOW, |polled_at| now.saturating_duration_since(polled_at));
        let weight = (elapsed.as_secs_f64() / AVERAGING_WINDOW.as_secs_f64()).min(1.0);
        self.busy += (snapshot.prefill_busy as f64 - self.busy) * weight;
        self.polled_at = Some(now);
    }
}

fn min_prefill(snapshot: StageSnapshot) -> usize {
    let fraction = MIN_PREFILL_FRACTION * snapshot.engines() as f64;
    MIN_PREFILL_SERVERS.max(fraction.ceil() as usize)
}

fn update_since(since: &mut Option<Instant>, holds: bool, now: Instant) {
    *since = holds.then(|| since.unwrap_or(now));
}

fn has_persisted(since: Option<Instant>, time: Duration, now: Instant) -> bool {
    since.is_some_and(|since| now.saturating_duration_since(since) >= time)
}

/// Returns a snapshot of the engines of `service`, for which `queued` requests are queued.
pub fn stage_snapshot(fleet: &Fleet, service: &str, queued: usize, now: Instant) -> StageSnapshot {
    let mut snapshot =
        StageSnapshot { prefill: 0, prefill_busy: 0, decode: 0, queued, target_prefill: None };
    for (server_state, peers) in fleet.available_servers(service, now) {
        match server_state.entry.stage {
            ServerStage::Plain => {}
            ServerStage::Decode => snapshot.decode += 1,
            ServerStage::Prefill => {
                snapshot.prefill += 1;
                snapshot.prefill_busy +=
                    usize::from(server_state.local_load.plus(peers.load).running > 0);
            }
        }
    }
    snapshot
}

/// Chooses the engines of `service` to change: the least loaded, one by one from the failure domain
/// that has most of them left, so that no domain loses all.
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
    let mut candidates: Vec<(u32, DomainKey, ServerKey)> = fleet
        .available_servers(service, now)
        .filter(|(server_state, _)| server_state.entry.stage == from)
        .filter(|(server_state, _)| !server_state.health.is_ejected(now))
        .map(|(server_state, peers)| {
            let running = server_state.local_load.plus(peers.load).running;
            (running, server_state.entry.domain.clone(), server_state.entry.server.clone())
        })
        .collect();
    candidates.sort();
    let mut chosen = Vec::new();
    while chosen.len() < change.count && !candidates.is_empty() {
        let domain = largest_domain(&candidates);
        let index = candidates
            .iter()
            .position(|(_, known, _)| *known == domain)
            .expect("a domain of the list");
        chosen.push(candidates.remove(index).2);
    }
    chosen
}

fn largest_domain(candidates: &[(u32, DomainKey, ServerKey)]) -> DomainKey {
    let mut counts: SmallVec<[(&DomainKey, usize); 8]> = SmallVec::new();
    for (_, domain, _) in candidates {
        match counts.iter_mut().find(|(known, _)| *known == domain) {
            Some((_, count)) => *count += 1,
            None => counts.push((domain, 1)),
        }
    }
    let largest = counts.iter().max_by_key(|(_, count)| *count).expect("a list that is not empty");
    largest.0.clone()
}
