//! Writes the origins of streams to the store while a service has several versions, so that they are
//! known though all gateways are started again.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::journal_row::JournalRow;
use super::journal_row::encode;
use super::journal_row::journal_key;
use super::software_rows::load_rows;
use crate::cluster::StreamOrigin;
use crate::codec::PlatformCodec;
use crate::model::StoreTable;
use crate::state::GatewayState;
use crate::store::StoreClient;

/// Minimum time between two writes.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two writes for each gateway: all together make some 125 writes a second.
const WRITE_INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(8);
/// How long origins are added to one row. The rows before it keep theirs for three times this.
const ROW_DURATION: Duration = Duration::from_secs(15);
/// Maximum number of origins in one row, of some 40 bytes each.
const MAX_ROW_ORIGINS: usize = 800;

/// Writes origins until the process stops.
pub async fn run_journal<C: PlatformCodec>(state: Arc<GatewayState>) {
    let mut journal = Journal::default();
    loop {
        let due = state.origins.write_due.listen();
        journal.waiting.extend(state.origins.take_pending());
        if journal.waiting.is_empty() && !journal.is_unwritten {
            due.await;
            continue;
        }
        let is_written = journal.write::<C>(&state).await;
        metrics::counter!("umberglade_origin_writes_total", "ok" => is_written.to_string())
            .increment(1);
        let interval = WRITE_INTERVAL_PER_GATEWAY * state.members() as u32;
        smol::Timer::after(interval.max(MIN_WRITE_INTERVAL)).await;
    }
}

/// The rows that this gateway writes, one after the other.
#[derive(Debug, Default)]
struct Journal {
    /// Origins that are in no row yet.
    waiting: Vec<StreamOrigin>,
    row: JournalRow,
    /// When the first origin was added to the row; `None` before the first row.
    row_since: Option<Instant>,
    /// True if the row has changed since it was last written.
    is_unwritten: bool,
}

impl Journal {
    /// Adds what waits to the row, as far as it has room, and writes it. Returns false if the store
    /// can't be reached.
    async fn write<C: PlatformCodec>(&mut self, state: &GatewayState) -> bool {
        let now = Instant::now();
        if !self.begin_row_if_due::<C>(state, now).await {
            return false;
        }
        let room = MAX_ROW_ORIGINS.saturating_sub(self.row.origins.len());
        let added = self.waiting.len().min(room);
        self.row.origins.extend(self.waiting.drain(..added));
        self.is_unwritten = true;
        let key = journal_key(&state.settings.instance, self.row.sequence);
        let mut client = StoreClient::<C>::new(state);
        let written = client.put(StoreTable::Software, &key, &encode(&self.row)).await;
        self.is_unwritten = written.is_err();
        written.is_ok()
    }

    /// Begins the next row where the present one is full or old. Returns false if the number of the
    /// first could not be read: an earlier process of the same name may have written rows that must
    /// not be replaced yet.
    async fn begin_row_if_due<C: PlatformCodec>(
        &mut self,
        state: &GatewayState,
        now: Instant,
    ) -> bool {
        let sequence = match self.row_since {
            None => match load_rows::<C>(state).await {
                Some(rows) => rows.own_sequence.map_or(0, |last| last + 1),
                None => return false,
            },
            Some(since) => {
                let is_old = now.saturating_duration_since(since) >= ROW_DURATION;
                if !is_old && self.row.origins.len() < MAX_ROW_ORIGINS {
                    return true;
                }
                self.row.sequence + 1
            }
        };
        self.row = JournalRow { sequence, origins: Vec::new() };
        self.row_since = Some(now);
        true
    }
}
