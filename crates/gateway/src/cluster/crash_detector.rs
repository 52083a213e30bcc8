//! Which requests crash the servers that run them, and may run no more.

use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashMap;

use super::OutcomeUpdate;
use super::QuarantineChange;
use super::QuarantineStatus;
use super::QuarantineVerdict;
use super::RowChange;
use super::SendOutcome;
use super::broken_start::BrokenStart;
use super::crash_record::CrashRecord;
use super::crash_records::CrashRecords;
use super::outcome_log::OutcomeLog;
use super::quarantine::Quarantine;
use super::recent_completions::RecentCompletions;
use crate::model::RequestFingerprint;
use crate::model::ServerIncarnation;

/// An answer that is known to be earlier than a crash counts as this much
/// earlier.
const JUST_BEFORE: Duration = Duration::from_millis(1);
/// Within this gateways that hear one that has begun have told it all.
const HEAR_TIME: Duration = Duration::from_millis(600);
/// Within this all gateways heard have told what they still tell.
const LEARN_TIME: Duration = Duration::from_secs(3);

/// Contents under which servers have crashed (poison requests).
///
/// Guards against one request that crashes server after server: under new ids it
/// comes at any gateway, each time as a first send. By its content it is the
/// same request. Gateways tell each other under which content their sends broke;
/// one under which three servers crashed, with no whole answer between, is held
/// back by all, and the store holds that for gateways to come. It stays so until
/// a request of it is answered whole: one that is on its way, or a probe, of
/// which there is one at a time.
#[derive(Debug, Default)]
pub struct CrashDetector {
    /// When the gateway began to hear the others; `None` for long ago.
    begun: Option<Instant>,
    pub(super) records: CrashRecords,
    /// Starts of servers at which a send broke and that have answered nothing
    /// since.
    broken: FxHashMap<ServerIncarnation, BrokenStart>,
    recent: RecentCompletions,
    pub(super) log: OutcomeLog,
    pub(super) row_changes: Vec<RowChange>,
    /// Held back, and let off since others explain the crashes.
    let_off: Vec<RequestFingerprint>,
}

impl CrashDetector {
    /// The watch of a gateway that has heard nobody yet.
    pub fn new(begun: Instant) -> Self {
        CrashDetector { begun: Some(begun), ..CrashDetector::default() }
    }

    /// A send of `content` broke at a start of a server, which had given events
    /// for `lived`.
    pub fn note_crash(
        &mut self,
        content: RequestFingerprint,
        incarnation: ServerIncarnation,
        lived: Duration,
        now: Instant,
    ) -> Option<QuarantineChange> {
        let start =
            self.broken.entry(incarnation).or_insert(BrokenStart { at: now, broke_at: now });
        if start.is_outage(now) {
            return None;
        }
        let record = self.crash_record(content, now, now);
        let crash = record.note_own(incarnation, now);
        if lived > record.lived {
            record.lived = lived;
            self.log.push(content, SendOutcome::Lived(lived.as_millis() as u32), now);
            self.excuse_long_lived(now);
        }
        let id = crash?;
        // A probe that met a crash known before has told nothing.
        self.change_quarantine(content, Quarantine::spend_probe);
        if self.records.is_explained(content, id, now) {
            return None;
        }
        self.log.push(content, SendOutcome::Crashed(id), now);
        self.weigh_crash(content, now)
    }

    /// A request of `content` was answered whole by a start of a server, which
    /// lived on.
    pub fn note_whole(
        &mut self,
        content: RequestFingerprint,
        incarnation: ServerIncarnation,
        now: Instant,
    ) -> Option<QuarantineChange> {
        self.broken.remove(&incarnation);
        self.recent.note(content, now);
        let record = self.records.get_mut(content)?;
        if record.crashes() > 0 || record.quarantine.is_some() {
            self.log.push(content, SendOutcome::Whole, now);
        }
        record.note_whole(now);
        self.clear(content, now)
    }

