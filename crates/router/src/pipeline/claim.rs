//! Claims capacity on the prefill and the decode server of a request.

use std::sync::Arc;
use std::time::Duration;

use umberglade_wire::engine::EngineRole;
use umberglade_wire::engine::Priority;

use super::RunFailure;
use super::run::RequestRun;
use crate::admission::AdmissionQueue;
use crate::admission::PlacementMode;
use crate::control::ControlSnapshot;
use crate::control::InFlightGuard;
use crate::control::ServerPool;
use crate::control::ServerSlot;
use crate::front::RETRY_AFTER_S;
use crate::placement::Choice;
use crate::placement::Placement;
use crate::placement::PlacementRequest;

/// How long an attempt after the first waits for capacity.
const MAX_RETRY_WAIT: Duration = Duration::from_secs(3);
/// The fraction of a class's first-token target available for queueing and prefill. The rest
/// covers prediction errors and callers who retry after a rejection, whose time to the first token
/// counts from their first attempt. Under overload a shorter queue serves as many requests as a
/// longer one, but within their target.
const TARGET_FRACTION: f64 = 0.5;

/// A server chosen for a stage, with the request counted in flight there.
#[derive(Debug)]
pub(crate) struct ClaimedServer {
    pub slot: Arc<ServerSlot>,
    pub guard: InFlightGuard,
    pub choice: Choice,
}

/// The prefill and the decode server of a request.
#[derive(Debug)]
pub(crate) struct ClaimedPair {
    pub prefill: ClaimedServer,
    pub decode: ClaimedServer,
}

/// Notifies the admission queue on drop that capacity became free. Must be declared after the
/// guards of a struct, so that it drops after them.
#[derive(Debug)]
pub(crate) struct CapacityNotifier(pub Arc<AdmissionQueue>);

impl Drop for CapacityNotifier {
    fn drop(&mut self) {
        self.0.notify_capacity();
    }
}

impl<P: Placement> RequestRun<P> {
    /// Waits for capacity on a prefill and a decode server and claims it.
    pub async fn claim_pair(&mut self) -> Result<ClaimedPair, RunFailure> {
        let snapshot = self.daemon.shared.control.current();
        for role in [EngineRole::Prefill, EngineRole::Decode] {
            let pool = snapshot.candidates(role, &self.admitted.model);
            if pool.is_empty() {
                return Err(RunFailure::NoServer { role, model: self.admitted.model.clone() });
            }
            // Once every server of the role has been tried, waiting for another would last until
            // the deadline, so all become eligible again.
            if pool.iter().all(|slot| self.avoid.contains(&slot.entry.server)) {
                self.clear_avoided();
            }
        }
        if !self.daemon.shared.placement.waits_for_capacity() {
            let placed = self.place_pair(PlacementMode::Normal);
            return placed.ok_or(RunFailure::NoCapacity { retry_after_s: RETRY_AFTER_S });
        }
        self.queue()
            .acquire(self.admitted.priority, self.max_wait(), |mode| self.place_pair(mode))
            .await
            .map_err(|rejection| RunFailure::NoCapacity { retry_after_s: rejection.retry_after_s })
    }

    /// Places the request on two servers that hold nothing of it, if they have room now.
    pub fn place_pair_beside(&mut self) -> Option<ClaimedPair> {
        let snapshot = self.daemon.shared.control.current();
        let pool = snapshot.candidates(EngineRole::Decode, &self.admitted.model);
        if pool.iter().all(|slot| self.avoid.contains(&slot.entry.server)) {
            self.clear_avoided();
        }
        self.place_pair(PlacementMode::Normal)
    }

