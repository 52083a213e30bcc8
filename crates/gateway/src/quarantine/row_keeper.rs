//! Keeps the rows of contents that are held back.

use std::sync::Arc;
use std::time::Duration;

use super::QuarantineRow;
use super::content_key;
use crate::cluster::RowChange;
use crate::codec::PlatformCodec;
use crate::events;
use crate::model::RequestFingerprint;
use crate::model::StoreTable;
use crate::model::StoreVersion;
use crate::state::GatewayState;
use crate::store::FollowError;
use crate::store::StoreClient;

/// From holding a content back until its row is written: other gateways may
/// have seen it answered whole, and say so within a few reports.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// The pause after a call that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(500);

/// Writes and removes rows, for good.
pub async fn keep_rows<C: PlatformCodec>(state: Arc<GatewayState>) {
    let mut client = StoreClient::<C>::new(state.settings.store);
    loop {
        let due = state.quarantines.rows_due.listen();
        let changes = state.quarantines.take_row_changes();
        if changes.is_empty() {
            due.await;
            smol::Timer::after(SETTLE_TIME).await;
            continue;
        }
        for change in changes {
            let made = make_change(&state, &mut client, change).await;
            if let Err(error) = &made {
                log_row(change, &error.to_string());
                state.quarantines.put_back(change);
                smol::Timer::after(FAILED_PAUSE).await;
            }
        }
    }
}

async fn make_change<C: PlatformCodec>(
    state: &GatewayState,
    client: &mut StoreClient<C>,
    change: RowChange,
) -> Result<(), FollowError> {
    let is_made = match change {
        RowChange::Write(content) => write(state, client, content).await?,
        RowChange::Remove(content, version) => remove(client, content, version).await?,
    };
    log_row(change, if is_made { "done" } else { "not needed" });
    Ok(())
}

/// Writes the row unless there is one, or the content is no longer held back.
async fn write<C: PlatformCodec>(
    state: &GatewayState,
    client: &mut StoreClient<C>,
    content: RequestFingerprint,
) -> Result<bool, FollowError> {
    let held = state.quarantines.held(content).filter(|held| held.version == 0);
    let Some(held) = held else { return Ok(false) };
    let row = QuarantineRow { probes: held.probes, claimed_by: 0 };
    let key = content_key(content);
    let written = client.claim(StoreTable::Quarantines, &key, &row.encode(), 0).await?;
    if let Some(version) = written {
        state.quarantines.note_row(content, row, version);
    }
    Ok(written.is_some())
}

async fn remove<C: PlatformCodec>(
    client: &mut StoreClient<C>,
    content: RequestFingerprint,
    version: StoreVersion,
) -> Result<bool, FollowError> {
    client.remove(StoreTable::Quarantines, &content_key(content), version).await
}

fn log_row(change: RowChange, outcome: &str) {
    let (content, step, version) = match change {
        RowChange::Write(content) => (content, "write", 0),
        RowChange::Remove(content, version) => (content, "remove", version),
    };
    tracing::info!(
        event = events::CONTENT_ROW,
        content = content_key(content),
        step,
        row_version = version,
        outcome,
        "row of a content held back"
    );
}
