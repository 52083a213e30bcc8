//! What each gateway process has used of the limits that all gateways share.

use std::hash::Hash;
use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashMap;
use serde::Deserialize;
use serde::Serialize;

/// Random number that a gateway process draws at its start.
pub type ProcessId = u64;

/// How long the totals of a process are kept after its last report. When it reports again after it
/// was frozen or partitioned, what it has used meanwhile follows from them.
const RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of processes, of some 100 bytes each. Beyond it, the one that was silent for
/// longest is forgotten.
const MAX_PROCESSES: usize = 4096;

/// What one process has used, as another one tells.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRecord<K, U> {
    pub process: ProcessId,
    /// Milliseconds since the process reported it.
    pub age_ms: u64,
    pub used: Vec<(K, U)>,
}

impl<K: Eq, U: Copy> UsageRecord<K, U> {
    /// Returns what the process has used of `key`; `None` if that is not told.
    pub fn used_of(&self, key: &K) -> Option<U> {
        let used = self.used.iter().find(|(known, _)| known == key);
        used.map(|(_, used)| *used)
    }
}

#[derive(Debug)]
struct ProcessUsage<K, U> {
    reported_at: Instant,
    used: FxHashMap<K, U>,
}

/// The last totals that each other process has reported, by what they are of.
///
/// A process has totals of its own, which begin at zero. Prevents what a process used from being
/// forgotten when it ends, and from being counted twice, whoever tells it and however often: only
/// the difference to the last known total is new.
#[derive(Debug)]
pub struct UsageLedger<K, U> {
    processes: FxHashMap<ProcessId, ProcessUsage<K, U>>,
}

impl<K, U> Default for UsageLedger<K, U> {
    fn default() -> Self {
        UsageLedger { processes: FxHashMap::default() }
    }
}

impl<K: Copy + Eq + Hash, U: Copy> UsageLedger<K, U> {
    /// Records that `process` reported `used` at `reported_at`, and returns what it had reported
    /// before; `None` if that is not known.
    pub fn record(
        &mut self,
        process: ProcessId,
        key: K,
        used: U,
        reported_at: Instant,
    ) -> Option<U> {
        if !self.processes.contains_key(&process) && self.processes.len() >= MAX_PROCESSES {
            self.forget_most_silent();
        }
        let known = self
            .processes
            .entry(process)
            .or_insert_with(|| ProcessUsage { reported_at, used: FxHashMap::default() });
        known.reported_at = known.reported_at.max(reported_at);
        known.used.insert(key, used)
    }

    /// Returns what `process` last reported of `key`.
    pub fn used(&self, process: ProcessId, key: &K) -> Option<U> {
        self.processes.get(&process)?.used.get(key).copied()
    }

    /// Returns when `process` last reported; `None` if it is not known.
    pub fn reported_at(&self, process: ProcessId) -> Option<Instant> {
        Some(self.processes.get(&process)?.reported_at)
    }

    /// Returns what the processes that have reported within `window` have used.
    pub fn records(&self, window: Duration, now: Instant) -> Vec<UsageRecord<K, U>> {
        let records = self.processes.iter().map(|(process, known)| UsageRecord {
            process: *process,
            age_ms: now.saturating_duration_since(known.reported_at).as_millis() as u64,
            used: known.used.iter().map(|(key, used)| (*key, *used)).collect(),
        });
        records.filter(|record| Duration::from_millis(record.age_ms) < window).collect()
    }

    /// Removes processes that have been silent for [`RETENTION`].
    pub fn tick(&mut self, now: Instant) {
        self.processes
            .retain(|_, known| now.saturating_duration_since(known.reported_at) < RETENTION);
    }

    fn forget_most_silent(&mut self) {
        let most_silent = self.processes.iter().min_by_key(|(_, known)| known.reported_at);
        if let Some(process) = most_silent.map(|(process, _)| *process) {
            self.processes.remove(&process);
            metrics::counter!("umberglade_usage_forgotten_total").increment(1);
        }
    }
}
