//! The charge of a request to the quota of its organisation.

use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use crate::cluster::OrganisationDigest;
use crate::state::GatewayState;

/// Refunded when dropped, since the request was not sent to a server that may run it.
const PENDING: u8 = 0;
/// A server may have run the request.
const COMMITTED: u8 = 1;
const REFUNDED: u8 = 2;

/// A charge, made once regardless of the number of attempts.
#[derive(Debug)]
pub struct QuotaCharge {
    state: Arc<GatewayState>,
    organisation: OrganisationDigest,
    cost: u64,
    phase: AtomicU8,
}

impl QuotaCharge {
    /// Returns the charge of `cost` units, which are already deducted.
    pub fn new(state: &Arc<GatewayState>, organisation: OrganisationDigest, cost: u64) -> Self {
        QuotaCharge { state: Arc::clone(state), organisation, cost, phase: AtomicU8::new(PENDING) }
    }

    /// Commits the charge when the request is sent to a server that may run it.
    pub fn commit(&self) {
        let _ =
            self.phase.compare_exchange(PENDING, COMMITTED, Ordering::AcqRel, Ordering::Acquire);
    }

    /// Refunds the charge of a request that has certainly not run at any server.
    pub fn refund(&self) {
        if self.phase.swap(REFUNDED, Ordering::AcqRel) != REFUNDED {
            self.state.quotas.refund(self.organisation, self.cost);
        }
    }
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        if *self.phase.get_mut() == PENDING {
            self.refund();
        }
    }
}
