//! Reads the store's rows about software versions, for several requests at a time.

use std::collections::HashMap;
use std::sync::atomic::Ordering;

use super::announcement::apply_announcements;
use super::journal_row::AnnouncementRow;
use super::journal_row::SoftwareRow;
use super::journal_row::announcement_key;
use crate::codec::PlatformCodec;
use crate::events;
use crate::model::RowValue;
use crate::model::SoftwareDigest;
use crate::model::StoreRow;
use crate::model::StoreStamp;
use crate::model::StoreTable;
use crate::state::GatewayState;
use crate::store::StoreClient;
use crate::store::StoreError;

/// An announcement and the stamp of its row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Announcement {
    pub row: AnnouncementRow,
    pub stamp: StoreStamp,
}

/// What a read of the rows found.
#[derive(Debug, Clone, Default)]
pub(super) struct LoadedRows {
    /// Number of requested reads that it serves: those made before it began.
    reads_served: u64,
    /// False if the read failed.
    is_read: bool,
    /// Announcements by key.
    pub announcements: HashMap<String, Announcement>,
    /// The newest number of this gateway's own rows; those of an earlier process of its name count.
    pub own_sequence: Option<u64>,
}

impl LoadedRows {
    /// Returns true if another version of `service` than `software` is announced.
    pub fn announces_other(&self, service: &str, software: SoftwareDigest) -> bool {
        let announcement = self.announcements.get(&announcement_key(service));
        announcement.is_some_and(|one| one.row.versions.iter().any(|known| *known != software))
    }
}

/// Reads the rows at a moment after this call, and applies what they tell of streams and versions.
/// Returns `None` if the store can't be read.
pub(super) async fn load_rows<C: PlatformCodec>(state: &GatewayState) -> Option<LoadedRows> {
    let origins = &state.origins;
    let request = origins.reads_requested.fetch_add(1, Ordering::AcqRel) + 1;
    let mut rows = origins.rows.lock().await;
    if rows.reads_served < request {
        let reads_served = origins.reads_requested.load(Ordering::Acquire);
        *rows = match read_rows::<C>(state).await {
            Ok(loaded) => LoadedRows { reads_served, is_read: true, ..loaded },
            Err(error) => {
                log_read(0, Some(&error));
                LoadedRows { reads_served, ..LoadedRows::default() }
            }
        };
    }
    rows.is_read.then(|| rows.clone())
}

async fn read_rows<C: PlatformCodec>(state: &GatewayState) -> Result<LoadedRows, StoreError> {
    let mut client = StoreClient::<C>::new(state);
    let rows = client.read_whole_table(StoreTable::Software).await?;
    log_read(rows.len(), None);
    let mut loaded = LoadedRows::default();
    for row in rows {
        apply_row(state, &mut loaded, row);
    }
    apply_announcements(state, &loaded);
    Ok(loaded)
}

fn apply_row(state: &GatewayState, loaded: &mut LoadedRows, row: StoreRow) {
    let RowValue::Held(value) = &row.value else { return };
    match SoftwareRow::decode(&row.key, value) {
        Ok(SoftwareRow::Announcement(announcement)) => {
            let announcement = Announcement { row: announcement, stamp: row.stamp };
            loaded.announcements.insert(row.key, announcement);
        }
        Ok(SoftwareRow::Origins { instance, row }) => {
            if instance == state.settings.instance {
                loaded.own_sequence = loaded.own_sequence.max(Some(row.sequence));
            }
            row.origins.into_iter().for_each(|origin| state.origins.record_told(origin));
        }
        Err(problem) => crate::store::log_unreadable(StoreTable::Software, &row, &problem),
    }
}

fn log_read(rows: usize, error: Option<&StoreError>) {
    tracing::info!(
        event = events::SOFTWARE_ROWS_READ,
        rows,
        error = error.map(StoreError::to_string),
        "rows about software versions read"
    );
}
