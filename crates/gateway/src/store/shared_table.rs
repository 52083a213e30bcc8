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
use crate::timing::waking_clock;

/// Rows told by others that wait to be taken in. More than that is no longer a
/// change but a table: it is read from the store.
const MAX_PEER_ROWS: usize = 512;

/// What a report tells of a table that its sender reads for all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TableReadNotice {
    pub table: StoreTable,
    pub fingerprint: u64,
    /// Milliseconds since the store answered, by a clock that counts while the
    /// instance is suspended: a reader that was must not pass for a fresh one.
    pub age_ms: u64,
    pub is_heavy: bool,
}

/// The roster of a table, and the rows that others tell of it.
#[derive(Debug)]
pub struct SharedTable {
    pub table: StoreTable,
    readers: Mutex<TableReaders>,
    peer_rows: Mutex<VecDeque<StoreRow>>,
    /// When the store answered last, by [`waking_clock`].
    last_read: Mutex<Duration>,
    /// Notified when rows were told.
    pub rows_received: Event,
}

impl SharedTable {
    /// The reading of `table` at the gateway with digest `own`, whose changes
    /// must be known within `bound`.
    pub fn new(table: StoreTable, local_digest: u64, bound: Duration) -> Self {
        SharedTable {
            table,
            readers: Mutex::new(TableReaders::new(local_digest, bound, fastrand::f64())),
            peer_rows: Mutex::default(),
            last_read: Mutex::default(),
            rows_received: Event::new(),
        }
    }

    /// Who reads; held briefly, never across an await.
    pub fn readers(&self) -> MutexGuard<'_, TableReaders> {
        self.readers.lock().expect("roster lock")
    }

    /// The store has answered a read of our own.
    pub fn record_read(&self, fingerprint: u64) {
        *self.last_read.lock().expect("read time lock") = waking_clock();
        self.readers().record_read(fingerprint, Instant::now());
    }

    /// What a report says of this table, while this gateway reads for all.
    pub fn notice(&self, now: Instant) -> Option<TableReadNotice> {
        let local = self.readers().local_notice(now)?;
        let last_read = *self.last_read.lock().expect("read time lock");
        let age = waking_clock().saturating_sub(last_read);
        Some(TableReadNotice {
            table: self.table,
            fingerprint: local.fingerprint,
            age_ms: age.as_millis() as u64,
            is_heavy: local.is_heavy,
        })
    }

    /// Takes in rows that another gateway read.
    pub fn receive_rows(&self, rows: Vec<StoreRow>) {
        let mut peer_rows = self.peer_rows.lock().expect("told rows lock");
        peer_rows.extend(rows);
        // The fingerprint differs then, and the store is read.
        peer_rows.truncate(MAX_PEER_ROWS);
        drop(peer_rows);
        self.rows_received.notify(usize::MAX);
    }

    /// The rows told since the last call.
    pub fn take_peer_rows(&self) -> Vec<StoreRow> {
        self.peer_rows.lock().expect("told rows lock").drain(..).collect()
    }
}
