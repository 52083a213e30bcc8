//! A table of the store that a few gateways read for their peers.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use event_listener::Event;

use super::TableImage;
use super::table_image::encode_rows;
use crate::cluster::ChangeTransfers;
use crate::cluster::ReadCost;
use crate::cluster::RelayedNotice;
use crate::cluster::TableFingerprint;
use crate::cluster::TableReaders;
use crate::cluster::TableRowSet;
use crate::cluster::TableSources;
use crate::cluster::TransferResult;
use crate::model::StoreEra;
use crate::model::StoreRow;
use crate::model::StoreStamp;
use crate::model::StoreTable;
use crate::state_lock::StateLock;
use crate::timing::boottime_clock;

/// Maximum number of rows from peers that wait to be applied, of some 300 bytes each. Further rows
/// are dropped, and transferred later.
const MAX_PEER_ROWS: usize = 4096;
/// Time for which peers hold other content before it is fetched: their rows may be on their way.
const REPAIR_DELAY: Duration = Duration::from_millis(300);

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

/// The last local read of a table.
#[derive(Debug, Clone, Copy, Default)]
struct LocalRead {
    /// When the store responded, by [`boottime_clock`].
    at: Duration,
    /// Number of reads of this process so far.
    sequence: u64,
}

/// Encoded rows for a peer, with what the rows lead to.
#[derive(Debug, Clone)]
pub struct EncodedImage {
    pub is_whole: bool,
    pub fingerprint: TableFingerprint,
    pub through: StoreStamp,
    pub age: Duration,
    pub bytes: Bytes,
}

