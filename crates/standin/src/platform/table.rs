//! The versioned rows of the table service, with conditional writes.

use std::collections::BTreeMap;

use umberglade_wire::platform::Row;
use umberglade_wire::platform::RowList;
use umberglade_wire::platform::RowWrite;
use umberglade_wire::platform::WriteConflict;

/// All tables, keyed by (table, key). One lock guards it all: the stand-in
/// serves a few hundred writes a second, far below lock contention.
#[derive(Debug, Default)]
pub struct RowTable {
    rows: BTreeMap<(String, String), Row>,
}

impl RowTable {
    /// The row at `table`/`key`, if any.
    pub fn get(&self, table: &str, key: &str) -> Option<Row> {
        self.rows.get(&(table.to_owned(), key.to_owned())).cloned()
    }

    /// Every row of `table`, sorted by key.
    pub fn list(&self, table: &str) -> RowList {
        let rows = self
            .rows
            .iter()
            .filter(|((name, _), _)| name == table)
            .map(|(_, row)| row.clone())
            .collect();
        RowList { rows }
    }

    /// Applies `write` if the row is still at `write.expect_version`;
    /// returns the new row or the conflict with the current version.
    pub fn put(&mut self, table: &str, key: &str, write: RowWrite) -> Result<Row, WriteConflict> {
        let slot = (table.to_owned(), key.to_owned());
        let current_version = self.rows.get(&slot).map_or(0, |row| row.version);
        if current_version != write.expect_version {
            return Err(WriteConflict { current_version });
        }
        let row = Row { key: key.to_owned(), version: current_version + 1, value: write.value };
        self.rows.insert(slot, row.clone());
        Ok(row)
    }
}
