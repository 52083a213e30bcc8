//! Counts the load of a request at a server until the request ends.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::cluster::LoadShare;
use crate::model::ServerIncarnation;
use crate::model::ServerKey;
use crate::state::GatewayState;

/// A response that reaches its estimated length is expected to continue for its length so far
/// divided by this number: estimates are off by half on average.
const OVERRUN_DIVISOR: u32 = 4;

/// Counts one request at a server until dropped, however the request ends: a load that is never
/// removed would make the server appear full.
#[derive(Debug)]
pub struct LoadGuard {
    state: Arc<GatewayState>,
    pub server: ServerKey,
    /// Incarnation of the server at which the load is counted; `None` if the server is unknown.
    incarnation: Option<ServerIncarnation>,
    load: LoadShare,
    started_at: Instant,
}

impl LoadGuard {
    /// Adds `load` to that of `server`, until the guard is dropped.
    pub fn begin(state: &Arc<GatewayState>, server: ServerKey, load: LoadShare) -> Self {
        let started_at = Instant::now();
        let incarnation = state.fleet().add_load(&server, load, started_at);
        request_report(state, load);
        LoadGuard { state: Arc::clone(state), server, incarnation, load, started_at }
    }

    /// Returns the time since the load was added.
    pub fn age(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Records that `generated_tokens` tokens have been generated, and extends the estimate of a
    /// response that has reached it.
    pub fn record_progress(&mut self, generated_tokens: u32) {
        let mut updated = self.load;
        updated.made_tokens = generated_tokens;
        if generated_tokens >= updated.output_tokens {
            updated.output_tokens = generated_tokens + generated_tokens / OVERRUN_DIVISOR;
        }
        if let Some(incarnation) = self.incarnation {
            self.state.fleet().replace_load(&self.server, incarnation, self.load, updated);
        }
        self.load = updated;
    }
}

/// Requests an immediate report to the peers for a stream, which takes a large fraction of an
/// engine for seconds. Plain calls end before a report would arrive.
fn request_report(state: &GatewayState, load: LoadShare) {
    if load.prompt_tokens > 0 {
        state.report_requested.notify(1);
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        if let Some(incarnation) = self.incarnation {
            self.state.fleet().remove_load(&self.server, incarnation, self.load);
        }
        request_report(&self.state, self.load);
        self.state.capacity_changed.notify(usize::MAX);
    }
}
