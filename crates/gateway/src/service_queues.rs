//! Admission queues and estimates of each service, and typical timeouts of each route's callers.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::cluster::AdmissionQueue;
use crate::cluster::EngineEstimates;
use crate::cluster::FirstEventTime;
use crate::cluster::OutputEstimate;
use crate::cluster::QueueUpdate;
use crate::cluster::StageBalance;
use crate::cluster::TypicalTimeout;
use crate::cluster::name_digest;
use crate::model::ServiceName;
use crate::state_lock::StateLock;

/// This gateway's admission queues and its estimates from the requests that it forwards.
///
/// Lock order: no two of these locks are held at the same time.
#[derive(Debug, Default)]
pub struct ServiceQueues {
    queues: StateLock<HashMap<ServiceName, AdmissionQueue>>,
    output_estimates: StateLock<HashMap<ServiceName, OutputEstimate>>,
    stage_balances: StateLock<HashMap<ServiceName, StageBalance>>,
    first_event_times: StateLock<HashMap<ServiceName, FirstEventTime>>,
    /// By route name.
    typical_timeouts: StateLock<HashMap<String, TypicalTimeout>>,
}

impl ServiceQueues {
    /// Runs `change` on the admission queue of `service`.
    pub fn with_queue<T>(
        &self,
        service: &ServiceName,
        change: impl FnOnce(&mut AdmissionQueue) -> T,
    ) -> T {
        let mut queues = self.queues.lock();
        change(queues.entry(service.clone()).or_default())
    }

    /// Returns the state of this gateway's admission queues, by service digest.
    pub fn local_queues(&self, now: Instant) -> Vec<(u64, QueueUpdate)> {
        let queues = self.queues.lock();
        queues
            .iter()
            .filter_map(|(service, queue)| Some((name_digest(service), queue.queue_update(now)?)))
            .collect()
    }

    /// Runs `change` on the estimated response length of `service`.
    pub fn with_output_estimate<T>(
        &self,
        service: &ServiceName,
        change: impl FnOnce(&mut OutputEstimate) -> T,
    ) -> T {
        let mut output_estimates = self.output_estimates.lock();
        change(output_estimates.entry(service.clone()).or_default())
    }

    /// Runs `change` on the estimated load that streams of `service` put on each stage.
    pub fn with_stage_balance<T>(
        &self,
        service: &ServiceName,
        change: impl FnOnce(&mut StageBalance) -> T,
    ) -> T {
        let mut stage_balances = self.stage_balances.lock();
        change(stage_balances.entry(service.clone()).or_default())
    }

    /// Runs `change` on the estimated time to first event of `service`.
    pub fn with_first_event_time<T>(
        &self,
        service: &ServiceName,
        change: impl FnOnce(&mut FirstEventTime) -> T,
    ) -> T {
        let mut first_event_times = self.first_event_times.lock();
        change(first_event_times.entry(service.clone()).or_default())
    }

    /// Returns the estimates for `service` from local streams only.
    pub fn estimates(&self, service: &ServiceName) -> EngineEstimates {
        EngineEstimates {
            outputs: self.with_output_estimate(service, |output_estimate| *output_estimate),
            balance: self.with_stage_balance(service, |balance| *balance),
            opening: self.with_first_event_time(service, |first_event_time| *first_event_time),
        }
    }

    /// Returns how long a caller of `route` with the stated `timeout` has been retrying; zero when
    /// it states none.
    pub fn retrying_for(&self, route: &str, timeout: Option<Duration>) -> Duration {
        let Some(timeout) = timeout else { return Duration::ZERO };
        let mut typical_timeouts = self.typical_timeouts.lock();
        match typical_timeouts.get_mut(route) {
            Some(typical_timeout) => typical_timeout.record(timeout),
            None => typical_timeouts.entry(route.to_owned()).or_default().record(timeout),
        }
    }
}
