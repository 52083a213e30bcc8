//! What this process knows of contents under which servers crash.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use event_listener::Event;

use super::QuarantineRow;
use super::content_key;
use crate::cluster::CrashDetector;
use crate::cluster::OutcomeUpdate;
use crate::cluster::QuarantineChange;
use crate::cluster::QuarantineStatus;
use crate::cluster::QuarantineVerdict;
use crate::cluster::RowChange;
use crate::events;
use crate::model::RequestFingerprint;
use crate::model::StoreVersion;
use crate::upstream::SendTarget;

/// The contents held back, with log lines of what changes.
#[derive(Debug)]
pub struct Quarantines {
    watch: Mutex<CrashDetector>,
    /// Notified when rows of the store are to be written or removed.
    pub rows_due: Event,
    /// True once the store's rows have been read.
    is_read: AtomicBool,
    /// Names this process in the rows that it writes to claim a probe; drawn, as
    /// a process that starts again has claimed nothing.
    pub claimant: u64,
}

impl Quarantines {
    /// Those of a process that has begun to hear the others at `begun`.
    pub fn new(begun: Instant) -> Self {
        Quarantines {
            watch: Mutex::new(CrashDetector::new(begun)),
            rows_due: Event::new(),
            is_read: AtomicBool::new(false),
            claimant: fastrand::u64(1..),
        }
    }

    /// A send of request `request_id` broke at `target`, which had given events
    /// for `lived`; true when that changes what is held back.
    pub fn note_crash(
        &self,
        request_id: &str,
        content: RequestFingerprint,
        target: &SendTarget,
        lived: Duration,
    ) -> bool {
        let now = Instant::now();
        let mut watch = self.watch();
        let change = watch.note_crash(content, target.incarnation, lived, now);
        let crashes = watch.crashes(content);
        drop(watch);
        metrics::counter!("umberglade_crashed_sends_total").increment(1);
        tracing::info!(
            event = events::CRASH_SUSPECTED,
            request_id,
            content = content_key(content),
            server = %target.server,
            incarnation = target.incarnation,
            crashes,
            lived_ms = lived.as_millis() as u64,
            is_held_back = change.is_some(),
            "a server may have crashed under this request"
        );
        self.log_change(content, change, "own")
    }

    /// A request of `content` was answered whole by `target`; true when that
    /// changes what is held back.
    pub fn note_whole(&self, content: RequestFingerprint, target: &SendTarget) -> bool {
        let change = self.watch().note_whole(content, target.incarnation, Instant::now());
        self.log_change(content, change, "own")
    }

    /// Takes in what another gateway tells; true when that changes what is held
    /// back.
    pub fn hear(&self, news: OutcomeUpdate) -> bool {
        let change = self.watch().hear(news, Instant::now());
        self.log_change(news.content, change, "gateway")
    }

    /// Takes in a content's row; true when that changes what is held back.
    pub fn note_row(
        &self,
        content: RequestFingerprint,
        row: QuarantineRow,
        version: StoreVersion,
    ) -> bool {
        let is_own = row.claimed_by == self.claimant;
        let change = self.watch().note_row(content, row.probes, version, is_own, Instant::now());
        self.log_change(content, change, "store")
    }

    /// The store holds no row of `content` as of `version`.
    pub fn note_no_row(&self, content: RequestFingerprint, version: StoreVersion) {
        let change = self.watch().note_no_row(content, version, Instant::now());
        self.log_change(content, change, "store");
    }

    /// The contents whose rows are known.
    pub fn rows(&self) -> Vec<RequestFingerprint> {
        self.watch().rows()
    }

    /// The store's rows have been read.
    pub fn mark_read(&self) {
        self.is_read.store(true, Ordering::Release);
    }

    /// True once the store's rows have been read.
    pub fn is_read(&self) -> bool {
        self.is_read.load(Ordering::Acquire)
    }

    /// Decides on a request that has just come, also by what was heard while
    /// this process was too young to judge it.
    pub fn admit(&self, content: RequestFingerprint) -> QuarantineVerdict {
        let now = Instant::now();
        let change = self.watch().judge(content, now);
        self.log_change(content, change, "gateway");
        self.watch().admit(content, now)
    }

    /// The probe of `content` that this gateway has claimed goes out.
    pub fn begin_probe(&self, content: RequestFingerprint) {
        self.watch().begin_probe(content);
    }

    /// The request that was the probe is over.
    pub fn end_probe(&self, content: RequestFingerprint) {
        self.watch().end_probe(content, Instant::now());
    }

    /// The claim of the probe of `content` failed.
    pub fn end_claim(&self, content: RequestFingerprint) {
        self.watch().end_claim(content, Instant::now());
    }

    /// This gateway makes the probe that is due without a claim.
    pub fn note_unclaimed_probe(&self, content: RequestFingerprint) {
        self.watch().note_unclaimed_probe(content, Instant::now());
    }

    /// How `content` is held back; `None` when it is not.
    pub fn held(&self, content: RequestFingerprint) -> Option<QuarantineStatus> {
        self.watch().held(content, Instant::now())
    }

    /// What a report tells the other gateways.
    pub fn news(&self, tells_all: bool) -> Vec<OutcomeUpdate> {
        self.watch().news(tells_all, Instant::now())
    }

    /// Takes the changes of rows that are to be made.
    pub fn take_row_changes(&self) -> Vec<RowChange> {
        self.watch().take_row_changes()
    }

    /// A change of a row has not been made yet.
    pub fn put_back(&self, change: RowChange) {
        self.watch().queue(change);
    }

    /// Forgets what is past; `removes_rows` where this gateway is to remove the
    /// rows of what nobody asks for.
    pub fn tick(&self, removes_rows: bool) {
        let mut watch = self.watch();
        let forgotten = watch.tick(removes_rows, Instant::now());
        metrics::gauge!("umberglade_contents_held").set(watch.held_count() as f64);
        metrics::gauge!("umberglade_contents_watched").set(watch.len() as f64);
        drop(watch);
        for content in forgotten {
            self.log_change(content, Some(QuarantineChange::Forgotten), "time");
        }
    }

    fn watch(&self) -> MutexGuard<'_, CrashDetector> {
        self.watch.lock().expect("watch lock")
    }

    /// Logs a change, from whom it is known; true if there is one.
    fn log_change(
        &self,
        content: RequestFingerprint,
        change: Option<QuarantineChange>,
        known_by: &'static str,
    ) -> bool {
        let let_off = self.watch().take_let_off();
        for content in &let_off {
            self.write_change(*content, QuarantineChange::Cleared, "others' crashes");
        }
        let Some(change) = change else { return !let_off.is_empty() };
        self.write_change(content, change, known_by);
        true
    }

    fn write_change(
        &self,
        content: RequestFingerprint,
        change: QuarantineChange,
        known_by: &'static str,
    ) {
        let held = self.held(content);
        tracing::warn!(
            event = events::CONTENT_CHANGED,
            content = content_key(content),
            outcome = %change,
            known_by,
            crashes = held.map_or(0, |held| held.crashes),
            probes = held.map_or(0, |held| held.probes),
            row_version = held.map_or(0, |held| held.version),
            "requests held back changed"
        );
        self.rows_due.notify(usize::MAX);
    }
}
