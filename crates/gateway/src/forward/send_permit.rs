//! The right to send a request to a server once.

use std::sync::Arc;

use crate::model::ServiceName;
use crate::state::GatewayState;

/// What still has to be counted when the send is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PendingCount {
    /// Nothing: a request's first send is no repeat, and the allowance was
    /// asked for any other.
    Settled,
    /// A first prompt: a repeat unless the server accepts it, or never saw it.
    FirstPrefill,
}

/// Lets a request be sent to one server once. Only [`Attempts`] makes one, and
/// no request leaves the gateway without it.
///
/// Guards against a retry bound that is exceeded unseen: of the paths by which
/// a request is sent (answers, hedges, resumed streams, prompts and prompts
/// read again), one that forgot to ask or to count broke the bound in an
/// overload, when 229 prompts that engines had queued were given up and sent
/// elsewhere. What is not settled counts as a repeat.
///
/// [`Attempts`]: super::attempts::Attempts
#[derive(Debug)]
pub struct SendPermit {
    state: Arc<GatewayState>,
    service: ServiceName,
    pending_count: PendingCount,
}

impl SendPermit {
    /// For a send that is no repeat, or that the allowance was asked for.
    pub(super) fn settled(state: &Arc<GatewayState>, service: &ServiceName) -> Self {
        SendPermit::new(state, service, PendingCount::Settled)
    }

    /// For a request's first prompt.
    pub(super) fn first_prefill(state: &Arc<GatewayState>, service: &ServiceName) -> Self {
        SendPermit::new(state, service, PendingCount::FirstPrefill)
    }

    fn new(state: &Arc<GatewayState>, service: &ServiceName, pending_count: PendingCount) -> Self {
        SendPermit { state: Arc::clone(state), service: service.clone(), pending_count }
    }

    /// The server has done what it was asked, or never saw the request.
    pub fn settle(mut self) {
        self.pending_count = PendingCount::Settled;
    }
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        if self.pending_count == PendingCount::FirstPrefill {
            self.state.note_repeat(&self.service);
        }
    }
}