/// The content of a table, its readers, and what was received from peers.
#[derive(Debug)]
pub struct SharedTable {
    pub table: StoreTable,
    readers: StateLock<TableReaders>,
    row_set: StateLock<TableRowSet>,
    sources: StateLock<TableSources>,
    peer_rows: StateLock<VecDeque<StoreRow>>,
    peer_image: StateLock<Option<TableImage>>,
    transfers: StateLock<ChangeTransfers>,
    /// All rows, encoded, and their fingerprint, since many peers ask for them in a row.
    encoded: StateLock<Option<(TableFingerprint, Bytes)>>,
    last_read: StateLock<LocalRead>,
    /// Notified when rows or an image from a peer arrive, and when reading becomes due.
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
            readers: StateLock::new(readers),
            row_set: StateLock::default(),
            sources: StateLock::default(),
            peer_rows: StateLock::default(),
            peer_image: StateLock::default(),
            transfers: StateLock::default(),
            encoded: StateLock::default(),
            last_read: StateLock::default(),
            rows_received: Event::new(),
        }
    }

    /// Returns true if gateways transfer the table's rows to each other. Those of the configuration
    /// hold keys, and have a transfer of their own.
    pub fn has_images(&self) -> bool {
        !self.table.holds_keys()
    }

    /// Locks the table's readers. The lock is held briefly, never across an await.
    pub fn readers(&self) -> MutexGuard<'_, TableReaders> {
        self.readers.lock()
    }

    /// Locks the rows held here. The lock is held briefly, never across an await.
    pub fn row_set(&self) -> MutexGuard<'_, TableRowSet> {
        self.row_set.lock()
    }

    /// Locks the peers that offer the table's content.
    pub fn sources(&self) -> MutexGuard<'_, TableSources> {
        self.sources.lock()
    }

    /// Records that the store responded to a local read, after which the content held here has
    /// `fingerprint`.
    pub fn record_read(&self, fingerprint: u64, through: StoreStamp) {
        {
            let mut last_read = self.last_read();
            *last_read = LocalRead { at: boottime_clock(), sequence: last_read.sequence + 1 };
        }
        self.readers().record_read(fingerprint, through, Instant::now());
    }

    /// Returns this table's notice for the peers, while this gateway reads for them.
    pub fn notice(&self, now: Instant) -> Option<TableReadNotice> {
        let local = self.readers().local_notice(now)?;
        Some(TableReadNotice {
            table: self.table,
            fingerprint: local.fingerprint,
            age_ms: self.read_age_ms(),
            is_heavy: local.cost.is_heavy(),
        })
    }

    /// Returns the details of this table's notice.
    pub fn notice_detail(&self, now: Instant) -> Option<ReadNoticeDetail> {
        let local = self.readers().local_notice(now)?;
        let through = local.through?;
        Some(ReadNoticeDetail { table: self.table, cost: local.cost, through })
    }

    /// Returns this table's notice as gateways pass it on. The process with `incarnation` of the
    /// gateway with digest `reader` is this one.
    pub fn relayed_notice(
        &self,
        reader: u64,
        incarnation: u32,
        now: Instant,
    ) -> Option<RelayedNotice> {
        let local = self.readers().local_notice(now)?;
        let through = local.through?;
        let sequence = self.last_read().sequence;
        Some(RelayedNotice {
            table: self.table,
            reader,
            incarnation,
            sequence,
            fingerprint: local.fingerprint,
            age_ms: self.read_age_ms(),
            cost: local.cost,
            through,
        })
    }

    /// Queues rows that another gateway read.
    pub fn receive_rows(&self, rows: Vec<StoreRow>) {
        let mut peer_rows = self.peer_rows.lock();
        let dropped = (peer_rows.len() + rows.len()).saturating_sub(MAX_PEER_ROWS);
        peer_rows.extend(rows);
        // If rows are dropped, the fingerprint differs from the peers', and the rows are fetched.
        peer_rows.truncate(MAX_PEER_ROWS);
        drop(peer_rows);
        metrics::counter!("umberglade_peer_rows_dropped_total").increment(dropped as u64);
        self.rows_received.notify(usize::MAX);
    }

    /// Removes and returns the rows received since the last call.
    pub fn take_peer_rows(&self) -> Vec<StoreRow> {
        self.peer_rows.lock().drain(..).collect()
    }

    /// Queues the content that a peer has sent.
    pub fn receive_image(&self, image: TableImage) {
        *self.peer_image.lock() = Some(image);
        self.rows_received.notify(usize::MAX);
    }

    /// Removes and returns the content that a peer has sent.
    pub fn take_peer_image(&self) -> Option<TableImage> {
        self.peer_image.lock().take()
    }

    /// Records what applying the content has led to that a peer has sent.
    pub fn record_transfer(&self, result: TransferResult) {
        self.transfers.lock().record(result);
    }

    /// Returns the version after which changes are to be transferred next; `None` for all rows.
    pub fn transfer_position(&self) -> Option<StoreStamp> {
        let are_changes_enough = self.transfers.lock().are_enough();
        self.readers().known_through().filter(|_| are_changes_enough)
    }

    /// Returns true if peers are known to hold content that this gateway lacks, and that it should
    /// fetch from them.
    pub fn wants_image(&self, now: Instant) -> bool {
        self.has_images() && self.readers().lacks_content(REPAIR_DELAY, now)
    }

    /// Returns true unless what is held here is from another era of the store than `era`.
    ///
    /// Prevents servers that are up from being dropped because the copy from which the store has
    /// come back lacks their rows: what peers hold does not tell that from a removal, so each gateway
    /// lists the table of a copy itself.
    pub fn matches_era(&self, era: StoreEra) -> bool {
        self.held_era().is_none_or(|held| held == era)
    }

    /// Returns the era of the store from which the content held here is; `None` before there is any.
    pub fn held_era(&self) -> Option<StoreEra> {
        self.readers().known_through().map(|through| through.seen_era())
    }

    /// Records that `peer` at `address` offers the table's content up to `through`, or does not.
    pub fn apply_peer_offer(
        &self,
        peer: u64,
        address: SocketAddr,
        through: Option<StoreStamp>,
        is_same_domain: bool,
        now: Instant,
    ) {
        let held = self.readers().known_through();
        let has_newer = {
            let mut sources = self.sources();
            match through {
                Some(through) => sources.record(peer, address, through, is_same_domain, now),
                None => sources.remove(peer),
            }
            sources.has_newer(held)
        };
        self.readers().set_has_sources(has_newer);
    }

    /// Returns the rows that a peer with content up to `held` lacks, or all rows; `None` if this
    /// gateway does not know the table.
    pub fn image(&self, held: Option<StoreStamp>, now: Instant) -> Option<EncodedImage> {
        let (through, age) = {
            let readers = self.readers();
            let known_at = readers.known_at()?;
            (readers.known_through()?, now.saturating_duration_since(known_at))
        };
        let (fingerprint, changed) = {
            let row_set = self.row_set();
            (row_set.fingerprint(), held.and_then(|held| row_set.rows_changed_after(held)))
        };
        if let Some(rows) = changed {
            let bytes = encode_rows(rows);
            return Some(EncodedImage { is_whole: false, fingerprint, through, age, bytes });
        }
        let encoded = self.encoded.lock().clone();
        if let Some((_, bytes)) = encoded.filter(|(encoded, _)| *encoded == fingerprint) {
            return Some(EncodedImage { is_whole: true, fingerprint, through, age, bytes });
        }
        let (fingerprint, rows) = {
            let row_set = self.row_set();
            (row_set.fingerprint(), row_set.all_rows()?)
        };
        let bytes = encode_rows(rows);
        *self.encoded.lock() = Some((fingerprint, bytes.clone()));
        Some(EncodedImage { is_whole: true, fingerprint, through, age, bytes })
    }

    fn last_read(&self) -> MutexGuard<'_, LocalRead> {
        self.last_read.lock()
    }

    fn read_age_ms(&self) -> u64 {
        boottime_clock().saturating_sub(self.last_read().at).as_millis() as u64
    }
}
