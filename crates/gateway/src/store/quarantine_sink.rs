//! Applies the store's table of quarantined request fingerprints.

use std::sync::Arc;

use rustc_hash::FxHashSet;

use super::TableSink;
use super::raw_digest;
use super::unreadable_row::log_unreadable;
use crate::cluster::RowDigest;
use crate::model::RequestFingerprint;
use crate::model::RowValue;
use crate::model::StoreRow;
use crate::model::StoreStamp;
use crate::model::StoreTable;
use crate::quarantine::QuarantineRow;
use crate::quarantine::fingerprint_from_key;
use crate::state::GatewayState;

/// Keeps the quarantined fingerprints up to date with the store.
#[derive(Debug)]
pub struct QuarantineSink {
    state: Arc<GatewayState>,
}

impl QuarantineSink {
    /// Creates a sink that updates `state`.
    pub fn new(state: Arc<GatewayState>) -> Self {
        QuarantineSink { state }
    }

    /// Applies one row. A row that can't be decoded neither starts nor ends a quarantine.
    fn apply_row(&self, row: &StoreRow) {
        let Some(fingerprint) = fingerprint_from_key(&row.key) else {
            log_unreadable(StoreTable::Quarantines, row, "the key is no request fingerprint");
            return;
        };
        match &row.value {
            RowValue::Removed => self.state.quarantines.apply_missing_row(fingerprint, row.stamp),
            RowValue::Unreadable(problem) => log_unreadable(StoreTable::Quarantines, row, problem),
            RowValue::Held(value) => match postcard::from_bytes::<QuarantineRow>(value) {
                Ok(quarantine_row) => {
                    if self.state.quarantines.apply_row(fingerprint, quarantine_row, row.stamp) {
                        self.state.capacity_changed.notify(usize::MAX);
                    }
                }
                Err(error) => log_unreadable(StoreTable::Quarantines, row, &error.to_string()),
            },
        }
    }
}

impl TableSink for QuarantineSink {
    fn apply_listing(&mut self, rows: Vec<StoreRow>, version: StoreStamp) {
        let listed_fingerprints: FxHashSet<RequestFingerprint> =
            rows.iter().filter_map(|row| fingerprint_from_key(&row.key)).collect();
        for fingerprint in self.state.quarantines.rows() {
            if !listed_fingerprints.contains(&fingerprint) {
                self.state.quarantines.apply_missing_row(fingerprint, version);
            }
        }
        self.apply_changes(rows);
    }

    fn apply_changes(&mut self, rows: Vec<StoreRow>) {
        rows.iter().for_each(|row| self.apply_row(row));
    }

    /// Includes the version: a row that was removed and written again may hold the same value as
    /// before, and a probe is claimed by the row's version.
    fn digest(&self, row: &StoreRow) -> Option<RowDigest> {
        let digest = raw_digest(row)?;
        Some(umberglade_wire::digest_seeded(&digest.to_le_bytes(), row.stamp.version()))
    }

    fn content_received(&mut self) {
        self.record_read();
    }

    fn record_read(&mut self) {
        self.state.quarantines.mark_rows_read();
        self.state.capacity_changed.notify(usize::MAX);
    }
}