    /// Places the request on both servers; `None` when either lacks capacity. Reads a new
    /// snapshot, because servers may have joined while the request was queued.
    fn place_pair(&self, mode: PlacementMode) -> Option<ClaimedPair> {
        let snapshot = self.daemon.shared.control.current();
        let decode_pool = snapshot.candidates(EngineRole::Decode, &self.admitted.model);
        // Decode is checked first: the check is cheaper, and without decode capacity the prefill
        // policy must not record a placement.
        self.choose_decode(&decode_pool, None, mode)?;
        let prefill = self.place_prefill(&snapshot, mode)?;
        let decode = self.place_decode(&decode_pool, &prefill.slot, mode)?;
        Some(ClaimedPair { prefill, decode })
    }

    fn place_prefill(
        &self,
        snapshot: &ControlSnapshot,
        mode: PlacementMode,
    ) -> Option<ClaimedServer> {
        let pool = snapshot.candidates(EngineRole::Prefill, &self.admitted.model);
        let settings = &self.daemon.shared.settings;
        let request = self.placement_request(&settings.domain, &settings.region, mode);
        let choice = self.daemon.shared.placement.prefill(&pool, &request)?;
        let slot = Arc::clone(&pool[choice.index]);
        let guard = slot.begin(u64::from(self.admitted.shape.tokens));
        Some(ClaimedServer { slot, guard, choice })
    }

    /// Claims capacity on a decode server, preferably in the failure domain of `prefill`.
    pub fn place_decode(
        &self,
        pool: &ServerPool,
        prefill: &ServerSlot,
        mode: PlacementMode,
    ) -> Option<ClaimedServer> {
        let choice = self.choose_decode(pool, Some(prefill), mode)?;
        let slot = Arc::clone(&pool[choice.index]);
        let guard = slot.begin(0);
        Some(ClaimedServer { slot, guard, choice })
    }

    fn choose_decode(
        &self,
        pool: &ServerPool,
        prefill: Option<&ServerSlot>,
        mode: PlacementMode,
    ) -> Option<Choice> {
        let settings = &self.daemon.shared.settings;
        let (domain, region) = match prefill {
            Some(prefill) => (&prefill.entry.domain, &prefill.entry.region),
            None => (&settings.domain, &settings.region),
        };
        self.daemon.shared.placement.decode(pool, &self.placement_request(domain, region, mode))
    }

    fn placement_request<'a>(
        &'a self,
        domain: &'a str,
        region: &'a str,
        mode: PlacementMode,
    ) -> PlacementRequest<'a> {
        let preset = &self.admitted.preset;
        let leaves_reserve =
            self.admitted.priority == Priority::Standard && mode != PlacementMode::UseReserve;
        let daemons = self.daemon.shared.members.live_count().max(1) as u64;
        PlacementRequest {
            shape: &self.admitted.shape,
            priority: self.admitted.priority,
            preset,
            domain,
            region,
            avoid: &self.avoid,
            cached_or_idle_only: mode == PlacementMode::CachedOrIdle,
            reserve: if leaves_reserve { preset.urgent_reserve_slots } else { 0 },
            max_local_queue_tokens: u64::from(preset.prefill_queue_tokens) / daemons,
        }
    }

    /// Returns how long the request may wait for capacity and still meet its class's first-token
    /// target. Its predicted prefill time, including the queue at the server, is subtracted. Later
    /// attempts wait for a fixed time, because a late response is better than none.
    fn max_wait(&self) -> Duration {
        if self.attempt > 0 {
            return self.remaining().min(MAX_RETRY_WAIT);
        }
        let targets = self.admitted.preset.targets(self.admitted.priority);
        let target = Duration::from_millis(targets.ttft_ms);
        let queue_tokens = match self.admitted.priority {
            Priority::Urgent => 0,
            Priority::Standard => self.admitted.preset.prefill_queue_tokens,
        };
        let predicted_prefill = self
            .daemon
            .shared
            .prefill_times
            .predict(u64::from(self.admitted.shape.tokens + queue_tokens));
        target
            .mul_f64(TARGET_FRACTION)
            .saturating_sub(predicted_prefill)
            .saturating_sub(self.age())
            .min(self.remaining())
    }
}
