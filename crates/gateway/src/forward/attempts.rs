//! The attempts of one request and their limits.

use std::sync::Arc;

use smallvec::SmallVec;

use super::Call;
use super::admit::log_quarantined;
use super::admit::wait_for_probe;
use super::attempt_permit::AttemptPermit;
use super::probe_guard::ProbeGuard;
use crate::cluster::QuarantineStatus;
use crate::cluster::RetryPriority;
use crate::events;
use crate::model::PinnedVersion;
use crate::model::ServerKey;
use crate::state::GatewayState;

/// Maximum number of attempts beyond the route's limit, as attempts that the server did not run
/// do not count against that limit. Each still adds an arrival to the load of the service.
const MAX_NOT_RUN_RETRIES: u32 = 2;

/// Maximum number of further attempts, one for each attempt that reached no server. Such an
/// attempt costs only the time of a refused connection.
const MAX_UNSENT_RETRIES: u32 = 3;

/// The attempts of one request so far.
#[derive(Debug, Default)]
pub struct Attempts {
    /// The servers that further attempts avoid: those of all attempts, in order, after those that a
    /// probe avoids from the beginning.
    pub tried: SmallVec<[ServerKey; 4]>,
    /// Number of attempts whose server may have run the request, those in progress included.
    runs: u32,
    /// The software version at which further attempts must run.
    pub pinned_version: PinnedVersion,
    count: u32,
    /// Number of attempts that reached no server.
    unsent: u32,
    /// Servers that opened no connection in time.
    unopened: SmallVec<[ServerKey; 2]>,
    has_readmitted: bool,
    /// True once the prompt was sent to a prefill server.
    has_sent_prefill: bool,
    /// Set for a probe, which is sent to one server only, once.
    probe: Option<ProbeGuard>,
}

impl Attempts {
    /// Returns the attempts of a probe, which avoids the servers that are known to be down: it
    /// would show nothing there.
    pub fn probe(guard: ProbeGuard, down_servers: SmallVec<[ServerKey; 4]>) -> Self {
        Attempts { probe: Some(guard), tried: down_servers, ..Attempts::default() }
    }

    /// Returns the quarantine of `call`; `None` for the only attempt of a probe.
    ///
    /// Every attempt checks this first. Prevents further attempts of a request whose fingerprint
    /// becomes quarantined after its admission: while it is queued, retried, resumed at another
    /// server or hedged.
    pub fn quarantine_status(&self, state: &GatewayState, call: &Call) -> Option<QuarantineStatus> {
        if self.probe.is_some() && self.count == 0 {
            return None;
        }
        state.quarantines.status_of(&call.suspects)
    }

    /// Waits while the quarantine of `call` is provisional, because probes have yet to show whether
    /// its fingerprint or another causes the crashes, and while its caller has time left.
    ///
    /// Prevents rejections of popular requests that ran on a server which a poison request
    /// crashed before any response was complete. The next probe may begin meanwhile.
    pub async fn wait_for_quarantine_decision(&mut self, state: &GatewayState, call: &Call) {
        if self.count > 0 {
            self.probe = None;
        }
        while let Some(quarantine) = self.quarantine_status(state, call)
            && wait_for_probe(state, call, quarantine).await
        {}
    }

    /// Records that an attempt at `server` begins.
    pub fn record(&mut self, server: &ServerKey) {
        self.tried.push(server.clone());
        self.count += 1;
        self.runs += 1;
    }

    /// Records that an attempt has ended without a run, and whether it reached no server at all.
    pub fn record_not_run(&mut self, is_unsent: bool) {
        self.runs -= 1;
        self.unsent += u32::from(is_unsent);
    }

    /// Records that an attempt has ended since `server` opened no connection in time.
    pub fn record_unopened(&mut self, server: ServerKey) {
        self.record_not_run(true);
        self.unopened.push(server);
    }

    /// Lets further attempts go to the servers again that opened no connection in time. Returns false
    /// if there are none, or if this was done before.
    pub fn readmit_unopened(&mut self) -> bool {
        let unopened = std::mem::take(&mut self.unopened);
        if unopened.is_empty() || std::mem::replace(&mut self.has_readmitted, true) {
            return false;
        }
        self.tried.retain(|server| !unopened.contains(server));
        true
    }

    /// Returns true if a server may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Returns a permit for another attempt if the route's limits allow it. Once an attempt
    /// has reached a server, this also consumes from the service's retry budget, which
    /// bounds the number of requests that arrive at servers.
    pub fn permit(&self, state: &Arc<GatewayState>, call: &Call) -> Option<AttemptPermit> {
        if !self.is_within_route_limits(call) || !self.may_begin(state, call) {
            return None;
        }
        if let Some(quarantine) = self.quarantine_status(state, call) {
            log_quarantined(call, quarantine, self.count, "not retried");
            return None;
        }
        if self.unsent < self.count && !state.consume_retry(&call.service, RetryPriority::Needed) {
            metrics::counter!("umberglade_retries_denied_total").increment(1);
            log_retry_denied(state, call, self.count, "retry");
            return None;
        }
        Some(AttemptPermit::settled(state, &call.service))
    }

    /// Returns a permit to prefill the prompt at a separate server. The first consumes no retry
    /// budget, but is not allowed while failed ones have used it up; further ones are optional and
    /// need some. The prompt of a probe is prefilled by the server that responds to it.
    pub fn permit_prefill(
        &mut self,
        state: &Arc<GatewayState>,
        call: &Call,
    ) -> Option<AttemptPermit> {
        let is_held = self.probe.is_some() || self.quarantine_status(state, call).is_some();
        if is_held || !self.may_begin(state, call) {
            return None;
        }
        if std::mem::replace(&mut self.has_sent_prefill, true) {
            let is_allowed = state.consume_retry(&call.service, RetryPriority::Helpful);
            return is_allowed.then(|| AttemptPermit::settled(state, &call.service));
        }
        if !state.allows_first_prefill(&call.service) {
            metrics::counter!("umberglade_prefills_denied_total").increment(1);
            log_retry_denied(state, call, self.count, "prefill at a separate server");
            return None;
        }
        Some(AttemptPermit::first_prefill(state, &call.service))
    }

    /// Returns false for a request that no server has run yet, and none may begin to run any more as
    /// the process stops. One that may have run goes on for as long as the process lasts.
    fn may_begin(&self, state: &GatewayState, call: &Call) -> bool {
        self.may_have_run() || state.stop.may_begin(call.route.kind, call.deadline)
    }

    /// Returns true when the route's limits allow another attempt.
    pub fn is_within_route_limits(&self, call: &Call) -> bool {
        if self.count == 0 {
            return true;
        }
        let route = &call.route;
        let runs_left = self.runs < route.max_attempts && (self.runs == 0 || route.is_retryable());
        runs_left
            && self.count
                < route.max_attempts + MAX_NOT_RUN_RETRIES + self.unsent.min(MAX_UNSENT_RETRIES)
    }

    /// Number of attempts so far.
    pub fn count(&self) -> u32 {
        self.count
    }
}

/// Logs that the retry budget allows no `purpose`.
fn log_retry_denied(state: &GatewayState, call: &Call, sends: u32, purpose: &'static str) {
    let known = state.known_retries(&call.service);
    tracing::info!(
        event = events::RETRY_DENIED,
        request_id = call.id(),
        service = %call.service,
        purpose,
        sends,
        gateways = state.members(),
        requests_known = known.count.requests,
        retries_known = known.count.repeats,
        knows_window = known.is_complete,
        "retry budget exhausted"
    );
}
