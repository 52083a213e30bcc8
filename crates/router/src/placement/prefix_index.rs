//! Tracks the servers to which this daemon recently sent each shared prefix.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;
use umberglade_wire::ids::ServerId;

use crate::state_lock;

/// The number of prefixes above which those not used within the retention time are evicted.
const MAX_PREFIXES: usize = 4096;

/// A server and the time at which it last computed or reused the prefix.
type PrefixHolder = (ServerId, Instant);

/// Maps each prefix digest to the servers that should still have it cached.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    holders: Mutex<HashMap<u64, SmallVec<[PrefixHolder; 4]>>>,
}

impl PrefixIndex {
    /// Returns the servers that used `prefix_hash` within `retention`.
    pub fn holders(&self, prefix_hash: u64, retention: Duration) -> SmallVec<[ServerId; 4]> {
        let holders = state_lock::lock(&self.holders);
        let Some(entries) = holders.get(&prefix_hash) else {
            return SmallVec::new();
        };
        entries
            .iter()
            .filter(|(_, used)| used.elapsed() < retention)
            .map(|(server, _)| server.clone())
            .collect()
    }

    /// Records that `server` uses `prefix_hash` now and removes entries older than `retention`.
    pub fn record(&self, prefix_hash: u64, server: &str, retention: Duration) {
        let now = Instant::now();
        let mut holders = state_lock::lock(&self.holders);
        let entries = holders.entry(prefix_hash).or_default();
        entries.retain(|(holder, used)| holder != server && now.duration_since(*used) < retention);
        entries.push((server.to_owned(), now));
        if holders.len() > MAX_PREFIXES {
            holders.retain(|_, entries| {
                entries.retain(|(_, used)| now.duration_since(*used) < retention);
                !entries.is_empty()
            });
        }
    }
}
