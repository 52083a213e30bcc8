//! One backend server as this daemon tracks it.

use std::sync::Arc;

use umberglade_wire::engine::LoadSample;
use umberglade_wire::platform::InstanceEntry;

use super::ServerCounters;
use super::ServerLoad;

/// A backend server's entry in the instance list, and this daemon's own
/// figures about it.
#[derive(Debug)]
pub struct ServerSlot {
    pub entry: InstanceEntry,
    /// Shared with earlier and later slots of the same server: a guard
    /// taken before the entry changed gives back to the same count.
    counters: Arc<ServerCounters>,
}

/// One request's share of a server's in-flight counts, given back when
/// dropped, on every path out of a step.
#[derive(Debug)]
pub struct InFlightGuard {
    counters: Arc<ServerCounters>,
    tokens: u64,
}

impl InFlightGuard {
    /// The prompt was computed: its tokens no longer wait there.
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
    /// A slot for `entry` with nothing in flight.
    pub fn new(entry: InstanceEntry) -> Self {
        ServerSlot { entry, counters: Arc::new(ServerCounters::default()) }
    }

    /// A slot for `entry`, the same server as `previous`.
    pub fn with_entry(entry: InstanceEntry, previous: &ServerSlot) -> Self {
        ServerSlot { entry, counters: Arc::clone(&previous.counters) }
    }

    /// Requests this daemon has in flight on the server now.
    pub fn in_flight(&self) -> u32 {
        self.counters.in_flight()
    }

    /// Prompt tokens this daemon has waiting on the server now.
    pub fn queued_tokens(&self) -> u64 {
        self.counters.local_queued_tokens()
    }

    /// Counts one more request with `tokens` of prompt to compute in
    /// flight until the guard drops.
    pub fn begin(&self, tokens: u64) -> InFlightGuard {
        self.counters.begin(tokens);
        InFlightGuard { counters: Arc::clone(&self.counters), tokens }
    }

    /// Takes in the load a server's answer carried.
    pub fn observe(&self, sample: LoadSample) {
        self.counters.observe(sample);
    }

    /// The server's load as best known now.
    pub fn load(&self) -> ServerLoad {
        self.counters.load()
    }

    /// The server answered: it is well.
    pub fn record_success(&self) {
        self.counters.record_success();
    }

    /// The server failed a step or refused one: it gets no new work for a
    /// while, longer each time in a row.
    pub fn record_failure(&self) {
        self.counters.record_failure();
    }

    /// True while the server is set aside after failures.
    pub fn is_ejected(&self) -> bool {
        self.counters.is_ejected()
    }
}
