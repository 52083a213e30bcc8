//! What a request is charged to its organisation's quota.

use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use crate::cluster::OrganisationDigest;
use crate::state::GatewayState;

/// Given back when dropped, unless a server may have run the request.
const OPEN: u8 = 0;
/// A server may have run it.
const KEPT: u8 = 1;
/// Given back.
const RETURNED: u8 = 2;

/// One charge, made once however often the request is sent.
#[derive(Debug)]
pub struct QuotaCharge {
    state: Arc<GatewayState>,
    organisation: OrganisationDigest,
    cost: u64,
    stage: AtomicU8,
}

impl QuotaCharge {
    /// That of `cost` units, which have been charged.
    pub fn new(state: &Arc<GatewayState>, organisation: OrganisationDigest, cost: u64) -> Self {
        QuotaCharge { state: Arc::clone(state), organisation, cost, stage: AtomicU8::new(OPEN) }
    }

    /// The request is sent to a server that may run it.
    pub fn keep(&self) {
        let _ = self.stage.compare_exchange(OPEN, KEPT, Ordering::AcqRel, Ordering::Acquire);
    }

    /// The request has certainly not run, wherever it was sent.
    pub fn give_back(&self) {
        if self.stage.swap(RETURNED, Ordering::AcqRel) != RETURNED {
            self.state.quotas.refund(self.organisation, self.cost);
        }
    }
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        if *self.stage.get_mut() == OPEN {
            self.give_back();
        }
    }
}
