//! Logs rows that the gateway can't decode, such as those of other writers.

use crate::events;
use crate::model::StoreRow;
use crate::model::StoreTable;

/// Logs and counts a row that can't be decoded.
pub fn log_unreadable(table: StoreTable, row: &StoreRow, problem: &str) {
    metrics::counter!("umberglade_rows_unreadable_total", "table" => table.to_string())
        .increment(1);
    tracing::warn!(
        event = events::ROW_UNREADABLE,
        %table,
        key = %row.key,
        version = row.stamp.version(),
        error = problem,
        "cannot decode a row of the store"
    );
}
