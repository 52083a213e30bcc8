//! One backend server as this daemon tracks it.

use std::sync::Arc;

use umberglade_wire::engine::LoadSample;
use umberglade_wire::platform::InstanceEntry;

use super::ServerCounters;
use super::ServerLoad;

/// A backend server's entry in the instance list and this daemon's counters for it.
#[derive(Debug)]
pub struct ServerSlot {
    pub entry: InstanceEntry,
    /// Shared with earlier and later slots of the same server, so that a guard taken before the
    /// entry changed decrements the same counters.
    counters: Arc<ServerCounters>,
}

/// Counts one request in a server's in-flight counters until it is dropped, so that every path out
/// of a step ends the count.
#[derive(Debug)]
pub struct InFlightGuard {
    counters: Arc<ServerCounters>,
    tokens: u64,
}

impl InFlightGuard {
    /// Releases the prompt's tokens once its prefill is done.
    pub fn finish_prefill(&mut self) {
        self.counters.release_tokens(self.tokens);
        self.tokens = 0;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.counters.finish(self.tokens);
    }
}

impl ServerSlot {
    /// Creates a slot for `entry` with nothing in flight.
    pub fn new(entry: InstanceEntry) -> Self {
        ServerSlot { entry, counters: Arc::new(ServerCounters::default()) }
    }

    /// Creates a slot for `entry` that keeps the counters of `previous`, the same server.
    pub fn with_entry(entry: InstanceEntry, previous: &ServerSlot) -> Self {
        ServerSlot { entry, counters: Arc::clone(&previous.counters) }
    }

    /// Returns the number of requests this daemon has in flight on the server.
    pub fn in_flight(&self) -> u32 {
        self.counters.in_flight()
    }

    /// Returns the number of prompt tokens this daemon has queued on the server.
    pub fn local_queued_tokens(&self) -> u64 {
        self.counters.local_queued_tokens()
    }

    /// Counts one more request, with `tokens` of prompt to prefill, until the guard is dropped.
    pub fn begin(&self, tokens: u64) -> InFlightGuard {
        self.counters.begin(tokens);
        InFlightGuard { counters: Arc::clone(&self.counters), tokens }
    }

    /// Records the load carried on a server's response.
    pub fn observe(&self, sample: LoadSample) {
        self.counters.observe(sample);
    }

    /// Returns the current estimate of the server's load.
    pub fn load(&self) -> ServerLoad {
        self.counters.load()
    }

    /// Records a response from the server, which ends an ejection.
    pub fn record_success(&self) {
        self.counters.record_success();
    }

    /// Records that the server failed or rejected a step. It is ejected for a while, longer with
    /// each consecutive failure.
    pub fn record_failure(&self) {
        self.counters.record_failure();
    }

    /// Returns true while the server is ejected after failures.
    pub fn is_ejected(&self) -> bool {
        self.counters.is_ejected()
    }
}
