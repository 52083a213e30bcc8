//! A follower's part in reading its table together with the other gateways.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use event_listener::EventListener;

use super::SharedReading;
use super::TableSink;
use super::table_follower::bytes_of;
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
const HEAVY_PART: f64 = 0.1;
/// For so long after its first read a gateway tells nobody of rows.
///
/// Guards against gateways that start together, each of which takes itself for one
/// of the few readers until it hears the others: each told all others of each server
/// that registered, and links were full for seconds.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Telling others of one read may take a link for so long.
const TELL_SECONDS: f64 = 0.2;
/// Reads that follow sooner are not told from a series.
const MIN_PACE: Duration = Duration::from_millis(500);

/// The content that a follower holds, and what it and the others tell of it.
#[derive(Debug)]
pub struct TableSharing {
    state: Arc<GatewayState>,
    table: StoreTable,
    content: TableRowSet,
    /// When this gateway first read the table.
    read_since: Option<Instant>,
    /// True while others tell this gateway what the table holds.
    is_told: bool,
}

impl TableSharing {
    /// The part of the gateway with `state` in reading `table`.
    pub fn new(state: Arc<GatewayState>, table: StoreTable) -> Self {
        TableSharing {
            state,
            table,
            content: TableRowSet::default(),
            read_since: None,
            is_told: false,
        }
    }

    /// What to do next.
    pub fn turn(&mut self) -> ReadRole {
        let now = Instant::now();
        let rank = self.rank(now);
        let turn = self.reading().roster().role(rank, now);
        let is_told = turn != ReadRole::Reader;
        if is_told != self.is_told {
            self.is_told = is_told;
            self.log_turn(rank, now);
        }
        turn
    }

    fn log_turn(&self, rank: ReaderRank, now: Instant) {
        let (known_at, readers) = {
            let roster = self.reading().roster();
            (roster.known_at(), roster.peer_readers())
        };
        let age = known_at.map(|at| now.saturating_duration_since(at));
        tracing::info!(
            event = events::STORE_TURN,
            table = %self.table,
            outcome = if self.is_told { "told by others" } else { "reads" },
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
    pub fn news(&self) -> EventListener {
        self.reading().news.listen()
    }

    /// The rows that others have told and that say something new here.
    pub fn take_told(&mut self, sink: &impl TableSink) -> Vec<StoreRow> {
        let told = self.reading().take_told();
        let rows: Vec<StoreRow> =
            told.into_iter().filter(|row| note(&mut self.content, sink, row)).collect();
        if !rows.is_empty() {
            self.reading().roster().record_peer_rows(self.content.fingerprint());
        }
        rows
    }

    /// The store has answered with changes; those that say something new are
    /// told to the others.
    pub fn note_changed(&mut self, rows: &[StoreRow], sink: &impl TableSink) {
        let is_news = |row: &&StoreRow| note(&mut self.content, sink, row);
        let news: Vec<StoreRow> = rows.iter().filter(is_news).cloned().collect();
        self.note_read(news);
    }

    /// The store has answered with the whole table as of `version`. The others
    /// are told of rows that are gone; that they lack changed ones they see by
    /// the fingerprint, and read the store.
    pub fn note_listed(&mut self, rows: &[StoreRow], version: StoreVersion, sink: &impl TableSink) {
        let listed =
            rows.iter().filter_map(|row| Some((row.key.as_str(), row.version, sink.digest(row)?)));
        let gone = self.content.replace(listed, version);
        let removed = |key| StoreRow { key, version, value: RowValue::Removed };
        self.note_read(gone.into_iter().map(removed).collect());
    }

    /// A read of `bytes` takes this gateway's link each `pace`.
    pub fn note_size(&self, bytes: usize, pace: Duration) {
        let Some(link) = self.state.settings.link_bytes_per_s else { return };
        let taken = bytes as f64 / pace.as_secs_f64().max(MIN_PACE.as_secs_f64());
        self.reading().roster().set_heavy(taken > link * HEAVY_PART);
    }

    /// When the content held here was last the store's.
    pub fn known_at(&self) -> Option<Instant> {
        self.reading().roster().known_at()
    }

    /// A call to the store failed.
    pub fn note_failed(&self) {
        self.reading().roster().record_failure();
    }

    fn note_read(&mut self, news: Vec<StoreRow>) {
        let now = Instant::now();
        self.reading().note_read(self.content.fingerprint());
        let since = *self.read_since.get_or_insert(now);
        let has_settled = now.saturating_duration_since(since) >= SETTLE_TIME;
        let tells = has_settled && self.reading().roster().sends_rows(now);
        if tells && !news.is_empty() && self.may_tell(&news) {
            self.state.readings.tell(self.table, news);
        }
    }

    /// True where telling all others of `rows` takes little of this gateway's link:
    /// of more they read for themselves.
    fn may_tell(&self, rows: &[StoreRow]) -> bool {
        if self.table.holds_keys() {
            return false;
        }
        let Some(link) = self.state.settings.link_bytes_per_s else { return true };
        let told = (bytes_of(rows) * self.state.members()) as f64;
        told <= link * TELL_SECONDS
    }

    fn reading(&self) -> &SharedReading {
        self.state.readings.of(self.table)
    }

    fn rank(&self, now: Instant) -> ReaderRank {
        self.state.fleet().peers.rank(self.state.digest, now)
    }
}

fn note(content: &mut TableRowSet, sink: &impl TableSink, row: &StoreRow) -> bool {
    content.record(&row.key, row.version, sink.digest(row))
}
