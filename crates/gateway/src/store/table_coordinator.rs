//! A follower's part in reading its table together with the other gateways.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use event_listener::EventListener;

use super::SharedTable;
use super::TableSink;
use super::table_follower::estimated_bytes;
use crate::cluster::ReadRole;
use crate::cluster::ReaderRank;
use crate::cluster::TableReaders;
use crate::cluster::TableRowSet;
use crate::events;
use crate::model::RowValue;
use crate::model::StoreRow;
use crate::model::StoreTable;
use crate::model::StoreVersion;
use crate::state::GatewayState;

/// Reading that takes more than this part of a link is left to others.
const HEAVY_LINK_FRACTION: f64 = 0.1;
/// For so long after its first read a gateway tells nobody of rows.
///
/// Guards against gateways that start together, each of which takes itself for one
/// of the few readers until it hears the others: each told all others of each server
/// that registered, and links were full for seconds.
const SEND_DELAY: Duration = Duration::from_secs(2);
/// Telling others of one read may take a link for so long.
const MAX_SEND_SECONDS: f64 = 0.2;
/// Reads that follow sooner are not told from a series.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(500);

/// The content that a follower holds, and what it and the others tell of it.
#[derive(Debug)]
pub struct TableCoordinator {
    state: Arc<GatewayState>,
    table: StoreTable,
    row_set: TableRowSet,
    /// When this gateway first read the table.
    first_read_at: Option<Instant>,
    /// True while others tell this gateway what the table holds.
    is_listener: bool,
}

impl TableCoordinator {
    /// The part of the gateway with `state` in reading `table`.
    pub fn new(state: Arc<GatewayState>, table: StoreTable) -> Self {
        TableCoordinator {
            state,
            table,
            row_set: TableRowSet::default(),
            first_read_at: None,
            is_listener: false,
        }
    }

    /// What to do next.
    pub fn role(&mut self) -> ReadRole {
        let now = Instant::now();
        let rank = self.rank(now);
        let role = self.shared_table().readers().role(rank, now);
        let is_listener = role != ReadRole::Reader;
        if is_listener != self.is_listener {
            self.is_listener = is_listener;
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
            outcome = if self.is_listener { "told by others" } else { "reads" },
            readers,
            gateways_heard = rank.peers,
            age_ms = age.map(|age| age.as_millis() as u64),
            "who reads the store"
        );
    }

    /// True when gateways read this table for each other.
    pub fn is_shared(&self) -> bool {
        TableReaders::is_shared(self.rank(Instant::now()))
    }

    /// Resolves when others have told of rows.
    pub fn rows_received(&self) -> EventListener {
        self.shared_table().rows_received.listen()
    }

    /// The rows that others have told and that say something new here.
    pub fn take_new_peer_rows(&mut self, sink: &impl TableSink) -> Vec<StoreRow> {
        let peer_rows = self.shared_table().take_peer_rows();
        let rows: Vec<StoreRow> =
            peer_rows.into_iter().filter(|row| record_row(&mut self.row_set, sink, row)).collect();
        if !rows.is_empty() {
            self.shared_table().readers().record_peer_rows(self.row_set.fingerprint());
        }
        rows
    }

    /// The store has answered with changes; those that say something new are
    /// told to the others.
    pub fn record_changes(&mut self, rows: &[StoreRow], sink: &impl TableSink) {
        let is_update = |row: &&StoreRow| record_row(&mut self.row_set, sink, row);
        let updates: Vec<StoreRow> = rows.iter().filter(is_update).cloned().collect();
        self.record_read(updates);
    }

    /// The store has answered with the whole table as of `version`. The others
    /// are told of rows that are gone; that they lack changed ones they see by
    /// the fingerprint, and read the store.
    pub fn record_listing(
        &mut self,
        rows: &[StoreRow],
        version: StoreVersion,
        sink: &impl TableSink,
    ) {
        let listed =
            rows.iter().filter_map(|row| Some((row.key.as_str(), row.version, sink.digest(row)?)));
        let removed_keys = self.row_set.replace(listed, version);
        let removed = |key| StoreRow { key, version, value: RowValue::Removed };
        self.record_read(removed_keys.into_iter().map(removed).collect());
    }

    /// A read of `bytes` takes this gateway's link each `pace`.
    pub fn record_size(&self, bytes: usize, pace: Duration) {
        let Some(link) = self.state.settings.link_bytes_per_s else { return };
        let bytes_per_s = bytes as f64 / pace.as_secs_f64().max(MIN_READ_INTERVAL.as_secs_f64());
        self.shared_table().readers().set_heavy(bytes_per_s > link * HEAVY_LINK_FRACTION);
    }

    /// When the content held here was last the store's.
    pub fn known_at(&self) -> Option<Instant> {
        self.shared_table().readers().known_at()
    }

    /// A call to the store failed.
    pub fn record_failure(&self) {
        self.shared_table().readers().record_failure();
    }

    fn record_read(&mut self, updates: Vec<StoreRow>) {
        let now = Instant::now();
        self.shared_table().record_read(self.row_set.fingerprint());
        let since = *self.first_read_at.get_or_insert(now);
        let may_send_yet = now.saturating_duration_since(since) >= SEND_DELAY;
        let sends_rows = may_send_yet && self.shared_table().readers().sends_rows(now);
        if sends_rows && !updates.is_empty() && self.may_send_rows(&updates) {
            self.state.readings.send_rows(self.table, updates);
        }
    }

    /// True where telling all others of `rows` takes little of this gateway's link:
    /// of more they read for themselves.
    fn may_send_rows(&self, rows: &[StoreRow]) -> bool {
        if self.table.holds_keys() {
            return false;
        }
        let Some(link) = self.state.settings.link_bytes_per_s else { return true };
        let sent_bytes = (estimated_bytes(rows) * self.state.members()) as f64;
        sent_bytes <= link * MAX_SEND_SECONDS
    }

    fn shared_table(&self) -> &SharedTable {
        self.state.readings.table(self.table)
    }

    fn rank(&self, now: Instant) -> ReaderRank {
        self.state.fleet().peers.rank(self.state.digest, now)
    }
}

fn record_row(row_set: &mut TableRowSet, sink: &impl TableSink, row: &StoreRow) -> bool {
    row_set.record(&row.key, row.version, sink.digest(row))
}
