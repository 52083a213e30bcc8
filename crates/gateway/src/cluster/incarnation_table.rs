//! A bounded table of values keyed by server incarnation.

use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashMap;

use crate::model::ServerIncarnation;

/// How long the value of a server that is no longer listed is kept, in case its row has only
/// expired.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of servers in the table. Bounds its memory, since values reported by peers are
/// not verified.
const MAX_SERVERS: usize = 4096;

/// Values stated by servers, at most one per server incarnation.
#[derive(Debug)]
pub struct IncarnationTable<T> {
    entries: FxHashMap<ServerIncarnation, TableEntry<T>>,
}

#[derive(Debug)]
struct TableEntry<T> {
    value: T,
    /// When the server was last seen in the fleet, or the entry was inserted.
    listed_at: Instant,
}

impl<T> Default for IncarnationTable<T> {
    fn default() -> Self {
        IncarnationTable { entries: FxHashMap::default() }
    }
}

impl<T> IncarnationTable<T> {
    pub fn get(&self, server: ServerIncarnation) -> Option<&T> {
        self.entries.get(&server).map(|entry| &entry.value)
    }

    pub fn get_mut(&mut self, server: ServerIncarnation) -> Option<&mut T> {
        self.entries.get_mut(&server).map(|entry| &mut entry.value)
    }

    /// Returns the value of `server`, inserted from `default` if absent; `None` when `server` is
    /// absent and the table is full.
    pub fn get_or_insert_with(
        &mut self,
        server: ServerIncarnation,
        now: Instant,
        default: impl FnOnce() -> T,
    ) -> Option<&mut T> {
        if self.entries.len() >= MAX_SERVERS && !self.entries.contains_key(&server) {
            return None;
        }
        let entry = self.entries.entry(server);
        Some(&mut entry.or_insert_with(|| TableEntry { value: default(), listed_at: now }).value)
    }

    pub fn iter(&self) -> impl Iterator<Item = (ServerIncarnation, &T)> {
        self.entries.iter().map(|(server, entry)| (*server, &entry.value))
    }

    /// Removes servers for which `is_listed` has been false for [`UNLISTED_RETENTION`].
    pub fn tick(&mut self, is_listed: impl Fn(ServerIncarnation) -> bool, now: Instant) {
        self.entries.retain(|server, entry| {
            if is_listed(*server) {
                entry.listed_at = now;
            }
            now.saturating_duration_since(entry.listed_at) < UNLISTED_RETENTION
        });
    }

    /// Removes the entries for whose value `is_kept` returns false; `is_kept` may modify the
    /// value.
    pub fn retain(&mut self, mut is_kept: impl FnMut(&mut T) -> bool) {
        self.entries.retain(|_, entry| is_kept(&mut entry.value));
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
