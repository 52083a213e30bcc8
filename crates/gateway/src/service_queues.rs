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
    lines: Mutex<HashMap<ServiceName, AdmissionQueue>>,
    outputs: Mutex<HashMap<ServiceName, OutputEstimate>>,
    balances: Mutex<HashMap<ServiceName, StageBalance>>,
    openings: Mutex<HashMap<ServiceName, FirstEventTime>>,
    /// By the route's name.
    patience: Mutex<HashMap<String, TypicalTimeout>>,
}

impl ServiceQueues {
    /// Runs `change` on the waiting line of `service`.
    pub fn with_line<T>(
        &self,
        service: &ServiceName,
        change: impl FnOnce(&mut AdmissionQueue) -> T,
    ) -> T {
        let mut lines = self.lines.lock().expect("lines lock");
        change(lines.entry(service.clone()).or_default())
    }

    /// This gateway's waiting lines, by service.
    pub fn own_lines(&self, now: Instant) -> Vec<(u64, QueueUpdate)> {
        let lines = self.lines.lock().expect("lines lock");
        lines
            .iter()
            .filter_map(|(service, line)| Some((server_digest(service), line.news(now)?)))
            .collect()
    }

    /// Runs `change` on what is known of the answers of `service`.
    pub fn with_outputs<T>(
        &self,
        service: &ServiceName,
        change: impl FnOnce(&mut OutputEstimate) -> T,
    ) -> T {
        let mut outputs = self.outputs.lock().expect("outputs lock");
        change(outputs.entry(service.clone()).or_default())
    }

    /// Runs `change` on what streams of `service` take of its engines.
    pub fn with_balance<T>(
        &self,
        service: &ServiceName,
        change: impl FnOnce(&mut StageBalance) -> T,
    ) -> T {
        let mut balances = self.balances.lock().expect("balances lock");
        change(balances.entry(service.clone()).or_default())
    }

    /// Runs `change` on how long streams of `service` take to begin.
    pub fn with_opening<T>(
        &self,
        service: &ServiceName,
        change: impl FnOnce(&mut FirstEventTime) -> T,
    ) -> T {
        let mut openings = self.openings.lock().expect("openings lock");
        change(openings.entry(service.clone()).or_default())
    }

    /// What this gateway's own streams of `service` were like.
    pub fn learned(&self, service: &ServiceName) -> EngineEstimates {
        EngineEstimates {
            outputs: self.with_outputs(service, |outputs| *outputs),
            balance: self.with_balance(service, |balance| *balance),
            opening: self.with_opening(service, |opening| *opening),
        }
    }

    /// How long a caller of `route` that will wait for `patience` has been
    /// trying already.
    pub fn tried_for(&self, route: &str, patience: Option<Duration>) -> Duration {
        let Some(patience) = patience else { return Duration::ZERO };
        let mut usual = self.patience.lock().expect("patience lock");
        match usual.get_mut(route) {
            Some(known) => known.note(patience),
            None => usual.entry(route.to_owned()).or_default().note(patience),
        }
    }
}
