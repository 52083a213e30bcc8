//! Shares the reading of a table with the other gateways: decides when this one reads the store,
//! and exchanges changed rows with its peers.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use event_listener::EventListener;
use rustc_hash::FxHashSet;

use super::SharedTable;
use super::TableImage;
use super::TableSink;
use super::TransferableRow;
use super::raw_digest::stamp_digest;
use super::row_size::base64_length;
use super::row_size::estimated_bytes;
use crate::cluster::ReadCost;
use crate::cluster::ReadRole;
use crate::cluster::ReaderRank;
use crate::cluster::RowDigest;
use crate::cluster::TableFingerprint;
use crate::cluster::TableReaders;
use crate::cluster::TransferResult;
use crate::events;
use crate::model::RowValue;
use crate::model::StoreEra;
use crate::model::StoreRow;
use crate::model::StoreStamp;
use crate::model::StoreTable;
use crate::state::GatewayState;

/// Time after its first read for which a gateway sends no rows to its peers.
///
/// Prevents gateways that start together from filling their links for seconds: until each of them
/// receives reports from the others, it acts as one of the few readers and would send
/// each server that registers to all others.
const SEND_DELAY: Duration = Duration::from_secs(2);
/// Maximum time for which sending the changes of one read may occupy this gateway's link.
const MAX_SEND_SECONDS: f64 = 0.2;

/// The rows that a follower holds, and its exchange of rows with the peers.
#[derive(Debug)]
pub struct TableCoordinator {
    state: Arc<GatewayState>,
    table: StoreTable,
    /// When this gateway first read the table.
    first_read_at: Option<Instant>,
    /// The era in which this gateway last listed the table.
    read_era: StoreEra,
    /// True while this gateway relies on its peers' reads of the table.
    is_receiver: bool,
}

impl TableCoordinator {
    /// Creates the coordinator of `table` for the gateway with `state`.
    pub fn new(state: Arc<GatewayState>, table: StoreTable) -> Self {
        TableCoordinator { state, table, first_read_at: None, read_era: 0, is_receiver: false }
    }

    /// Decides whether this gateway reads the store next, and logs changes of that role.
    pub fn role(&mut self) -> ReadRole {
        let now = Instant::now();
        let rank = self.rank(now);
        let role = self.shared_table().readers().role(rank, now);
        let is_receiver = role != ReadRole::Reader;
        if is_receiver != self.is_receiver {
            self.is_receiver = is_receiver;
            self.log_role(rank, now);
        }
        role
    }

    fn log_role(&self, rank: ReaderRank, now: Instant) {
        let (known_at, readers) = {
            let table_readers = self.shared_table().readers();
            (table_readers.known_at(), table_readers.peer_readers())
        };
        let age = known_at.map(|at| now.saturating_duration_since(at));
        tracing::info!(
            event = events::READ_ROLE_CHANGED,
            table = %self.table,
            outcome = if self.is_receiver { "told by others" } else { "reads" },
            readers,
            gateways_heard = rank.peers,
            age_ms = age.map(|age| age.as_millis() as u64),
            "store read role changed"
        );
    }

    /// Returns true if there are enough gateways that they read this table for each other.
    pub fn is_shared(&self) -> bool {
        TableReaders::is_shared(self.rank(Instant::now()))
    }

    /// Returns a listener that resolves when rows from a peer arrive.
    pub fn rows_received(&self) -> EventListener {
        self.shared_table().rows_received.listen()
    }

    /// Returns the rows received from peers that change what is held here.
    pub fn take_new_peer_rows(&mut self, sink: &impl TableSink) -> Vec<StoreRow> {
        let peer_rows = self.shared_table().take_peer_rows();
        let rows: Vec<StoreRow> =
            peer_rows.into_iter().filter(|row| self.record_row(sink, row)).collect();
        if !rows.is_empty() {
            let fingerprint = self.fingerprint();
            self.shared_table().readers().record_peer_rows(fingerprint);
        }
        rows
    }

