//! How often one caller's request may be sent.

use std::sync::Arc;

use smallvec::SmallVec;

use super::Call;
use super::admit::log_quarantined;
use super::admit::wait_for_probe;
use super::probe_guard::ProbeGuard;
use super::send_permit::SendPermit;
use crate::cluster::QuarantineStatus;
use crate::cluster::RetryVerdict;
use crate::events;
use crate::model::ServerKey;
use crate::state::GatewayState;

/// Sends beyond the route's attempts, for servers that proved not to have
/// run the request: those used up no attempt, but each also costs the
/// service an arrival.
const MAX_NOT_RUN_RETRIES: u32 = 2;

/// Further sends for those that reached no server, which cost nobody
/// anything but the time of a refused connection.
const MAX_UNSENT_RETRIES: u32 = 3;

/// The sends of one request so far.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Servers it was sent to, in order.
    pub tried: SmallVec<[ServerKey; 4]>,
    /// Those that may have run it.
    pub runs: u32,
    count: u32,
    /// Sends that reached no server.
    unsent: u32,
    /// True once a server was asked to read the prompt.
    has_sent_prefill: bool,
    /// Set for a request that is let through to find out whether servers crash
    /// under it: it reaches one server, once.
    probe: Option<ProbeGuard>,
}

impl Attempts {
    /// Those of a probe.
    pub fn probe(guard: ProbeGuard) -> Self {
        Attempts { probe: Some(guard), ..Attempts::default() }
    }

    /// How `call` is held back; `None` for a probe's only send.
    ///
    /// Guards against sends that go on for a request while its content turns
    /// out to crash servers: it waits in line, it is sent again, its stream goes
    /// on elsewhere, or it is hedged. All sends ask here first.
    pub fn quarantine_status(&self, state: &GatewayState, call: &Call) -> Option<QuarantineStatus> {
        if self.probe.is_some() && self.count == 0 {
            return None;
        }
        state.quarantines.held(call.fingerprint)
    }

    /// Waits while `call` is held back only until probes have told its content
    /// from others, but for what its caller has left to wait.
    ///
    /// Guards against popular requests that are refused since servers crashed
    /// under fatal ones before any answer was whole.
    pub async fn wait_for_quarantine_decision(&self, state: &GatewayState, call: &Call) {
        while let Some(quarantine) = self.quarantine_status(state, call)
            && wait_for_probe(state, call, quarantine).await
        {}
    }

    /// Notes a send to `server`.
    pub fn record(&mut self, server: &ServerKey) {
        self.tried.push(server.clone());
        self.count += 1;
    }

    /// The last send reached no server.
    pub fn record_unsent(&mut self) {
        self.unsent += 1;
    }

    /// The right to another send, when it is within the route's bounds and,
    /// unless none has reached a server yet, the service's retry allowance,
    /// which is then spent: that bounds what arrives at servers.
    pub fn permit(&self, state: &Arc<GatewayState>, call: &Call) -> Option<SendPermit> {
        if !self.is_within_route(call) {
            return None;
        }
        if let Some(quarantine) = self.quarantine_status(state, call) {
            log_quarantined(call, quarantine, self.count, "not sent again");
            return None;
        }
        if self.unsent < self.count && !state.spend_retry(&call.service, RetryVerdict::Needed) {
            metrics::counter!("umberglade_retries_denied_total").increment(1);
            tracing::info!(
                event = events::RETRY_DENIED,
                request_id = call.id(),
                service = %call.service,
                sends = self.count,
                gateways = state.members(),
                "retry allowance spent"
            );
            return None;
        }
        Some(SendPermit::settled(state, &call.service))
    }

    /// The right to have the prompt read at a server of its own: the first time
    /// freely, again only to help, within the retry allowance. A probe's is read
    /// by the server that answers it.
    pub fn permit_prefill(&mut self, state: &Arc<GatewayState>, call: &Call) -> Option<SendPermit> {
        if self.probe.is_some() || self.quarantine_status(state, call).is_some() {
            return None;
        }
        if std::mem::replace(&mut self.has_sent_prefill, true) {
            let is_allowed = state.spend_retry(&call.service, RetryVerdict::Helpful);
            return is_allowed.then(|| SendPermit::settled(state, &call.service));
        }
        Some(SendPermit::first_prefill(state, &call.service))
    }

    fn is_within_route(&self, call: &Call) -> bool {
        if self.count == 0 {
            return true;
        }
        let route = &call.route;
        let runs_left = self.runs < route.max_attempts && (self.runs == 0 || route.is_repeatable());
        runs_left
            && self.count
                < route.max_attempts + MAX_NOT_RUN_RETRIES + self.unsent.min(MAX_UNSENT_RETRIES)
    }

    /// Sends so far.
    pub fn count(&self) -> u32 {
        self.count
    }
}
