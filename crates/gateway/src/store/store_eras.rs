//! The store's era, as the clients of this process see it.

use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use event_listener::Event;

use crate::cluster::EraHistory;
use crate::events;
use crate::model::RowBatch;
use crate::model::StoreEra;
use crate::model::StoreStamp;
use crate::model::StoreVersion;
use crate::state_lock::StateLock;

/// Records the era of each answer of the store, and stamps rows.
#[derive(Debug, Default)]
pub struct StoreEras {
    history: StateLock<EraHistory>,
    /// Notified when the store has come back from a copy.
    pub changed: Event,
}

impl StoreEras {
    /// Records that the store has answered in `era`, with its newest `version` if it states it.
    pub fn observe(&self, era: StoreEra, version: Option<StoreVersion>) {
        let before = self.current();
        if !self.history().observe(era, version, Instant::now()) {
            return;
        }
        tracing::warn!(
            event = events::STORE_ERA_CHANGED,
            era,
            before,
            version = version.unwrap_or(0),
            "the store has come back from an older copy"
        );
        self.changed.notify(usize::MAX);
    }

    /// Records that a peer has known `era` for `age`.
    pub fn observe_peer_age(&self, era: StoreEra, age: Duration) {
        self.history().observe_peer_age(era, age, Instant::now());
    }

    /// Returns the newest era.
    pub fn current(&self) -> StoreEra {
        self.history().current()
    }

    /// Returns how long ago the store has come back from a copy, if it has.
    pub fn age(&self) -> Option<Duration> {
        self.history().age(Instant::now())
    }

    /// Attributes the rows of `batch` to the eras in which they were written.
    pub fn stamp_rows(&self, batch: &mut RowBatch) {
        let now = Instant::now();
        let history = self.history();
        for row in &mut batch.rows {
            row.stamp = history.stamp(row.stamp.seen_era(), row.stamp.version(), now);
        }
    }

    /// Returns true if a conditional write on a row with `stamp` can be made: its number is one of
    /// the present era.
    pub fn is_current(&self, stamp: StoreStamp) -> bool {
        !stamp.exists() || stamp.seen_era() == self.current()
    }

    fn history(&self) -> MutexGuard<'_, EraHistory> {
        self.history.lock()
    }
}
