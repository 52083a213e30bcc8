//! The retry budget of this process.

use std::time::Instant;

use crate::cluster::PeerRetries;
use crate::cluster::RetryBudget;
use crate::cluster::RetryCount;
use crate::cluster::RetryPriority;
use crate::cluster::name_digest;
use crate::model::ServiceName;
use crate::state::GatewayState;

impl GatewayState {
    /// Counts a caller's request towards the retry budget.
    pub fn record_request(&self, service: &ServiceName) {
        self.retries.lock().expect("retries lock").record_request(service, Instant::now());
    }

    /// Counts a retry to `service` that did not consume budget: a prompt's first attempt, which its
    /// server received but did not complete.
    pub fn record_retry(&self, service: &ServiceName) {
        self.retries.lock().expect("retries lock").record_retry(service, Instant::now());
    }

    /// Consumes one retry to `service`. Returns true if the retry budget permits it.
    pub fn consume_retry(&self, service: &ServiceName, priority: RetryPriority) -> bool {
        self.with_budget(service, |budget, gateways, peers, now| {
            budget.consume(service, gateways, peers, priority, now)
        })
    }

    /// Returns true if the retry limit allows to send a prompt to a separate prefill server for the
    /// first time.
    pub fn allows_first_prefill(&self, service: &ServiceName) -> bool {
        self.with_budget(service, |budget, gateways, peers, now| {
            budget.allows_first_prefill(service, gateways, peers, now)
        })
    }

    /// Returns this gateway's counts of requests and retries, by service.
    pub fn local_retries(&self) -> Vec<(u64, RetryCount)> {
        self.retries.lock().expect("retries lock").local_counts(Instant::now())
    }

    /// Runs `decide` on the budget, with the number of gateways and what peers have used of the
    /// budget of `service`.
    fn with_budget<T>(
        &self,
        service: &ServiceName,
        decide: impl FnOnce(&mut RetryBudget, usize, PeerRetries, Instant) -> T,
    ) -> T {
        let now = Instant::now();
        let peer_retries = self.fleet().peers.retries(name_digest(service), now);
        let gateways = self.members();
        decide(&mut self.retries.lock().expect("retries lock"), gateways, peer_retries, now)
    }
}
