//! What a request is charged to its organisation's quota.

use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use crate::cluster::OrganisationDigest;
use crate::state::GatewayState;

/// Given back when dropped, unless a server may have run the request.
const PENDING: u8 = 0;
/// A server may have run it.
const COMMITTED: u8 = 1;
/// Given back.
const REFUNDED: u8 = 2;

/// One charge, made once however often the request is sent.
#[derive(Debug)]
pub struct QuotaCharge {
    state: Arc<GatewayState>,
    organisation: OrganisationDigest,
    cost: u64,
    phase: AtomicU8,
}

impl QuotaCharge {
    /// That of `cost` units, which have been charged.
    pub fn new(state: &Arc<GatewayState>, organisation: OrganisationDigest, cost: u64) -> Self {
        QuotaCharge { state: Arc::clone(state), organisation, cost, phase: AtomicU8::new(PENDING) }
    }

    /// The request is sent to a server that may run it.
    pub fn commit(&self) {
        let _ =
            self.phase.compare_exchange(PENDING, COMMITTED, Ordering::AcqRel, Ordering::Acquire);
    }

    /// The request has certainly not run, wherever it was sent.
    pub fn refund(&self) {
        if self.phase.swap(REFUNDED, Ordering::AcqRel) != REFUNDED {
            self.state.quotas.give_back(self.organisation, self.cost);
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
