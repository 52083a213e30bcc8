//! The tables that gateways read for each other, and what they tell of them.

use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;

use super::SharedReading;
use super::TableNotice;
use crate::cluster::ReaderNotice;
use crate::cluster::name_digest;
use crate::model::GatewaySettings;
use crate::model::StoreRow;
use crate::model::StoreTable;
use crate::peers::TableRows;

/// Within this requests held back are known to gateways that nobody tells. Those
/// that hear each other know by what they tell of sends that broke.
const QUARANTINE_BOUND: Duration = Duration::from_secs(10);
/// Reads of a table whose news wait to be told.
const ROWS_OUT: usize = 16;

/// The readings of all shared tables, and the rows that the others are to be
/// told of.
#[derive(Debug)]
pub struct SharedReadings {
    tables: [SharedReading; 3],
    rows_out: (Sender<TableRows>, Receiver<TableRows>),
}

impl SharedReadings {
    /// Those of the gateway with `settings` and digest `own`.
    pub fn new(own: u64, settings: &GatewaySettings) -> Self {
        let configuration = (StoreTable::Configuration, settings.config_bound);
        let servers = (StoreTable::Servers, settings.drain_bound);
        let quarantines = (StoreTable::Quarantines, QUARANTINE_BOUND);
        SharedReadings {
            tables: [configuration, servers, quarantines]
                .map(|(table, bound)| SharedReading::new(table, own, bound)),
            rows_out: async_channel::bounded(ROWS_OUT),
        }
    }

    /// That of `table`, which must be one of those read for each other.
    pub fn of(&self, table: StoreTable) -> &SharedReading {
        self.find(table).expect("a table that is read for others")
    }

    /// What a report tells of the tables that this gateway reads for all.
    pub fn notices(&self, now: Instant) -> Vec<TableNotice> {
        self.tables.iter().filter_map(|reading| reading.notice(now)).collect()
    }

    /// `peer` has read a table of the store.
    pub fn hear_notice(&self, peer: &str, notice: TableNotice, now: Instant) {
        let Some(read_at) = now.checked_sub(Duration::from_millis(notice.age_ms)) else { return };
        let Some(reading) = self.find(notice.table) else { return };
        let is_heavy = notice.is_heavy;
        let notice = ReaderNotice { fingerprint: notice.fingerprint, read_at, is_heavy };
        reading.roster().apply_peer_notice(name_digest(peer), notice);
    }

    /// Another gateway has read rows that say something new.
    pub fn hear_rows(&self, told: TableRows) {
        if let Some(reading) = self.find(told.table) {
            reading.tell(told.rows);
        }
    }

    /// Tells the other gateways of `rows`, once the network takes them. Where
    /// more are waiting than may, they are dropped: the others see by the
    /// fingerprint that they lack them, and read the store.
    pub fn tell(&self, table: StoreTable, rows: Vec<StoreRow>) {
        if self.rows_out.0.try_send(TableRows { table, rows }).is_err() {
            metrics::counter!("umberglade_rows_untold_total").increment(1);
        }
    }

    /// The next rows that the others are to be told of.
    pub async fn next_rows(&self) -> TableRows {
        self.rows_out.1.recv().await.expect("a channel whose sender is kept")
    }

    fn find(&self, table: StoreTable) -> Option<&SharedReading> {
        self.tables.iter().find(|reading| reading.table == table)
    }
}
