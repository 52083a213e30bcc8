//! The versioned rows of the platform stand-in's table service, with conditional writes and a
//! change feed.

use std::collections::BTreeMap;
use std::time::Instant;

use umberglade_wire::platform::FeedPage;
use umberglade_wire::platform::Row;
use umberglade_wire::platform::RowList;
use umberglade_wire::platform::RowRemoval;
use umberglade_wire::platform::RowWrite;
use umberglade_wire::platform::WriteConflict;

/// A row and the generation at which it was written.
#[derive(Debug, Clone)]
struct StoredRow {
    generation: u64,
    row: Row,
}

/// The rows of all tables, keyed by table name and row key. A single lock protects them: the
/// stand-in serves a few hundred writes per second, at which there is no lock contention.
#[derive(Debug)]
pub struct RowTable {
    started_at: Instant,
    /// The number of writes and removal transactions in all tables; only grows while the service
    /// runs.
    generation: u64,
    rows: BTreeMap<(String, String), StoredRow>,
}

impl Default for RowTable {
    fn default() -> Self {
        RowTable { started_at: Instant::now(), generation: 0, rows: BTreeMap::new() }
    }
}

impl RowTable {
    /// Returns the row `key` of `table`, if it exists.
    pub fn get(&self, table: &str, key: &str) -> Option<Row> {
        self.rows.get(&(table.to_owned(), key.to_owned())).map(|stored| stored.row.clone())
    }

    /// Returns at most `limit` rows of `table` with key `from` or after it, sorted by key.
    pub fn list(&self, table: &str, from: &str, limit: usize) -> RowList {
        let rows =
            self.rows_from(table, from).take(limit).map(|stored| stored.row.clone()).collect();
        RowList { now_ms: self.now_ms(), rows }
    }

    /// Returns the rows of `table` written after generation `after`, or `None` when this copy of
    /// the service has not reached `after` because the service failed over to it.
    pub fn feed(&self, table: &str, after: u64) -> Option<FeedPage> {
        if after > self.generation {
            return None;
        }
        let rows = self
            .rows_from(table, "")
            .filter(|stored| stored.generation > after)
            .map(|stored| stored.row.clone())
            .collect();
        Some(FeedPage { generation: self.generation, rows })
    }

    /// Applies `write` if the row still has version `write.expect_version`. Returns the new row, or
    /// the conflict with the current version.
    pub fn put(&mut self, table: &str, key: &str, write: RowWrite) -> Result<Row, WriteConflict> {
        let row_key = (table.to_owned(), key.to_owned());
        let current_version = self.rows.get(&row_key).map_or(0, |stored| stored.row.version);
        if current_version != write.expect_version {
            return Err(WriteConflict { current_version });
        }
        let row = Row {
            key: key.to_owned(),
            version: current_version + 1,
            written_ms: self.now_ms(),
            value: write.value,
        };
        self.generation += 1;
        self.rows.insert(row_key, StoredRow { generation: self.generation, row: row.clone() });
        Ok(row)
    }

    /// Removes all rows of `removals` if each still has its version, otherwise none. Feeds do not
    /// report removals: tables that are followed have none.
    pub fn remove(&mut self, table: &str, removals: &[RowRemoval]) -> Result<(), WriteConflict> {
        for removal in removals {
            let current_version = self.get(table, &removal.key).map_or(0, |row| row.version);
            if current_version != removal.version {
                return Err(WriteConflict { current_version });
            }
        }
        self.generation += 1;
        for removal in removals {
            self.rows.remove(&(table.to_owned(), removal.key.clone()));
        }
        Ok(())
    }

    /// Returns the monotonic clock of the service: milliseconds since it started.
    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn rows_from<'a>(
        &'a self,
        table: &str,
        from: &str,
    ) -> impl Iterator<Item = &'a StoredRow> + use<'a> {
        let table = table.to_owned();
        let from = (table.clone(), from.to_owned());
        self.rows
            .range(from..)
            .take_while(move |((name, _), _)| *name == table)
            .map(|(_, stored)| stored)
    }
}
