//! The instance list, which shows each change only after a lag.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use umberglade_wire::ids::ServerId;
use umberglade_wire::platform::InstanceEntry;
use umberglade_wire::platform::InstanceList;
use umberglade_wire::platform::InstanceState;

/// One change and when readers see it.
#[derive(Debug)]
struct InstanceChange {
    visible_from: Instant,
    entry: InstanceEntry,
}

/// The list: every change in the order it was made. Since the lag is the
/// same for all, they become visible in that order too.
#[derive(Debug)]
pub struct InstanceRegistry {
    lag: Duration,
    changes: Vec<InstanceChange>,
}

impl InstanceRegistry {
    /// A list whose changes show `lag` after they are made.
    pub fn new(lag: Duration) -> Self {
        InstanceRegistry { lag, changes: Vec::new() }
    }

    /// Records `entry`; readers see it once the lag has passed.
    pub fn set(&mut self, entry: InstanceEntry) {
        let visible_from = Instant::now() + self.lag;
        self.changes.push(InstanceChange { visible_from, entry });
    }

    /// How many changes are visible now.
    pub fn generation(&self) -> u64 {
        let now = Instant::now();
        self.changes.partition_point(|change| change.visible_from <= now) as u64
    }

    /// What changed after generation `after`; the whole list when `after`
    /// is 0 or beyond what this copy of the list has seen.
    pub fn visible_since(&self, after: u64) -> InstanceList {
        let generation = self.generation();
        let delta = after > 0 && after <= generation;
        let from = if delta { after as usize } else { 0 };
        let mut newest: BTreeMap<&ServerId, &InstanceEntry> = BTreeMap::new();
        for change in &self.changes[from..generation as usize] {
            newest.insert(&change.entry.server, &change.entry);
        }
        let instances = newest
            .into_values()
            .filter(|entry| delta || entry.state != InstanceState::Gone)
            .cloned()
            .collect();
        InstanceList { generation, delta, instances }
    }
}
