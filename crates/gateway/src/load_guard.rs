//! Work at a server, counted until it ends.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::cluster::LoadShare;
use crate::model::ServerIncarnation;
use crate::model::ServerKey;
use crate::state::GatewayState;

/// An answer longer than estimated is taken to be this part of its length
/// away from its end: estimates are off by half on the mean.
const OUTGROWN_PART: u32 = 4;

/// Counts one request at a server until dropped, however the request ends:
/// a count that stayed behind would keep the server looking full.
#[derive(Debug)]
pub struct LoadGuard {
    state: Arc<GatewayState>,
    pub server: ServerKey,
    /// The start of the server at which it counts; `None` for an unknown one.
    incarnation: Option<ServerIncarnation>,
    work: LoadShare,
    begun: Instant,
}

impl LoadGuard {
    /// Counts `work` at `server` from now on.
    pub fn begin(state: &Arc<GatewayState>, server: ServerKey, work: LoadShare) -> Self {
        let begun = Instant::now();
        let incarnation = state.fleet().add_load(&server, work, begun);
        tell(state, work);
        LoadGuard { state: Arc::clone(state), server, incarnation, work, begun }
    }

    /// How long it has been counted.
    pub fn age(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Notes that `made` tokens have been generated. An answer that outgrows
    /// its estimate is expected to go on for a while.
    pub fn advance(&mut self, made: u32) {
        let mut after = self.work;
        after.made_tokens = made;
        if made >= after.output_tokens {
            after.output_tokens = made + made / OUTGROWN_PART;
        }
        if let Some(incarnation) = self.incarnation {
            self.state.fleet().replace_load(&self.server, incarnation, self.work, after);
        }
        self.work = after;
    }
}

/// Streams are told to the other gateways at once: each takes a large part
/// of an engine for seconds. Plain calls are over sooner than told.
fn tell(state: &GatewayState, work: LoadShare) {
    if work.prompt_tokens > 0 {
        state.work_changed.notify(1);
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        if let Some(incarnation) = self.incarnation {
            self.state.fleet().remove_load(&self.server, incarnation, self.work);
        }
        tell(&self.state, self.work);
        self.state.room.notify(usize::MAX);
    }
}
