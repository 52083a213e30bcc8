//! The instance list, which shows each change only after a lag.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use umberglade_wire::ids::ServerId;
use umberglade_wire::platform::InstanceEntry;
use umberglade_wire::platform::InstanceList;

/// Each server's history of entries, each visible from its time on.
#[derive(Debug)]
pub struct InstanceBoard {
    lag: Duration,
    /// Per server, (visible from, entry) in the order they were set.
    history: BTreeMap<ServerId, Vec<(Instant, InstanceEntry)>>,
}

impl InstanceBoard {
    /// A list whose changes show `lag` after they are made.
    pub fn new(lag: Duration) -> Self {
        InstanceBoard { lag, history: BTreeMap::new() }
    }

    /// Records `entry`; readers see it once the lag has passed.
    pub fn set(&mut self, entry: InstanceEntry) {
        let visible_from = Instant::now() + self.lag;
        self.history.entry(entry.server.clone()).or_default().push((visible_from, entry));
    }

    /// The list as it is visible now.
    pub fn visible(&self) -> InstanceList {
        let now = Instant::now();
        let generation =
            self.history.values().flatten().filter(|(from, _)| *from <= now).count() as u64;
        let instances = self
            .history
            .values()
            .filter_map(|entries| entries.iter().rev().find(|(from, _)| *from <= now))
            .map(|(_, entry)| entry.clone())
            .collect();
        InstanceList { generation, instances }
    }
}
