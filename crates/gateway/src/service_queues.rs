//! What callers ask of each service: who waits, how long answers get, how
//! long callers wait.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::cluster::AdmissionQueue;
use crate::cluster::EngineEstimates;
use crate::cluster::FirstEventTime;
use crate::cluster::OutputEstimate;
use crate::cluster::QueueUpdate;
use crate::cluster::StageBalance;
use crate::cluster::TypicalTimeout;
use crate::cluster::server_digest;
use crate::model::ServiceName;

/// Callers' demand as this gateway sees it.
///
/// Lock order: none is ever held together with another.
#[derive(Debug, Default)]
pub struct ServiceQueues {
    queues: Mutex<HashMap<ServiceName, AdmissionQueue>>,
    output_estimates: Mutex<HashMap<ServiceName, OutputEstimate>>,
    stage_balances: Mutex<HashMap<ServiceName, StageBalance>>,
    first_event_times: Mutex<HashMap<ServiceName, FirstEventTime>>,
    /// By the route's name.
    typical_timeouts: Mutex<HashMap<String, TypicalTimeout>>,
}

impl ServiceQueues {
    /// Runs `change` on the waiting line of `service`.
    pub fn with_queue<T>(
        &self,
        service: &ServiceName,
        change: impl FnOnce(&mut AdmissionQueue) -> T,
    ) -> T {
        let mut queues = self.queues.lock().expect("queues lock");
        change(queues.entry(service.clone()).or_default())
    }

    /// This gateway's waiting lines, by service.
    pub fn local_queues(&self, now: Instant) -> Vec<(u64, QueueUpdate)> {
        let queues = self.queues.lock().expect("queues lock");
        queues
            .iter()
            .filter_map(|(service, queue)| Some((server_digest(service), queue.queue_update(now)?)))
            .collect()
    }

    /// Runs `change` on what is known of the answers of `service`.
    pub fn with_output_estimate<T>(
        &self,
        service: &ServiceName,
        change: impl FnOnce(&mut OutputEstimate) -> T,
    ) -> T {
        let mut output_estimates = self.output_estimates.lock().expect("output estimates lock");
        change(output_estimates.entry(service.clone()).or_default())
    }

    /// Runs `change` on what streams of `service` take of its engines.
    pub fn with_stage_balance<T>(
        &self,
        service: &ServiceName,
        change: impl FnOnce(&mut StageBalance) -> T,
    ) -> T {
        let mut stage_balances = self.stage_balances.lock().expect("stage balances lock");
        change(stage_balances.entry(service.clone()).or_default())
    }

    /// Runs `change` on how long streams of `service` take to begin.
    pub fn with_first_event_time<T>(
        &self,
        service: &ServiceName,
        change: impl FnOnce(&mut FirstEventTime) -> T,
    ) -> T {
        let mut first_event_times = self.first_event_times.lock().expect("first event times lock");
        change(first_event_times.entry(service.clone()).or_default())
    }

    /// What this gateway's own streams of `service` were like.
    pub fn estimates(&self, service: &ServiceName) -> EngineEstimates {
        EngineEstimates {
            outputs: self.with_output_estimate(service, |outputs| *outputs),
            balance: self.with_stage_balance(service, |balance| *balance),
            opening: self.with_first_event_time(service, |opening| *opening),
        }
    }

    /// How long a caller of `route` that will wait for `patience` has been
    /// trying already.
    pub fn retrying_for(&self, route: &str, timeout: Option<Duration>) -> Duration {
        let Some(timeout) = timeout else { return Duration::ZERO };
        let mut typical_timeouts = self.typical_timeouts.lock().expect("typical timeouts lock");
        match typical_timeouts.get_mut(route) {
            Some(known) => known.record(timeout),
            None => typical_timeouts.entry(route.to_owned()).or_default().record(timeout),
        }
    }
}