    /// Returns the content that a peer has sent, with the removal of the rows that it lacks, unless
    /// it, or what is held here, is from another era of the store.
    pub fn take_peer_image(&mut self) -> Option<TableImage> {
        let mut image = self.shared_table().take_peer_image()?;
        let era = self.store_era();
        if image.through.seen_era() != era || !self.shared_table().matches_era(era) {
            return None;
        }
        if image.is_whole {
            let listed: FxHashSet<&str> = image.rows.iter().map(|row| row.key.as_str()).collect();
            let is_listed = |key: &str| listed.contains(key);
            let missing = self.shared_table().row_set().missing_from(is_listed, image.through);
            let removed = |key| StoreRow { key, stamp: image.through, value: RowValue::Removed };
            let removed: Vec<StoreRow> = missing.into_iter().map(removed).collect();
            image.rows.extend(removed);
        }
        Some(image)
    }

    /// Records the rows of a peer's image, and returns those that change what is held here.
    pub fn record_image(&mut self, image: TableImage, sink: &impl TableSink) -> Vec<StoreRow> {
        let TableImage { is_whole, fingerprint, through, age, rows } = image;
        let size = estimated_bytes(&rows);
        let rows: Vec<StoreRow> =
            rows.into_iter().filter(|row| self.record_row(sink, row)).collect();
        let held = self.fingerprint();
        let is_complete = held == fingerprint;
        let holds_newer_rows = self.shared_table().row_set().has_changed_after(through);
        let result = TransferResult { is_whole, is_complete, holds_newer_rows };
        self.shared_table().record_transfer(result);
        let now = Instant::now();
        let mut readers = self.shared_table().readers();
        match now.checked_sub(age).filter(|_| is_complete) {
            Some(known_at) => readers.record_peer_content(held, through, known_at),
            None => readers.record_peer_rows(held),
        }
        drop(readers);
        self.record_size(size, Duration::ZERO);
        // Tells peers from whom they can have the rows.
        self.state.report_requested.notify(1);
        tracing::info!(
            event = events::TABLE_RECEIVED,
            table = %self.table,
            version = through.version(),
            era = through.written_era(),
            bytes = size,
            changed = rows.len(),
            is_complete,
            "content of a table received from a peer"
        );
        rows
    }

    /// Returns the fraction of the peers heard that precede this gateway.
    pub fn rank_fraction(&self) -> f64 {
        let ReaderRank { peers, peers_before } = self.rank(Instant::now());
        peers_before as f64 / peers.max(1) as f64
    }

    /// Returns the time within which a change of the table must be known.
    pub fn bound(&self) -> Duration {
        self.shared_table().readers().bound()
    }

    /// Returns true if no row is held here.
    pub fn is_empty(&self) -> bool {
        self.shared_table().row_set().is_empty()
    }

    /// Records changes that the store returned, and sends peers the rows whose content is new.
    ///
    /// `through` is the version up to which all changes are known now.
    pub fn record_changes(
        &mut self,
        rows: &[StoreRow],
        through: StoreStamp,
        sink: &impl TableSink,
    ) {
        let may_send = !self.table.holds_keys();
        let mut updates = Vec::new();
        for row in rows {
            if self.record_row(sink, row) && may_send {
                updates.push(row.clone());
            }
        }
        self.record_read(updates, through);
    }

    /// Records the row that the sink holds: it may have been transferred from a peer.
    pub fn record_transferable(&mut self, row: &TransferableRow, interval: Duration) {
        let digest = Some(stamp_digest(row.stamp));
        if self.shared_table().row_set().record(&row.key, row.stamp, digest) {
            let fingerprint = self.fingerprint();
            self.shared_table().readers().record_peer_rows(fingerprint);
        }
        self.record_size(row.bytes, interval);
    }

