//! This process's state of the fingerprints whose requests crash servers.

use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Instant;

use event_listener::Event;
use smallvec::SmallVec;

use super::QuarantineRow;
use super::fingerprint_key;
use crate::cluster::BrokenRun;
use crate::cluster::CrashDetector;
use crate::cluster::OutcomeUpdate;
use crate::cluster::QuarantineChange;
use crate::cluster::QuarantineStatus;
use crate::cluster::QuarantineVerdict;
use crate::cluster::RowChange;
use crate::cluster::SuspectChanges;
use crate::events;
use crate::model::CrashSuspects;
use crate::model::RequestFingerprint;
use crate::model::ServerIncarnation;
use crate::model::StoreStamp;
use crate::model::is_prompt_part;
use crate::state_lock::StateLock;
use crate::upstream::SendTarget;

/// The quarantined fingerprints; logs each change.
#[derive(Debug)]
pub struct Quarantines {
    detector: StateLock<CrashDetector>,
    /// Notified when rows of the store are to be written or removed.
    pub rows_due: Event,
    /// True once the rows of the store have been read.
    has_read_rows: AtomicBool,
    /// Identifies this process in the rows that it writes to claim a probe. The value is
    /// random, as a restarted process has claimed nothing.
    pub claimant: u64,
}

impl Quarantines {
    /// Returns the state of a process that began to receive reports from peers at `started_at`.
    pub fn new(started_at: Instant) -> Self {
        Quarantines {
            detector: StateLock::new(CrashDetector::new(started_at)),
            rows_due: Event::new(),
            has_read_rows: AtomicBool::new(false),
            claimant: fastrand::u64(1..),
        }
    }

    /// Records that an attempt of request `request_id` broke at `target`. Returns true if that
    /// changes what is quarantined.
    pub fn record_crash(
        &self,
        request_id: &str,
        suspects: &CrashSuspects,
        target: &SendTarget,
        run: BrokenRun,
    ) -> bool {
        let now = Instant::now();
        let mut detector = self.detector();
        let changes = detector.record_broken_run(suspects, target.incarnation, run, now);
        let crashes = detector.crashes(suspects.content);
        drop(detector);
        metrics::counter!("umberglade_crashed_sends_total").increment(1);
        tracing::info!(
            event = events::CRASH_SUSPECTED,
            request_id,
            content = fingerprint_key(suspects.content),
            parts = suspects.parts_text(),
            server = %target.server,
            incarnation = target.incarnation,
            crashes,
            lived_ms = run.duration.as_millis() as u64,
            sent_events_for_ms = run.sent_events_for.as_millis() as u64,
            is_held_back = !changes.is_empty(),
            "a server may have crashed while it ran this request"
        );
        self.log_changes(changes, "own")
    }

    /// Records that no connection to `target` could be opened.
    pub fn record_unreachable(&self, target: &SendTarget) {
        self.detector().record_unreachable(target.incarnation, Instant::now());
    }

    /// Records that a request completed at `target`, which kept running. Returns true if that
    /// changes what is quarantined.
    pub fn record_completion(&self, suspects: &CrashSuspects, target: &SendTarget) -> bool {
        let now = Instant::now();
        let mut detector = self.detector();
        let mut changes = SuspectChanges::new();
        for fingerprint in suspects.iter() {
            let change = detector.record_completion(fingerprint, target.incarnation, now);
            changes.extend(change.map(|change| (fingerprint, change)));
        }
        drop(detector);
        self.log_changes(changes, "own")
    }

    /// Records that `target` answers a prompt with `parts`, and went on with the answer. Returns
    /// true if that changes what is quarantined.
    pub fn record_answered_parts(&self, parts: &[RequestFingerprint], target: &SendTarget) -> bool {
        let now = Instant::now();
        let changes = self.detector().record_answered_parts(parts, target.incarnation, now);
        self.log_changes(changes, "own")
    }

    /// Records that an answer of `target` has ended with its connection, which does not show
    /// whether the server has survived.
    pub fn record_undelimited_end(&self, suspects: &CrashSuspects, target: &SendTarget) {
        let now = Instant::now();
        self.detector().record_undelimited_end(suspects, target.incarnation, now);
    }

