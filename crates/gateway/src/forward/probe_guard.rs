//! A request that finds out whether servers still crash under its content.

use std::sync::Arc;

use crate::model::RequestFingerprint;
use crate::state::GatewayState;

/// Tells when the request is over, however it ends.
#[derive(Debug)]
pub struct ProbeGuard {
    state: Arc<GatewayState>,
    fingerprint: RequestFingerprint,
}

impl ProbeGuard {
    /// A request of `content` goes out as a probe.
    pub fn new(state: &Arc<GatewayState>, fingerprint: RequestFingerprint) -> Self {
        ProbeGuard { state: Arc::clone(state), fingerprint }
    }
}

impl Drop for ProbeGuard {
    fn drop(&mut self) {
        self.state.quarantines.end_probe(self.fingerprint);
    }
}
