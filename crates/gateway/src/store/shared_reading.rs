//! One table as the gateways read it for each other.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use event_listener::Event;

use crate::cluster::TableReaders;
use crate::model::StoreRow;
use crate::model::StoreTable;
use crate::timing::boottime_clock;

/// Rows told by others that wait to be taken in. More than that is no longer a
/// change but a table: it is read from the store.
const MAX_TOLD: usize = 512;

/// What a report tells of a table that its sender reads for all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TableNotice {
    pub table: StoreTable,
    pub fingerprint: u64,
    /// Milliseconds since the store answered, by a clock that counts while the
    /// instance is suspended: a reader that was must not pass for a fresh one.
    pub age_ms: u64,
    pub is_heavy: bool,
}

/// The roster of a table, and the rows that others tell of it.
#[derive(Debug)]
pub struct SharedReading {
    pub table: StoreTable,
    roster: Mutex<TableReaders>,
    told: Mutex<VecDeque<StoreRow>>,
    /// When the store answered last, by [`boottime_clock`].
    read_waking: Mutex<Duration>,
    /// Notified when rows were told.
    pub news: Event,
}

impl SharedReading {
    /// The reading of `table` at the gateway with digest `own`, whose changes
    /// must be known within `bound`.
    pub fn new(table: StoreTable, own: u64, bound: Duration) -> Self {
        SharedReading {
            table,
            roster: Mutex::new(TableReaders::new(own, bound, fastrand::f64())),
            told: Mutex::default(),
            read_waking: Mutex::default(),
            news: Event::new(),
        }
    }

    /// Who reads; held briefly, never across an await.
    pub fn roster(&self) -> MutexGuard<'_, TableReaders> {
        self.roster.lock().expect("roster lock")
    }

    /// The store has answered a read of our own.
    pub fn note_read(&self, fingerprint: u64) {
        *self.read_waking.lock().expect("read time lock") = boottime_clock();
        self.roster().record_read(fingerprint, Instant::now());
    }

    /// What a report says of this table, while this gateway reads for all.
    pub fn notice(&self, now: Instant) -> Option<TableNotice> {
        let own = self.roster().local_notice(now)?;
        let read_waking = *self.read_waking.lock().expect("read time lock");
        let age = boottime_clock().saturating_sub(read_waking);
        Some(TableNotice {
            table: self.table,
            fingerprint: own.fingerprint,
            age_ms: age.as_millis() as u64,
            is_heavy: own.is_heavy,
        })
    }

    /// Takes in rows that another gateway read.
    pub fn tell(&self, rows: Vec<StoreRow>) {
        let mut told = self.told.lock().expect("told rows lock");
        told.extend(rows);
        // The fingerprint differs then, and the store is read.
        told.truncate(MAX_TOLD);
        drop(told);
        self.news.notify(usize::MAX);
    }

    /// The rows told since the last call.
    pub fn take_told(&self) -> Vec<StoreRow> {
        self.told.lock().expect("told rows lock").drain(..).collect()
    }
}