    /// Records that `target` responds to a request that was sent at `sent_at`. Returns true if that
    /// changes what is quarantined.
    pub fn record_response(&self, target: &SendTarget, sent_at: Instant) -> bool {
        let now = Instant::now();
        let changes = self.detector().record_response(target.incarnation, sent_at, now);
        self.log_changes(changes, "own")
    }

    /// Applies an outcome reported by a peer. Returns true if that changes which requests are
    /// quarantined.
    pub fn apply_peer_outcome(&self, update: OutcomeUpdate) -> bool {
        let change = self.detector().apply_peer_outcome(update, Instant::now());
        self.log_change(update.content, change, "gateway")
    }

    /// Applies the row of a fingerprint. Returns true if that changes which requests are
    /// quarantined.
    pub fn apply_row(
        &self,
        fingerprint: RequestFingerprint,
        row: QuarantineRow,
        stamp: StoreStamp,
    ) -> bool {
        let is_local_claim = row.claimed_by == self.claimant;
        let change = self.detector().apply_row(
            fingerprint,
            row.probes,
            stamp,
            is_local_claim,
            Instant::now(),
        );
        self.log_change(fingerprint, change, "store")
    }

    /// Records that the store holds no row of `fingerprint` as of `version`.
    pub fn apply_missing_row(&self, fingerprint: RequestFingerprint, stamp: StoreStamp) {
        let change = self.detector().apply_missing_row(fingerprint, stamp, Instant::now());
        self.log_change(fingerprint, change, "store");
    }

    /// Returns the fingerprints whose rows are known.
    pub fn rows(&self) -> Vec<RequestFingerprint> {
        self.detector().rows()
    }

    /// Records that the rows of the store have been read.
    pub fn mark_rows_read(&self) {
        self.has_read_rows.store(true, Ordering::Release);
    }

    /// Returns true once the rows of the store have been read.
    pub fn has_read_rows(&self) -> bool {
        self.has_read_rows.load(Ordering::Acquire)
    }

    /// Decides whether a new request may be sent. First quarantines what reports show to be suspect
    /// that were received while this process was still warming up.
    ///
    /// Only a request of which nothing else is quarantined may be a probe: its outcome would not
    /// show which of them crashes servers. Without `has_probe_server`, no probe is begun: it would
    /// find no server, and delay the next.
    pub fn admit(
        &self,
        suspects: &CrashSuspects,
        has_probe_server: impl FnOnce() -> bool,
    ) -> QuarantineVerdict {
        let now = Instant::now();
        let recorded = self.detector().recorded_of(suspects);
        for fingerprint in recorded {
            let change = self.detector().quarantine_if_suspect(fingerprint, now);
            self.log_change(fingerprint, change, "gateway");
        }
        let quarantined = self.quarantined(suspects);
        match (decisive(&quarantined), quarantined.len()) {
            (None, _) => QuarantineVerdict::Admitted,
            (Some(known), 1) if has_probe_server() => self.detector().admit(known.fingerprint, now),
            (Some(known), _) => QuarantineVerdict::Quarantined(known),
        }
    }

    /// Returns true while a server incarnation is known to be down.
    pub fn is_down(&self, incarnation: ServerIncarnation) -> bool {
        self.detector().is_down(incarnation, Instant::now())
    }

    /// Records that the probe of `fingerprint` that this gateway has claimed is sent.
    pub fn begin_probe(&self, fingerprint: RequestFingerprint) {
        self.detector().begin_probe(fingerprint);
    }

    /// Records that the probe request has ended.
    pub fn end_probe(&self, fingerprint: RequestFingerprint) {
        self.detector().end_probe(fingerprint, Instant::now());
    }

    /// Records that the claim of the probe of `fingerprint` failed.
    pub fn fail_claim(&self, fingerprint: RequestFingerprint) {
        self.detector().fail_claim(fingerprint, Instant::now());
    }

    /// Starts the due probe without a claim.
    pub fn begin_unclaimed_probe(&self, fingerprint: RequestFingerprint) {
        self.detector().begin_unclaimed_probe(fingerprint, Instant::now());
    }

