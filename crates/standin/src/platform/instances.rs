//! The instance list of the platform stand-in, which shows each change after a delay.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use umberglade_wire::ids::ServerId;
use umberglade_wire::platform::InstanceEntry;
use umberglade_wire::platform::InstanceList;
use umberglade_wire::platform::InstanceState;

/// One change of the list and the time from which it is visible.
#[derive(Debug)]
struct InstanceChange {
    visible_from: Instant,
    entry: InstanceEntry,
}

/// The instance list, stored as all its changes in the order in which they were made. The lag is
/// the same for every change, so they become visible in that order too.
#[derive(Debug)]
pub struct InstanceRegistry {
    lag: Duration,
    changes: Vec<InstanceChange>,
}

impl InstanceRegistry {
    /// Creates an empty list whose changes become visible `lag` after they are made.
    pub fn new(lag: Duration) -> Self {
        InstanceRegistry { lag, changes: Vec::new() }
    }

    /// Adds or changes `entry`, visible after the lag.
    pub fn set(&mut self, entry: InstanceEntry) {
        let visible_from = Instant::now() + self.lag;
        self.changes.push(InstanceChange { visible_from, entry });
    }

    /// Returns the number of changes that are visible now.
    pub fn generation(&self) -> u64 {
        let now = Instant::now();
        self.changes.partition_point(|change| change.visible_from <= now) as u64
    }

    /// Returns the visible changes after generation `after`, or the full list when `after` is 0 or
    /// a generation that this copy of the list has not reached.
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
