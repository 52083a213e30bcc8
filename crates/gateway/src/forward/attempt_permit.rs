//! Permits for single attempts at a server.

use std::sync::Arc;

use crate::model::ServiceName;
use crate::state::GatewayState;

/// Whether the attempt still has to be counted as a retry when it is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PendingCount {
    /// No: the first attempt of a request is no retry, and any other has already consumed
    /// from the retry budget.
    Settled,
    /// A first prefill, which counts as a retry unless the server completes it or never
    /// received it.
    FirstPrefill,
}

/// Permits one attempt at one server. Only [`Attempts`] creates permits, and no request is
/// sent without one.
///
/// Prevents uncounted retries on any path that sends a request (first attempts, hedges,
/// resumed streams, prefills and retried prefills). A path that neither checks nor counts
/// exceeds the retry limit under overload, for example by 229 queued prefills that time out and
/// are sent to other servers. An attempt that is not settled counts as a retry.
///
/// [`Attempts`]: super::attempts::Attempts
#[derive(Debug)]
pub struct AttemptPermit {
    state: Arc<GatewayState>,
    service: ServiceName,
    pending_count: PendingCount,
}

impl AttemptPermit {
    /// Returns a permit for a first attempt, or for one that has consumed retry budget.
    pub(super) fn settled(state: &Arc<GatewayState>, service: &ServiceName) -> Self {
        AttemptPermit::new(state, service, PendingCount::Settled)
    }

    /// Returns a permit for the first prefill of a request.
    pub(super) fn first_prefill(state: &Arc<GatewayState>, service: &ServiceName) -> Self {
        AttemptPermit::new(state, service, PendingCount::FirstPrefill)
    }

    fn new(state: &Arc<GatewayState>, service: &ServiceName, pending_count: PendingCount) -> Self {
        AttemptPermit { state: Arc::clone(state), service: service.clone(), pending_count }
    }

    /// Settles the permit: the server completed the attempt or never received it.
    pub fn settle(mut self) {
        self.pending_count = PendingCount::Settled;
    }
}

impl Drop for AttemptPermit {
    fn drop(&mut self) {
        if self.pending_count == PendingCount::FirstPrefill {
            self.state.record_retry(&self.service);
        }
    }
}
