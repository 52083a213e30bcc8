//! The sweeper: while this daemon holds the duty, it clears away
//! idempotency records past their retention.

use std::time::Duration;

use umberglade_wire::WireError;
use umberglade_wire::plain::IDEMPOTENCY_TABLE;
use umberglade_wire::platform::Row;
use umberglade_wire::platform::RowList;
use umberglade_wire::platform::RowRemoval;
use umberglade_wire::platform::RowRemovals;

use crate::events;
use crate::platform::PlatformClient;

/// Records looked at in one step: one read, and one write at most.
const BATCH_ROWS: usize = 100;
/// Steps of one round; with a round each beat (5 s), 60 records a second
/// are looked at.
const BATCHES_PER_ROUND: usize = 3;

/// Goes round the records a step at a time.
#[derive(Debug)]
pub struct RecordCleaner {
    platform: PlatformClient,
    /// How long a record outlives its last write. A retry that comes later
    /// is taken for a new call.
    retention: Duration,
    /// Where the next step begins; empty at the start of the table.
    cursor: String,
}

impl RecordCleaner {
    /// A sweeper at the start of the table.
    pub fn new(platform: PlatformClient, retention: Duration) -> Self {
        RecordCleaner { platform, retention, cursor: String::new() }
    }

    /// One round: some steps, until the end of the table.
    pub async fn run_round(&mut self) {
        for _ in 0..BATCHES_PER_ROUND {
            if let Err(error) = self.clean_batch().await {
                tracing::warn!(event = events::PLATFORM_UNREACHABLE, what = "idempotency records", %error, "not swept");
                return;
            }
            if self.cursor.is_empty() {
                return;
            }
        }
    }

    /// Looks at the next records and removes the old ones. A record that
    /// moved on meanwhile makes the removal fail as a whole: it is met
    /// again on the next way round.
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
                tracing::info!(event = events::RECORDS_REMOVED, count, "old records removed");
                Ok(())
            }
            Err(error) if error.status() == Some(409) => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Whether `row` is past its retention, by the table service's clock.
    fn is_expired(&self, row: &Row, now_ms: u64) -> bool {
        now_ms.saturating_sub(row.written_ms) >= self.retention.as_millis() as u64
    }
}

/// Just after the last row of a full page; the start again after the last
/// page.
fn next_cursor(list: &RowList) -> String {
    match list.rows.last() {
        Some(last) if list.rows.len() == BATCH_ROWS => format!("{}\u{1}", last.key),
        _ => String::new(),
    }
}