    /// Returns the quarantine status of `fingerprint`, or `None` if it is not quarantined.
    pub fn status(&self, fingerprint: RequestFingerprint) -> Option<QuarantineStatus> {
        self.detector().status(fingerprint, Instant::now())
    }

    /// Returns the status of the quarantine that holds back a request, or `None` if none does.
    pub fn status_of(&self, suspects: &CrashSuspects) -> Option<QuarantineStatus> {
        decisive(&self.quarantined(suspects))
    }

    fn quarantined(&self, suspects: &CrashSuspects) -> SmallVec<[QuarantineStatus; 1]> {
        let now = Instant::now();
        let detector = self.detector();
        let quarantined = detector.quarantined_of(suspects);
        quarantined.iter().filter_map(|fingerprint| detector.status(*fingerprint, now)).collect()
    }

    /// Returns the outcomes for a report to peers.
    pub fn updates(&self, reports_all: bool) -> Vec<OutcomeUpdate> {
        self.detector().updates(reports_all, Instant::now())
    }

    /// Takes the pending row changes.
    pub fn take_row_changes(&self) -> Vec<RowChange> {
        self.detector().take_row_changes()
    }

    /// Puts a row change that has not been made back into the queue.
    pub fn requeue_row_change(&self, change: RowChange) {
        self.detector().queue_row_change(change);
    }

    /// Sets whether outcomes that peers report are reported to others too.
    pub fn set_relaying(&self, is_relaying: bool) {
        self.detector().set_relaying(is_relaying);
    }

    /// Removes expired state, such as quarantines of fingerprints without requests. With
    /// `removes_rows`, this gateway removes their rows too.
    pub fn tick(&self, removes_rows: bool) {
        let mut detector = self.detector();
        let forgotten = detector.tick(removes_rows, Instant::now());
        metrics::gauge!("umberglade_contents_held").set(detector.quarantined_count() as f64);
        metrics::gauge!("umberglade_contents_watched").set(detector.len() as f64);
        drop(detector);
        for fingerprint in forgotten {
            self.log_change(fingerprint, Some(QuarantineChange::Forgotten), "time");
        }
    }

    fn detector(&self) -> MutexGuard<'_, CrashDetector> {
        self.detector.lock()
    }

    /// Logs the fingerprints that were released, then a change and how it became known. Returns
    /// true if there is any.
    fn log_change(
        &self,
        fingerprint: RequestFingerprint,
        change: Option<QuarantineChange>,
        known_by: &'static str,
    ) -> bool {
        let released = self.detector().take_released();
        for fingerprint in &released {
            self.emit_change(*fingerprint, QuarantineChange::Cleared, "others' crashes");
        }
        let Some(change) = change else { return !released.is_empty() };
        self.emit_change(fingerprint, change, known_by);
        true
    }

    /// Logs several changes. Returns true if there are any.
    fn log_changes(&self, changes: SuspectChanges, known_by: &'static str) -> bool {
        let mut is_changed = false;
        for (fingerprint, change) in changes {
            is_changed |= self.log_change(fingerprint, Some(change), known_by);
        }
        is_changed
    }

    fn emit_change(
        &self,
        fingerprint: RequestFingerprint,
        change: QuarantineChange,
        known_by: &'static str,
    ) {
        let status = self.status(fingerprint);
        tracing::warn!(
            event = events::QUARANTINE_CHANGED,
            content = fingerprint_key(fingerprint),
            kind = suspect_kind(fingerprint),
            outcome = %change,
            known_by,
            crashes = status.map_or(0, |status| status.crashes),
            probes = status.map_or(0, |status| status.probes),
            row_version = status.map_or(0, |status| status.stamp.version()),
            "quarantine changed"
        );
        self.rows_due.notify(usize::MAX);
    }
}

/// Returns the status that decides how a request is treated of which all of `quarantined` hold: one
/// that is certain before others, and the one that lasts longest.
fn decisive(quarantined: &[QuarantineStatus]) -> Option<QuarantineStatus> {
    quarantined.iter().copied().max_by_key(|known| (!known.is_provisional, known.until_probe))
}

/// Returns what `fingerprint` is of, for logs and metrics.
pub fn suspect_kind(fingerprint: RequestFingerprint) -> &'static str {
    if is_prompt_part(fingerprint) { "part" } else { "content" }
}