    /// Records the full table as of `through`, and sends removed rows to the peers. Peers that lack
    /// changed rows detect this by the fingerprint, and read the store. Rows that a copy of the
    /// store lacks may have been lost with it; peers are not told of those.
    pub fn record_listing(
        &mut self,
        rows: &[StoreRow],
        through: StoreStamp,
        sink: &impl TableSink,
    ) {
        let is_same_era = through.seen_era() == self.read_era;
        self.read_era = through.seen_era();
        let listed: Vec<(&str, StoreStamp, RowDigest)> = rows
            .iter()
            .filter_map(|row| Some((row.key.as_str(), row.stamp, sink.digest(row)?)))
            .collect();
        let mut removed_keys = {
            let mut row_set = self.shared_table().row_set();
            let removed_keys = row_set.replace(listed.into_iter(), through);
            if self.shared_table().has_images() {
                rows.iter().for_each(|row| row_set.keep_value(row));
            }
            removed_keys
        };
        removed_keys.retain(|_| is_same_era);
        let removed = |key| StoreRow { key, stamp: through, value: RowValue::Removed };
        self.record_read(removed_keys.into_iter().map(removed).collect(), through);
    }

    /// Records that this gateway's link is loaded by a read of `bytes` in each `interval`, or by the
    /// listing of the table, which may become necessary at any time.
    ///
    /// Prevents instances with small links from reading a table of thousands of rows for all others,
    /// who would read it too before its listing has arrived.
    pub fn record_size(&self, bytes: usize, interval: Duration) {
        let Some(link) = self.state.settings.link_bytes_per_s else { return };
        let listing_bytes = base64_length(self.shared_table().row_set().value_bytes());
        let bytes = bytes.max(listing_bytes);
        self.shared_table().readers().set_cost(ReadCost::of(bytes, interval, link));
    }

    /// Returns the store's version up to which the content held here is known.
    pub fn known_through(&self) -> Option<StoreStamp> {
        self.shared_table().readers().known_through()
    }

    /// Returns the era of the store from which the content held here is; `None` before there is any.
    pub fn held_era(&self) -> Option<StoreEra> {
        self.shared_table().held_era()
    }

    /// Returns the store's present era.
    pub fn store_era(&self) -> StoreEra {
        self.state.store_eras.current()
    }

    /// Returns the latest time at which the rows held here matched the store.
    pub fn known_at(&self) -> Option<Instant> {
        self.shared_table().readers().known_at()
    }

    /// Records that a call to the store failed.
    pub fn record_failure(&self) {
        self.shared_table().readers().record_failure();
    }

    fn record_read(&mut self, updates: Vec<StoreRow>, through: StoreStamp) {
        let now = Instant::now();
        self.shared_table().record_read(self.fingerprint(), through);
        let since = *self.first_read_at.get_or_insert(now);
        let may_send_yet = now.saturating_duration_since(since) >= SEND_DELAY;
        let sends_rows = may_send_yet && self.shared_table().readers().sends_rows(now);
        if sends_rows && !updates.is_empty() && self.may_send_rows(&updates) {
            self.state.shared_tables.send_rows(self.table, updates);
        }
    }

    /// Returns true if `rows` may be sent: their table holds no API keys, and sending them to all
    /// peers takes little of this gateway's link. The peers read larger changes from the store.
    fn may_send_rows(&self, rows: &[StoreRow]) -> bool {
        if self.table.holds_keys() {
            return false;
        }
        let Some(link) = self.state.settings.link_bytes_per_s else { return true };
        let sent_bytes = (estimated_bytes(rows) * self.state.row_recipients()) as f64;
        sent_bytes <= link * MAX_SEND_SECONDS
    }

    /// Records `row`, with its value if peers may ask for it. Returns true if its content is new.
    fn record_row(&self, sink: &impl TableSink, row: &StoreRow) -> bool {
        let digest = sink.digest(row);
        let mut row_set = self.shared_table().row_set();
        let is_new = row_set.record(&row.key, row.stamp, digest);
        if is_new && self.shared_table().has_images() {
            row_set.keep_value(row);
        }
        is_new
    }

    fn fingerprint(&self) -> TableFingerprint {
        self.shared_table().row_set().fingerprint()
    }

    fn shared_table(&self) -> &SharedTable {
        self.state.shared_tables.table(self.table)
    }

    fn rank(&self, now: Instant) -> ReaderRank {
        self.state.fleet().peers.rank(self.state.digest, now)
    }
}
