//! The prefix cache of an engine stand-in: entries expire under a second after their last use, the
//! memory is limited, and events report each change.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use umberglade_wire::engine::CacheChange;
use umberglade_wire::engine::CacheEvent;
use umberglade_wire::engine::CacheEventPage;

/// The maximum number of events retained for readers; older ones are dropped.
const MAX_RETAINED_EVENTS: usize = 256;
/// One of this many events is never published, as real engines leave gaps too.
const DROPPED_EVENT_INTERVAL: u64 = 16;

#[derive(Debug)]
struct CachedPrefix {
    tokens: u32,
    last_used: Instant,
}

#[derive(Debug)]
struct PublishedEvent {
    visible_from: Instant,
    event: CacheEvent,
}

/// The prefixes whose KV cache the engine has.
#[derive(Debug)]
pub struct PrefixCache {
    ttl: Duration,
    capacity_tokens: u64,
    event_lag: Duration,
    prefixes: HashMap<u64, CachedPrefix>,
    next_sequence: u64,
    /// Invariant: sequence numbers grow from front to back.
    events: Vec<PublishedEvent>,
}

impl PrefixCache {
    /// Creates an empty cache whose entries expire `ttl` after their last use.
    pub fn new(ttl: Duration, capacity_tokens: u64, event_lag: Duration) -> Self {
        PrefixCache {
            ttl,
            capacity_tokens,
            event_lag,
            prefixes: HashMap::new(),
            next_sequence: 1,
            events: Vec::new(),
        }
    }

    /// Returns the number of cached tokens of `prefix_hash` and marks the prefix as used.
    pub fn lookup(&mut self, prefix_hash: u64, now: Instant) -> u32 {
        self.evict_expired(now);
        match self.prefixes.get_mut(&prefix_hash) {
            Some(prefix) => {
                prefix.last_used = now;
                prefix.tokens
            }
            None => 0,
        }
    }

    /// Adds `tokens` of `prefix_hash`, and evicts the least recently used prefixes until the cache
    /// is within its capacity or has one prefix left.
    pub fn insert(&mut self, prefix_hash: u64, tokens: u32, now: Instant) {
        self.evict_expired(now);
        let previous = self.prefixes.insert(prefix_hash, CachedPrefix { tokens, last_used: now });
        if previous.is_none() {
            self.publish(CacheChange::Added, prefix_hash, now);
        }
        while self.total_tokens() > self.capacity_tokens && self.prefixes.len() > 1 {
            let oldest = self.prefixes.iter().min_by_key(|(_, prefix)| prefix.last_used);
            let Some(hash) = oldest.map(|(hash, _)| *hash) else {
                break;
            };
            self.remove(hash, now);
        }
    }

    /// Returns the events after `since` that are published by `now`.
    pub fn events_since(&self, since: u64, now: Instant) -> CacheEventPage {
        let published: Vec<CacheEvent> = self
            .events
            .iter()
            .take_while(|published| published.visible_from <= now)
            .filter(|published| published.event.sequence > since)
            .map(|published| published.event.clone())
            .collect();
        let next = published.last().map_or(since, |event| event.sequence);
        let lost = next - since != published.len() as u64;
        CacheEventPage { next, lost, events: published }
    }

    fn total_tokens(&self) -> u64 {
        self.prefixes.values().map(|prefix| u64::from(prefix.tokens)).sum()
    }

    fn evict_expired(&mut self, now: Instant) {
        let ttl = self.ttl;
        let expired: Vec<u64> = self
            .prefixes
            .iter()
            .filter(|(_, prefix)| now.duration_since(prefix.last_used) >= ttl)
            .map(|(hash, _)| *hash)
            .collect();
        for hash in expired {
            self.remove(hash, now);
        }
    }

    fn remove(&mut self, prefix_hash: u64, now: Instant) {
        self.prefixes.remove(&prefix_hash);
        self.publish(CacheChange::Evicted, prefix_hash, now);
    }

    fn publish(&mut self, change: CacheChange, prefix_hash: u64, now: Instant) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if sequence.is_multiple_of(DROPPED_EVENT_INTERVAL) {
            return;
        }
        if self.events.len() == MAX_RETAINED_EVENTS {
            self.events.remove(0);
        }
        let event = CacheEvent { sequence, change, prefix_hash };
        self.events.push(PublishedEvent { visible_from: now + self.event_lag, event });
    }
}
