//! The store's rows of quarantined fingerprints.

use std::time::Duration;
use std::time::Instant;

use super::AttemptOutcome;
use super::CrashDetector;
use super::QuarantineChange;
use super::RowChange;
use super::crash_record::CrashRecord;
use super::quarantine::Quarantine;
use crate::model::RequestFingerprint;
use crate::model::StoreStamp;

/// Upper bound of the time from the writing of a row until all gateways have read it.
const ROW_PROPAGATION_WINDOW: Duration = Duration::from_secs(2);
/// Maximum number of rows that wait to be written or removed.
const MAX_ROW_CHANGES: usize = 64;

impl CrashDetector {
    /// Applies the store's row of a quarantined fingerprint. `is_local_claim` means that this
    /// gateway wrote it to claim a probe.
    pub fn apply_row(
        &mut self,
        fingerprint: RequestFingerprint,
        probes: u32,
        stamp: StoreStamp,
        is_local_claim: bool,
        now: Instant,
    ) -> Option<QuarantineChange> {
        let before = self.records.get(fingerprint).and_then(|record| record.quarantine);
        let is_void = self.records.get(fingerprint).is_some_and(|record| record.is_void(stamp));
        if is_void && stamp.is_copied() {
            // The removal was lost with the copy from which the store has come back.
            self.queue_row_change(RowChange::Remove(fingerprint, stamp));
        }
        if is_void || before.is_some_and(|known| known.stamp >= stamp) {
            return None;
        }
        // Prevents a row that arrives after its fingerprint was cleared from staying in the store:
        // no other gateway would know that it has to be removed.
        let is_cleared = self.log.has_completion(fingerprint, ROW_PROPAGATION_WINDOW, now)
            || self
                .records
                .get(fingerprint)
                .is_some_and(|record| record.was_released(ROW_PROPAGATION_WINDOW, now));
        if before.is_none() && is_cleared {
            self.queue_removal(fingerprint, stamp, now);
            return None;
        }
        let record = self.records.entry(fingerprint);
        let before_or_new = before.unwrap_or(Quarantine::new(probes, stamp, now));
        record.quarantine = Some(before_or_new.renewed(probes, stamp, is_local_claim, now));
        self.exclude_explained_crashes(now);
        before.is_none().then_some(QuarantineChange::HeldBack)
    }

    /// Records that the store holds no row of `fingerprint` as of `version`.
    pub fn apply_missing_row(
        &mut self,
        fingerprint: RequestFingerprint,
        stamp: StoreStamp,
        now: Instant,
    ) -> Option<QuarantineChange> {
        let record = self.records.get_mut(fingerprint)?;
        let quarantine = record.quarantine.as_mut()?;
        let known = quarantine.stamp;
        if !known.exists() || known > stamp {
            return None;
        }
        if known.written_era() < stamp.written_era() {
            // The row was written after the copy from which the store has come back.
            quarantine.stamp = StoreStamp::NONE;
            self.queue_row_change(RowChange::Write(fingerprint));
            return None;
        }
        record.record_completion(now);
        record.quarantine = None;
        self.records.refresh_explained();
        Some(QuarantineChange::Cleared)
    }

    /// Returns the fingerprints whose rows are known.
    pub fn rows(&self) -> Vec<RequestFingerprint> {
        let has_row =
            |record: &CrashRecord| record.quarantine.is_some_and(|known| known.stamp.exists());
        let with_rows = self.records.quarantined().filter(|(_, record)| has_row(record));
        with_rows.map(|(fingerprint, _)| fingerprint).collect()
    }

    /// Takes the pending row changes.
    pub fn take_row_changes(&mut self) -> Vec<RowChange> {
        std::mem::take(&mut self.row_changes)
    }

    /// Queues the removal of a row, and reports to peers that it is void: a gateway that starts
    /// meanwhile may read it, and the store may be unavailable.
    pub(super) fn queue_removal(
        &mut self,
        fingerprint: RequestFingerprint,
        stamp: StoreStamp,
        now: Instant,
    ) {
        if stamp.exists() {
            self.log.push(fingerprint, AttemptOutcome::Cleared(stamp), now);
            self.queue_row_change(RowChange::Remove(fingerprint, stamp));
        }
    }

    /// Queues a row change. A change for which the queue has no capacity is dropped; a probe or
    /// another gateway makes up for it.
    pub fn queue_row_change(&mut self, change: RowChange) {
        if self.row_changes.len() < MAX_ROW_CHANGES {
            self.row_changes.push(change);
        }
    }
}
