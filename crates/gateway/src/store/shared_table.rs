//! A table of the store that a few gateways read for their peers.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use event_listener::Event;

use crate::cluster::ReadCost;
use crate::cluster::TableReaders;
use crate::model::StoreRow;
use crate::model::StoreStamp;
use crate::model::StoreTable;
use crate::timing::boottime_clock;

/// Maximum number of rows from peers that wait to be applied. Further rows are dropped: so many
/// amount to a full table, which is read from the store instead.
const MAX_PEER_ROWS: usize = 512;

/// Notice in a gateway's report about a table that it reads for its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TableReadNotice {
    pub table: StoreTable,
    /// Fingerprint of the sender's content of the table.
    pub fingerprint: u64,
    /// Milliseconds since the store responded, by a clock that counts while the instance is
    /// suspended: a reader that was suspended must not look fresh.
    pub age_ms: u64,
    /// True if reading the table takes much of the sender's link.
    pub is_heavy: bool,
}

/// What a report adds to a [`TableReadNotice`]; gateways of the previous build do not send it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ReadNoticeDetail {
    pub table: StoreTable,
    /// What reading the table costs the sender's link.
    pub cost: ReadCost,
    /// The store's version up to which the sender has read.
    pub through: StoreStamp,
}

/// The readers of a table, and the rows received from them.
#[derive(Debug)]
pub struct SharedTable {
    pub table: StoreTable,
    readers: Mutex<TableReaders>,
    peer_rows: Mutex<VecDeque<StoreRow>>,
    /// When the store responded last, by [`boottime_clock`].
    last_read: Mutex<Duration>,
    /// Notified when rows from a peer arrive.
    pub rows_received: Event,
}

impl SharedTable {
    /// Creates the state of `table` at the gateway with digest `local_digest`. Changes of the table
    /// must be known within `bound`.
    pub fn new(table: StoreTable, local_digest: u64, bound: Duration) -> Self {
        let readers = TableReaders::new(local_digest, bound, fastrand::f64());
        let has_transfers = table == StoreTable::Configuration;
        let readers = if has_transfers { readers.with_transfers() } else { readers };
        SharedTable {
            table,
            readers: Mutex::new(readers),
            peer_rows: Mutex::default(),
            last_read: Mutex::default(),
            rows_received: Event::new(),
        }
    }

    /// Locks the table's readers. The lock is held briefly, never across an await.
    pub fn readers(&self) -> MutexGuard<'_, TableReaders> {
        self.readers.lock().expect("table readers lock")
    }

    /// Records that the store responded to a local read, after which the content held here has
    /// `fingerprint`.
    pub fn record_read(&self, fingerprint: u64, through: StoreStamp) {
        *self.last_read.lock().expect("read time lock") = boottime_clock();
        self.readers().record_read(fingerprint, through, Instant::now());
    }

    /// Returns this table's notice for the peers, while this gateway reads for them.
    pub fn notice(&self, now: Instant) -> Option<TableReadNotice> {
        let local = self.readers().local_notice(now)?;
        let last_read = *self.last_read.lock().expect("read time lock");
        let age = boottime_clock().saturating_sub(last_read);
        Some(TableReadNotice {
            table: self.table,
            fingerprint: local.fingerprint,
            age_ms: age.as_millis() as u64,
            is_heavy: local.cost.is_heavy(),
        })
    }

    /// Returns the details of this table's notice.
    pub fn notice_detail(&self, now: Instant) -> Option<ReadNoticeDetail> {
        let local = self.readers().local_notice(now)?;
        let through = local.through?;
        Some(ReadNoticeDetail { table: self.table, cost: local.cost, through })
    }

    /// Queues rows that another gateway read.
    pub fn receive_rows(&self, rows: Vec<StoreRow>) {
        let mut peer_rows = self.peer_rows.lock().expect("peer rows lock");
        peer_rows.extend(rows);
        // If rows are dropped, the fingerprint differs from the peers' and the store is read.
        peer_rows.truncate(MAX_PEER_ROWS);
        drop(peer_rows);
        self.rows_received.notify(usize::MAX);
    }

    /// Removes and returns the rows received since the last call.
    pub fn take_peer_rows(&self) -> Vec<StoreRow> {
        self.peer_rows.lock().expect("peer rows lock").drain(..).collect()
    }
}
