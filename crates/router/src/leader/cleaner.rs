//! Removes idempotency records past their retention while this daemon is the leader.

use std::time::Duration;

use umberglade_wire::WireError;
use umberglade_wire::plain::IDEMPOTENCY_TABLE;
use umberglade_wire::platform::Row;
use umberglade_wire::platform::RowList;
use umberglade_wire::platform::RowRemoval;
use umberglade_wire::platform::RowRemovals;

use crate::events;
use crate::platform::PlatformClient;

/// Records checked in one batch, which takes one read and at most one write.
const BATCH_ROWS: usize = 100;
/// Batches in one round. With one round per heartbeat (5 s), 60 records a second are checked.
const BATCHES_PER_ROUND: usize = 3;

/// Goes through the records in batches, starting again at the end of the table.
#[derive(Debug)]
pub struct RecordCleaner {
    platform: PlatformClient,
    /// How long a record is kept after its last write. A later retry is treated as a new call.
    retention: Duration,
    /// The key at which the next batch starts; empty at the start of the table.
    cursor: String,
}

impl RecordCleaner {
    /// Creates a cleaner positioned at the start of the table.
    pub fn new(platform: PlatformClient, retention: Duration) -> Self {
        RecordCleaner { platform, retention, cursor: String::new() }
    }

    /// Cleans up to `BATCHES_PER_ROUND` batches, stopping at the end of the table.
    pub async fn run_round(&mut self) {
        for _ in 0..BATCHES_PER_ROUND {
            if let Err(error) = self.clean_batch().await {
                tracing::warn!(event = events::PLATFORM_UNREACHABLE, what = "idempotency records", %error, "old idempotency records not removed");
                return;
            }
            if self.cursor.is_empty() {
                return;
            }
        }
    }

    /// Checks the next records and removes the expired ones. If one of them changed in the
    /// meantime, the whole removal fails and the records are checked again in the next pass over
    /// the table.
    async fn clean_batch(&mut self) -> Result<(), WireError> {
        let list = self.platform.list_from(IDEMPOTENCY_TABLE, &self.cursor, BATCH_ROWS).await?;
        self.cursor = next_cursor(&list);
        let rows: Vec<RowRemoval> = list
            .rows
            .iter()
            .filter(|row| self.is_expired(row, list.now_ms))
            .map(|row| RowRemoval { key: row.key.clone(), version: row.version })
            .collect();
        if rows.is_empty() {
            return Ok(());
        }
        let count = rows.len();
        match self.platform.remove_all(IDEMPOTENCY_TABLE, &RowRemovals { rows }).await {
            Ok(()) => {
                tracing::info!(
                    event = events::RECORDS_REMOVED,
                    count,
                    "expired idempotency records removed"
                );
                Ok(())
            }
            Err(error) if error.status() == Some(409) => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Returns true if `row` is past its retention, by the table service's clock.
    fn is_expired(&self, row: &Row, now_ms: u64) -> bool {
        now_ms.saturating_sub(row.written_ms) >= self.retention.as_millis() as u64
    }
}

/// Returns the key just after the last row of a full page, or the start of the table after the
/// last page.
fn next_cursor(list: &RowList) -> String {
    match list.rows.last() {
        Some(last) if list.rows.len() == BATCH_ROWS => format!("{}\u{1}", last.key),
        _ => String::new(),
    }
}