    /// Another gateway tells of an outcome.
    pub fn hear(&mut self, news: OutcomeUpdate, now: Instant) -> Option<QuarantineChange> {
        let age = Duration::from_millis(u64::from(news.age_ms));
        let at = now.checked_sub(age).unwrap_or(now);
        let since = self.learns_since(now);
        match news.outcome {
            SendOutcome::Crashed(id) => {
                let is_new = self.crash_record(news.content, at, now).note_heard(id, at);
                if !is_new || self.records.is_explained(news.content, id, now) {
                    return None;
                }
                self.weigh_crash(news.content, now)
            }
            SendOutcome::Lived(lived_ms) => {
                let record = self.records.get_mut(news.content)?;
                let lived = Duration::from_millis(u64::from(lived_ms));
                record.lived = record.lived.max(lived);
                self.excuse_long_lived(now);
                None
            }
            SendOutcome::Cleared(version) => {
                let record = self.records.entry(news.content);
                record.note_void_rows(version, now);
                let is_void = |of: &mut Quarantine| of.version > 0 && of.version <= version;
                record.quarantine.take_if(is_void)?;
                self.records.note_explained();
                Some(QuarantineChange::Cleared)
            }
            SendOutcome::Whole => {
                if since.is_some() {
                    // Ends before it may be told later.
                    self.records.entry(news.content);
                }
                let record = self.records.get_mut(news.content)?;
                record.note_whole(at);
                let is_cleared = !record.is_suspect(since, now)
                    && record.quarantine.is_some_and(|of| of.version == 0 || of.since < at);
                if is_cleared { self.clear(news.content, now) } else { None }
            }
        }
    }

    /// Decides on a request that has just come; a probe that is due is left to
    /// this request alone for a while.
    pub fn admit(&mut self, content: RequestFingerprint, now: Instant) -> QuarantineVerdict {
        let Some(held) = self.held(content, now) else { return QuarantineVerdict::Admitted };
        let record = self.records.get_mut(content);
        let quarantine = record.and_then(|record| record.quarantine.as_mut());
        let Some(quarantine) = quarantine else { return QuarantineVerdict::Admitted };
        if quarantine.may_probe(now) {
            quarantine.begin_probe();
            return QuarantineVerdict::Probe(held);
        }
        if !held.left.is_zero() {
            return QuarantineVerdict::HeldBack(held);
        }
        quarantine.begin_claim(now);
        QuarantineVerdict::ProbeDue(held)
    }

    /// The probe of `content` that this gateway has claimed goes out.
    pub fn begin_probe(&mut self, content: RequestFingerprint) {
        self.change_quarantine(content, Quarantine::begin_probe);
    }

    /// The request that was the probe is over, whatever came of it.
    pub fn end_probe(&mut self, content: RequestFingerprint, now: Instant) {
        self.change_quarantine(content, |quarantine| quarantine.end_probe(now));
    }

    fn change_quarantine(
        &mut self,
        content: RequestFingerprint,
        change: impl FnOnce(&mut Quarantine),
    ) {
        let record = self.records.get_mut(content);
        if let Some(quarantine) = record.and_then(|record| record.quarantine.as_mut()) {
            change(quarantine);
        }
    }

    /// The claim of the probe of `content` failed: it is made again soon.
    pub fn end_claim(&mut self, content: RequestFingerprint, now: Instant) {
        self.change_quarantine(content, |quarantine| quarantine.end_claim(now));
    }

    /// This gateway makes the probe that is due without a claim.
    pub fn note_unclaimed_probe(&mut self, content: RequestFingerprint, now: Instant) {
        self.change_quarantine(content, |quarantine| {
            let was_shared = quarantine.was_shared;
            *quarantine = Quarantine::new(quarantine.probes + 1, quarantine.version, now);
            quarantine.was_shared = was_shared;
            quarantine.begin_probe();
        });
    }

    /// How `content` is held back; `None` when it is not.
    pub fn held(&self, content: RequestFingerprint, now: Instant) -> Option<QuarantineStatus> {
        let record = self.records.get(content)?;
        let quarantine = record.quarantine?;
        let awaits_probe = quarantine.awaits_probe(now);
        let in_company = self.records.place_in_company(content);
        let place = in_company.or(awaits_probe.then_some(0));
        let is_shared = awaits_probe || (in_company.is_some() && record.is_undecided());
        // Its row is all that is known, and others may be about to say more.
        let age = self.begun.map(|begun| now.saturating_duration_since(begun));
        let is_unheard = record.crashes() == 0 && age.is_some_and(|age| age < HEAR_TIME);
        Some(QuarantineStatus {
            crashes: record.crashes(),
            probes: quarantine.probes,
            version: quarantine.version,
            age: now.saturating_duration_since(quarantine.since),
            left: quarantine.time_left(place, now),
            is_undecided: is_shared || is_unheard,
        })
    }

    /// Server crashes under `content` since it was last answered whole.
    pub fn crashes(&self, content: RequestFingerprint) -> usize {
        self.records.get(content).map_or(0, CrashRecord::crashes)
    }

    /// What a report tells the others; with `tells_all` also what they were
    /// told before.
    pub fn news(&mut self, tells_all: bool, now: Instant) -> Vec<OutcomeUpdate> {
        self.log.news(tells_all, now)
    }

