//! Rows that hold what the gateway can't read: some other writer's.

use crate::events;
use crate::model::StoreRow;
use crate::model::StoreTable;

/// Logs a row that holds what can't be read.
pub fn log_unreadable(table: StoreTable, row: &StoreRow, problem: &str) {
    metrics::counter!("umberglade_rows_unreadable_total", "table" => table.to_string())
        .increment(1);
    tracing::warn!(
        event = events::ROW_UNREADABLE,
        %table,
        key = %row.key,
        version = row.version,
        error = problem,
        "row not understood"
    );
}
