//! This process's state of the fingerprints whose requests crash servers.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use event_listener::Event;

use super::QuarantineRow;
use super::fingerprint_key;
use crate::cluster::CrashDetector;
use crate::cluster::OutcomeUpdate;
use crate::cluster::QuarantineChange;
use crate::cluster::QuarantineStatus;
use crate::cluster::QuarantineVerdict;
use crate::cluster::RowChange;
use crate::events;
use crate::model::RequestFingerprint;
use crate::model::ServerIncarnation;
use crate::model::StoreStamp;
use crate::upstream::SendTarget;

/// The quarantined fingerprints; logs each change.
#[derive(Debug)]
pub struct Quarantines {
    detector: Mutex<CrashDetector>,
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
            detector: Mutex::new(CrashDetector::new(started_at)),
            rows_due: Event::new(),
            has_read_rows: AtomicBool::new(false),
            claimant: fastrand::u64(1..),
        }
    }

    /// Records that an attempt of request `request_id` broke at `target` after it had sent
    /// events for `run_duration`. Returns true if that changes which requests are quarantined.
    pub fn record_crash(
        &self,
        request_id: &str,
        fingerprint: RequestFingerprint,
        target: &SendTarget,
        run_duration: Duration,
    ) -> bool {
        let now = Instant::now();
        let mut detector = self.detector();
        let change = detector.record_crash(fingerprint, target.incarnation, run_duration, now);
        let crashes = detector.crashes(fingerprint);
        drop(detector);
        metrics::counter!("umberglade_crashed_sends_total").increment(1);
        tracing::info!(
            event = events::CRASH_SUSPECTED,
            request_id,
            content = fingerprint_key(fingerprint),
            server = %target.server,
            incarnation = target.incarnation,
            crashes,
            lived_ms = run_duration.as_millis() as u64,
            is_held_back = change.is_some(),
            "a server may have crashed while it ran this request"
        );
        self.log_change(fingerprint, change, "own")
    }

    /// Records that a request of `fingerprint` completed at `target`. Returns true if that
    /// changes which requests are quarantined.
    pub fn record_completion(&self, fingerprint: RequestFingerprint, target: &SendTarget) -> bool {
        let change =
            self.detector().record_completion(fingerprint, target.incarnation, Instant::now());
        self.log_change(fingerprint, change, "own")
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

    /// Decides whether a new request may be sent. First quarantines its fingerprint if reports
    /// that were received while this process was still warming up show it to be suspect.
    ///
    /// Without `has_probe_server`, no probe is begun: it would find no server, and delay the next.
    pub fn admit(
        &self,
        fingerprint: RequestFingerprint,
        has_probe_server: impl FnOnce() -> bool,
    ) -> QuarantineVerdict {
        let now = Instant::now();
        let change = self.detector().quarantine_if_suspect(fingerprint, now);
        self.log_change(fingerprint, change, "gateway");
        match self.status(fingerprint) {
            None => QuarantineVerdict::Admitted,
            Some(quarantine) if !has_probe_server() => QuarantineVerdict::Quarantined(quarantine),
            Some(_) => self.detector().admit(fingerprint, now),
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
        self.detector.lock().expect("detector lock")
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