    /// Forgets what is past; what was held back until now and is no longer. Its
    /// row is removed by the gateway that `removes_rows`.
    pub fn tick(&mut self, removes_rows: bool, now: Instant) -> Vec<RequestFingerprint> {
        let mut forgotten = Vec::new();
        for (content, record) in self.records.iter_mut() {
            if let Some(quarantine) = record.quarantine.take_if(|of| of.is_unasked(now)) {
                forgotten.push((content, quarantine.version));
            }
        }
        self.records.retain(|record| record.is_live(now));
        self.broken.retain(|_, start| start.is_live(now));
        if !forgotten.is_empty() {
            self.records.note_explained();
        }
        for (content, version) in forgotten.iter().filter(|_| removes_rows) {
            self.queue_removal(*content, *version, now);
        }
        forgotten.into_iter().map(|(content, _)| content).collect()
    }

    /// Contents remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// True when no content is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Contents held back.
    pub fn held_count(&self) -> usize {
        self.records.held().count()
    }

    /// A further crash of a server is known under `content`.
    fn weigh_crash(
        &mut self,
        content: RequestFingerprint,
        now: Instant,
    ) -> Option<QuarantineChange> {
        if self.records.get(content)?.quarantine.is_none() {
            return self.judge(content, now);
        }
        self.excuse_others(now);
        None
    }

    /// Holds `content` back if servers crash under it.
    pub fn judge(&mut self, content: RequestFingerprint, now: Instant) -> Option<QuarantineChange> {
        let since = self.learns_since(now);
        let record = self.records.get_mut(content)?;
        if record.quarantine.is_some() || !record.is_suspect(since, now) {
            return None;
        }
        record.quarantine = Some(Quarantine::new(0, 0, now));
        let has_own = record.has_own;
        self.excuse_others(now);
        self.excuse_long_lived(now);
        self.records.mark_shared();
        // Let off at once.
        self.records.get(content)?.quarantine?;
        // Those that saw it crash a server write the row; the first wins.
        if has_own {
            self.queue(RowChange::Write(content));
        }
        Some(QuarantineChange::HeldBack)
    }

    /// Since when this gateway has heard all that happened, while that is not
    /// long.
    ///
    /// Guards against sound requests that are held back on half of what
    /// happened: one gateway tells at once of servers that crashed in the last
    /// seconds, and another a little later of the whole answers between.
    fn learns_since(&self, now: Instant) -> Option<Instant> {
        self.begun.filter(|begun| now.saturating_duration_since(*begun) < LEARN_TIME)
    }

    /// Server crashes under contents held back do not count for the others, and
    /// are told no more of these.
    pub(super) fn excuse_others(&mut self, now: Instant) {
        let excused = self.records.excuse_others(now);
        self.log.retain_crashes(|content, id| !excused.contains(content, id));
    }

    /// Lets off contents of which a run went on far longer than any of another
    /// that is held back for the same server crashes.
    ///
    /// Guards against a popular request that is held back with a fatal one, under
    /// which servers crashed before anything was answered whole.
    fn excuse_long_lived(&mut self, now: Instant) {
        for content in self.records.long_lived() {
            let version = self.records.let_off(content, now);
            self.log.retain_crashes(|of, _| of != content);
            self.queue_removal(content, version, now);
            self.let_off.push(content);
        }
    }

    /// Takes the contents that were held back and are not, since another explains
    /// the crashes.
    pub fn take_let_off(&mut self) -> Vec<RequestFingerprint> {
        std::mem::take(&mut self.let_off)
    }

    fn clear(&mut self, content: RequestFingerprint, now: Instant) -> Option<QuarantineChange> {
        let quarantine = self.records.get_mut(content)?.quarantine.take()?;
        self.records.note_explained();
        self.queue_removal(content, quarantine.version, now);
        Some(QuarantineChange::Cleared)
    }

    /// The record of `content`, under which a server crashed at `at`. Before the
    /// first of a series of crashes stands what this gateway has seen of the
    /// content lately, of which the others are told.
    fn crash_record(
        &mut self,
        content: RequestFingerprint,
        at: Instant,
        now: Instant,
    ) -> &mut CrashRecord {
        let is_recent = self.recent.contains(content, now);
        let record = self.records.entry(content);
        if record.crashes() == 0 && record.quarantine.is_none() && is_recent {
            let before = at.checked_sub(JUST_BEFORE).unwrap_or(at);
            record.note_whole(before);
            self.log.push(content, SendOutcome::Whole, before);
        }
        self.records.entry(content)
    }
}
