//! Which servers this daemon lately sent each shared prefix to.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;
use umberglade_wire::ids::ServerId;

/// Prefixes remembered; beyond it those not used within their keep go.
const PREFIXES_KEPT: usize = 4096;

/// A server and when it last computed or reused the prefix.
type PrefixHolder = (ServerId, Instant);

/// The memory: prefix digest → servers that should still have it cached.
#[derive(Debug, Default)]
pub struct PrefixMemory {
    holders: Mutex<HashMap<u64, SmallVec<[PrefixHolder; 4]>>>,
}

impl PrefixMemory {
    /// Servers that used `prefix_hash` within `keep`.
    pub fn holders(&self, prefix_hash: u64, keep: Duration) -> SmallVec<[ServerId; 4]> {
        let holders = self.holders.lock().expect("prefix memory lock");
        let Some(known) = holders.get(&prefix_hash) else {
            return SmallVec::new();
        };
        known
            .iter()
            .filter(|(_, used)| used.elapsed() < keep)
            .map(|(server, _)| server.clone())
            .collect()
    }

    /// Notes that `server` uses `prefix_hash` now; forgets what is older
    /// than `keep`.
    pub fn note(&self, prefix_hash: u64, server: &str, keep: Duration) {
        let now = Instant::now();
        let mut holders = self.holders.lock().expect("prefix memory lock");
        let known = holders.entry(prefix_hash).or_default();
        known.retain(|(holder, used)| holder != server && now.duration_since(*used) < keep);
        known.push((server.to_owned(), now));
        if holders.len() > PREFIXES_KEPT {
            holders.retain(|_, known| {
                known.retain(|(_, used)| now.duration_since(*used) < keep);
                !known.is_empty()
            });
        }
    }
}
