//! The retry budget of this process.

use std::time::Instant;

use crate::cluster::RetryBudget;
use crate::cluster::RetryCount;
use crate::cluster::RetryPriority;
use crate::cluster::RetryUsage;
use crate::model::ServiceName;
use crate::state::GatewayState;

/// The requests and retries of all gateways in the last window, as far as one knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownRetries {
    pub count: RetryCount,
    /// False while the gateway does not know what was used before its start.
    pub is_complete: bool,
}

impl GatewayState {
    /// Counts a caller's request towards the retry budget.
    pub fn record_request(&self, service: &ServiceName) {
        self.retries.lock().record_request(service, Instant::now());
    }

    /// Counts a retry to `service` that did not consume budget: a prompt's first attempt, which its
    /// server received but did not complete.
    pub fn record_retry(&self, service: &ServiceName) {
        self.retries.lock().record_retry(service, Instant::now());
    }

    /// Consumes one retry to `service`. Returns true if the retry budget permits it.
    pub fn consume_retry(&self, service: &ServiceName, priority: RetryPriority) -> bool {
        self.with_budget(|budget, gateways, fresh_peers, now| {
            budget.consume(service, gateways, fresh_peers, priority, now)
        })
    }

    /// Returns true if the retry limit allows to send a prompt to a separate prefill server for the
    /// first time.
    pub fn allows_first_prefill(&self, service: &ServiceName) -> bool {
        self.with_budget(|budget, gateways, fresh_peers, now| {
            budget.allows_first_prefill(service, gateways, fresh_peers, now)
        })
    }

    /// Returns what this gateway knows of the retries to `service`, for logs.
    pub fn known_retries(&self, service: &ServiceName) -> KnownRetries {
        let now = Instant::now();
        let mut budget = self.retries.lock();
        KnownRetries {
            count: budget.window_count(service, now),
            is_complete: budget.knows_window(now),
        }
    }

    /// Returns this gateway's counts of requests and retries, by service.
    pub fn local_retries(&self) -> Vec<(u64, RetryUsage)> {
        self.retries.lock().local_usage(Instant::now())
    }

    /// Runs `decide` on the budget, with the number of gateways and that of the peers of the group
    /// whose counts are current. Each group keeps within its share of the limit by itself.
    fn with_budget<T>(
        &self,
        decide: impl FnOnce(&mut RetryBudget, usize, usize, Instant) -> T,
    ) -> T {
        let now = Instant::now();
        let fresh_peers = self.fleet().peers.fresh_near_count(now);
        let gateways = self.members();
        decide(&mut self.retries.lock(), gateways, fresh_peers, now)
    }
}
