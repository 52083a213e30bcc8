//! Probes, which check whether servers still crash while they run a quarantined request.

use std::sync::Arc;

use crate::model::RequestFingerprint;
use crate::state::GatewayState;

/// Ends the probe when dropped, regardless of its outcome.
#[derive(Debug)]
pub struct ProbeGuard {
    state: Arc<GatewayState>,
    fingerprint: RequestFingerprint,
}

impl ProbeGuard {
    /// Returns the guard of a request that is sent as the probe of `fingerprint`.
    pub fn new(state: &Arc<GatewayState>, fingerprint: RequestFingerprint) -> Self {
        ProbeGuard { state: Arc::clone(state), fingerprint }
    }
}

impl Drop for ProbeGuard {
    fn drop(&mut self) {
        self.state.quarantines.end_probe(self.fingerprint);
    }
}
