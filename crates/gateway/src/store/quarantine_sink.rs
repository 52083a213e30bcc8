//! Takes in which contents are quarantine_row back.

use std::sync::Arc;

use rustc_hash::FxHashSet;

use super::TableSink;
use super::raw_digest;
use super::unreadable_row::log_unreadable;
use crate::cluster::RowDigest;
use crate::model::RequestFingerprint;
use crate::model::RowValue;
use crate::model::StoreRow;
use crate::model::StoreTable;
use crate::model::StoreVersion;
use crate::quarantine::QuarantineRow;
use crate::quarantine::fingerprint_from_key;
use crate::state::GatewayState;

/// Keeps what is quarantine_row back up to date with the store.
#[derive(Debug)]
pub struct QuarantineSink {
    state: Arc<GatewayState>,
}

impl QuarantineSink {
    /// A sink for `state`.
    pub fn new(state: Arc<GatewayState>) -> Self {
        QuarantineSink { state }
    }

    /// A row that can't be read holds nothing back, and clears nothing.
    fn apply_row(&self, row: &StoreRow) {
        let Some(fingerprint) = fingerprint_from_key(&row.key) else {
            log_unreadable(StoreTable::Quarantines, row, "the key names no fingerprint");
            return;
        };
        match &row.value {
            RowValue::Removed => self.state.quarantines.apply_missing_row(fingerprint, row.version),
            RowValue::Unreadable(problem) => log_unreadable(StoreTable::Quarantines, row, problem),
            RowValue::Held(value) => match postcard::from_bytes::<QuarantineRow>(value) {
                Ok(quarantine_row) => {
                    if self.state.quarantines.apply_row(fingerprint, quarantine_row, row.version) {
                        self.state.room.notify(usize::MAX);
                    }
                }
                Err(error) => log_unreadable(StoreTable::Quarantines, row, &error.to_string()),
            },
        }
    }
}

impl TableSink for QuarantineSink {
    fn apply_listing(&mut self, rows: Vec<StoreRow>, version: StoreVersion) {
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

    /// With the version: a row that was removed and written again says the same
    /// as before, and a probe is claimed by its version.
    fn digest(&self, row: &StoreRow) -> Option<RowDigest> {
        let digest = raw_digest(row)?;
        Some(umberglade_wire::digest_seeded(&digest.to_le_bytes(), row.version))
    }

    fn record_read(&mut self) {
        self.state.quarantines.mark_read();
        self.state.room.notify(usize::MAX);
    }
}
