//! The store's rows of contents that are held back.

use std::time::Duration;
use std::time::Instant;

use super::CrashDetector;
use super::QuarantineChange;
use super::RowChange;
use super::SendOutcome;
use super::crash_record::CrashRecord;
use super::quarantine::Quarantine;
use crate::model::RequestFingerprint;
use crate::model::StoreVersion;

/// From the writing of a row until all gateways have read it, at most.
const ROW_TIME: Duration = Duration::from_secs(2);
/// Rows that wait to be written or removed at most.
const MAX_ROW_CHANGES: usize = 64;

impl CrashDetector {
    /// The store holds a row of a content that is held back. `is_own` says that
    /// this gateway wrote it to claim a probe.
    pub fn note_row(
        &mut self,
        content: RequestFingerprint,
        probes: u32,
        version: StoreVersion,
        is_own: bool,
        now: Instant,
    ) -> Option<QuarantineChange> {
        let before = self.records.get(content).and_then(|record| record.quarantine);
        let is_void = self.records.get(content).is_some_and(|record| record.is_void(version));
        if is_void || before.is_some_and(|known| known.version >= version) {
            return None;
        }
        // Guards against a row that overtakes what cleared its content: nobody else
        // would know that it is to be removed.
        let is_cleared = self.log.saw_whole(content, ROW_TIME, now)
            || self.records.get(content).is_some_and(|record| record.was_let_off(ROW_TIME, now));
        if before.is_none() && is_cleared {
            self.queue_removal(content, version, now);
            return None;
        }
        let record = self.records.entry(content);
        let before_or_new = before.unwrap_or(Quarantine::new(probes, version, now));
        record.quarantine = Some(before_or_new.renewed(probes, version, is_own, now));
        self.excuse_others(now);
        before.is_none().then_some(QuarantineChange::HeldBack)
    }

    /// The store holds no row of `content` as of `version`.
    pub fn note_no_row(
        &mut self,
        content: RequestFingerprint,
        version: StoreVersion,
        now: Instant,
    ) -> Option<QuarantineChange> {
        let record = self.records.get_mut(content)?;
        let known = record.quarantine?.version;
        if known == 0 || known > version {
            return None;
        }
        record.note_whole(now);
        record.quarantine = None;
        self.records.note_explained();
        Some(QuarantineChange::Cleared)
    }

    /// The contents whose rows are known.
    pub fn rows(&self) -> Vec<RequestFingerprint> {
        let has_row =
            |record: &CrashRecord| record.quarantine.is_some_and(|known| known.version > 0);
        let held = self.records.held().filter(|(_, record)| has_row(record));
        held.map(|(content, _)| content).collect()
    }

    /// Takes the changes of rows that are to be made.
    pub fn take_row_changes(&mut self) -> Vec<RowChange> {
        std::mem::take(&mut self.row_changes)
    }

    /// Has a row removed, and tells the others that it is void: one that starts
    /// meanwhile reads it, and the store may be away.
    pub(super) fn queue_removal(
        &mut self,
        content: RequestFingerprint,
        version: StoreVersion,
        now: Instant,
    ) {
        if version > 0 {
            self.log.push(content, SendOutcome::Cleared(version), now);
            self.queue(RowChange::Remove(content, version));
        }
    }

    /// Leaves a change of a row to be made. One that finds no room is made good
    /// by a probe, or by another gateway.
    pub fn queue(&mut self, change: RowChange) {
        if self.row_changes.len() < MAX_ROW_CHANGES {
            self.row_changes.push(change);
        }
    }
}
