//! Which servers this daemon lately sent each shared prefix to.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;
use umberglade_wire::ids::ServerId;

/// Prefixes remembered; beyond it those not used within their keep go.
const MAX_PREFIXES: usize = 4096;

/// A server and when it last computed or reused the prefix.
type PrefixHolder = (ServerId, Instant);

/// The memory: prefix digest → servers that should still have it cached.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    holders: Mutex<HashMap<u64, SmallVec<[PrefixHolder; 4]>>>,
}

impl PrefixIndex {
    /// Servers that used `prefix_hash` within `keep`.
    pub fn holders(&self, prefix_hash: u64, retention: Duration) -> SmallVec<[ServerId; 4]> {
        let holders = self.holders.lock().expect("prefix memory lock");
        let Some(entries) = holders.get(&prefix_hash) else {
            return SmallVec::new();
        };
        entries
            .iter()
            .filter(|(_, used)| used.elapsed() < retention)
            .map(|(server, _)| server.clone())
            .collect()
    }

    /// Notes that `server` uses `prefix_hash` now; forgets what is older
    /// than `keep`.
    pub fn record(&self, prefix_hash: u64, server: &str, retention: Duration) {
        let now = Instant::now();
        let mut holders = self.holders.lock().expect("prefix memory lock");
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
