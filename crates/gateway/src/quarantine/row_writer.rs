//! Writes and removes the rows of quarantined fingerprints.

use std::sync::Arc;
use std::time::Duration;

use super::QuarantineRow;
use super::fingerprint_key;
use crate::cluster::RowChange;
use crate::codec::PlatformCodec;
use crate::events;
use crate::model::RequestFingerprint;
use crate::model::StoreStamp;
use crate::model::StoreTable;
use crate::state::GatewayState;
use crate::store::StoreClient;
use crate::store::StoreError;

/// Delay from the quarantine of a fingerprint until its row is written: peers may have seen
/// a request of it complete, and report that within a few reports.
const SETTLE_DELAY: Duration = Duration::from_millis(300);
/// Delay after a failed call of the store.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Writes and removes rows until the process stops.
pub async fn run_row_writer<C: PlatformCodec>(state: Arc<GatewayState>) {
    let mut client = StoreClient::<C>::for_background(&state);
    loop {
        let due = state.quarantines.rows_due.listen();
        let changes = state.quarantines.take_row_changes();
        if changes.is_empty() {
            due.await;
            smol::Timer::after(SETTLE_DELAY).await;
            continue;
        }
        for change in changes {
            let result = apply_change(&state, &mut client, change).await;
            if let Err(error) = &result {
                log_row(change, &error.to_string());
                state.quarantines.requeue_row_change(change);
                smol::Timer::after(RETRY_DELAY).await;
            }
        }
    }
}

async fn apply_change<C: PlatformCodec>(
    state: &GatewayState,
    client: &mut StoreClient<C>,
    change: RowChange,
) -> Result<(), StoreError> {
    let is_applied = match change {
        RowChange::Write(fingerprint) => write_row(state, client, fingerprint).await?,
        RowChange::Remove(fingerprint, stamp) => remove_row(client, fingerprint, stamp).await?,
    };
    log_row(change, if is_applied { "done" } else { "not needed" });
    Ok(())
}

/// Writes the row unless there is one or the fingerprint is not quarantined any more.
async fn write_row<C: PlatformCodec>(
    state: &GatewayState,
    client: &mut StoreClient<C>,
    fingerprint: RequestFingerprint,
) -> Result<bool, StoreError> {
    let status = state.quarantines.status(fingerprint).filter(|status| !status.stamp.exists());
    let Some(status) = status else { return Ok(false) };
    let row = QuarantineRow { probes: status.probes, claimed_by: 0 };
    let key = fingerprint_key(fingerprint);
    let written =
        client.claim(StoreTable::Quarantines, &key, &row.encode(), StoreStamp::NONE).await?;
    if let Some(stamp) = written {
        state.quarantines.apply_row(fingerprint, row, stamp);
    }
    Ok(written.is_some())
}

async fn remove_row<C: PlatformCodec>(
    client: &mut StoreClient<C>,
    fingerprint: RequestFingerprint,
    stamp: StoreStamp,
) -> Result<bool, StoreError> {
    client.remove(StoreTable::Quarantines, &fingerprint_key(fingerprint), stamp).await
}

fn log_row(change: RowChange, outcome: &str) {
    let (fingerprint, step, stamp) = match change {
        RowChange::Write(fingerprint) => (fingerprint, "write", StoreStamp::NONE),
        RowChange::Remove(fingerprint, stamp) => (fingerprint, "remove", stamp),
    };
    tracing::info!(
        event = events::QUARANTINE_ROW_CHANGED,
        content = fingerprint_key(fingerprint),
        step,
        row_version = stamp.version(),
        outcome,
        "change of a quarantine's row"
    );
}
