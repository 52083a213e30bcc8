//! Detection of poison requests: requests that crash the servers that run them.

use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;

use super::AttemptOutcome;
use super::BrokenRun;
use super::OutcomeUpdate;
use super::QuarantineChange;
use super::QuarantineStatus;
use super::QuarantineVerdict;
use super::RowChange;
use super::SuspectChanges;
use super::crash_record::CrashRecord;
use super::crash_record::SAME_CRASH_WINDOW;
use super::crash_record::SURVIVAL_TIME;
use super::crash_record::Suspicion;
use super::crash_records::CrashRecords;
use super::ended_prompts::EndedPrompts;
use super::known_crashes::KnownCrashes;
use super::outcome_log::OutcomeLog;
use super::outlived_breaks::OutlivedBreaks;
use super::part_choice::MAX_FOLLOWED_PARTS;
use super::part_choice::PartHistory;
use super::part_choice::followed_parts;
use super::quarantine::Quarantine;
use super::recent_completions::RecentCompletions;
use super::server_outage::ServerOutages;
use super::survival_watch::SurvivalWatch;
use crate::model::CrashSuspects;
use crate::model::RequestFingerprint;
use crate::model::ServerIncarnation;
use crate::model::StoreStamp;
use crate::model::is_prompt_part;

/// A completion that is known to precede a crash is dated this much before it.
const MIN_COMPLETION_LEAD: Duration = Duration::from_millis(1);
/// Peers that receive reports from a newly started gateway have sent it all their outcomes
/// within this time.
const FIRST_REPORTS_WINDOW: Duration = Duration::from_millis(600);
/// All peers from which reports arrive have sent the outcomes that they still report within
/// this time.
const WARM_UP_WINDOW: Duration = Duration::from_secs(3);

/// Crashes by request fingerprint, and the fingerprints that are quarantined.
///
/// Prevents a single poison request from crashing server after server. Such a request
/// arrives at any gateway under new ids, each time as a first attempt, and only its
/// fingerprint shows that it is the same request. Gateways report to each other under which
/// fingerprints their attempts broke. A fingerprint under which three servers crashed, with
/// no completion in between, is quarantined by all gateways, and the store records this for
/// gateways that start later. The quarantine lasts until a request with the fingerprint
/// completes: one in flight, or a probe, of which there is one at a time.
#[derive(Debug, Default)]
pub struct CrashDetector {
    /// When the gateway began to receive reports from peers; `None` if that is long ago.
    started_at: Option<Instant>,
    pub(super) records: CrashRecords,
    outages: ServerOutages,
    recent: RecentCompletions,
    /// Kept apart, so that parts that callers invent do not displace contents.
    recent_parts: RecentCompletions,
    /// All crashes, whatever the servers ran.
    known_crashes: KnownCrashes,
    /// Prompts of which not all parts have a record.
    ended_prompts: EndedPrompts,
    outlived: OutlivedBreaks,
    survival: SurvivalWatch,
    pub(super) log: OutcomeLog,
    pub(super) row_changes: Vec<RowChange>,
    /// True where not all gateways report to each other: what peers report is passed on.
    is_relaying: bool,
    /// Fingerprints that were quarantined and then released because another one explains the
    /// crashes.
    released: Vec<RequestFingerprint>,
}

impl CrashDetector {
    /// Returns the detector of a gateway that has received no reports yet.
    pub fn new(started_at: Instant) -> Self {
        CrashDetector { started_at: Some(started_at), ..CrashDetector::default() }
    }

    /// Sets whether crashes and completions that peers report are reported to others too.
    pub fn set_relaying(&mut self, is_relaying: bool) {
        self.is_relaying = is_relaying;
    }

    /// Records that an attempt of a request broke at a server incarnation. Returns what that
    /// changes.
    pub fn record_broken_run(
        &mut self,
        suspects: &CrashSuspects,
        incarnation: ServerIncarnation,
        run: BrokenRun,
        now: Instant,
    ) -> SuspectChanges {
        self.outlived.add(incarnation, now);
        let was_down = self.outages.began_before(incarnation, run.sent_at, now);
        let has_stayed_down = self.outages.extend(incarnation, now);
        if was_down || has_stayed_down {
            return SuspectChanges::new();
        }
        self.known_crashes.add(incarnation, now);
        let content = suspects.content;
        let mut changes = SuspectChanges::new();
        let change = self.record_suspect(content, incarnation, run.duration, now);
        changes.extend(change.map(|change| (content, change)));
        // A part that crashes servers does so when its answer begins: another request did.
        if run.sent_events_for >= SURVIVAL_TIME {
            for part in suspects.parts.iter().rev() {
                let change = self.record_survival(*part, now);
                changes.extend(change.map(|change| (*part, change)));
            }
            return changes;
        }
        for part in self.follow_parts(suspects, incarnation, now) {
            let change = self.record_suspect(part, incarnation, run.duration, now);
            changes.extend(change.map(|change| (part, change)));
        }
        changes
    }

    /// Returns the parts of a prompt that are followed since its server has crashed, the most suspect
    /// one first, and keeps the others of a long prompt for later crashes.
    fn follow_parts(
        &mut self,
        suspects: &CrashSuspects,
        incarnation: ServerIncarnation,
        now: Instant,
    ) -> Vec<RequestFingerprint> {
        let parts = &suspects.parts;
        if parts.len() <= MAX_FOLLOWED_PARTS {
            return parts.iter().rev().copied().collect();
        }
        let answered_at = |part| self.recent_parts.last(part);
        let counts = self.ended_prompts.count_crashes(parts, answered_at);
        let history = |part: &RequestFingerprint| PartHistory {
            part: *part,
            crashes: self.crashes(*part).max(counts[part]),
            answered_at: answered_at(*part),
        };
        let histories: Vec<PartHistory> = parts.iter().map(history).collect();
        self.ended_prompts.add(incarnation, now, parts);
        followed_parts(&histories)
    }

    /// Adds the crashes to the record of `part` that were seen here at prompts of which it was not
    /// followed.
    fn add_earlier_crashes(&mut self, part: RequestFingerprint) {
        if !is_prompt_part(part) {
            return;
        }
        let answered_at = self.recent_parts.last(part);
        for (id, at) in self.ended_prompts.crashes_with(part, answered_at) {
            let record = self.records.entry(part);
            if record.record_peer_crash(id, at) {
                record.has_local_crash = true;
                self.log.push(part, AttemptOutcome::Crashed(id), at);
            }
        }
    }

    /// Records that an attempt of `fingerprint` that was under way broke at a server incarnation
    /// after it had sent events for `run_duration`.
    pub fn record_crash(
        &mut self,
        fingerprint: RequestFingerprint,
        incarnation: ServerIncarnation,
        run_duration: Duration,
        now: Instant,
    ) -> Option<QuarantineChange> {
        let suspects = CrashSuspects { content: fingerprint, ..CrashSuspects::default() };
        let sent_at = now.checked_sub(SAME_CRASH_WINDOW).unwrap_or(now);
        let run = BrokenRun { sent_at, duration: run_duration, sent_events_for: run_duration };
        let changes = self.record_broken_run(&suspects, incarnation, run, now);
        changes.first().map(|(_, change)| *change)
    }

    /// Records that no connection to a server incarnation could be opened.
    ///
    /// Prevents requests from being quarantined that are sent to a server that is down while
    /// something before it still accepts connections.
    pub fn record_unreachable(&mut self, incarnation: ServerIncarnation, now: Instant) {
        self.outages.extend(incarnation, now);
    }

    fn record_suspect(
        &mut self,
        fingerprint: RequestFingerprint,
        incarnation: ServerIncarnation,
        run_duration: Duration,
        now: Instant,
    ) -> Option<QuarantineChange> {
        let record = self.crash_record(fingerprint, now, now);
        let crash = record.record_local_crash(incarnation, now);
        if run_duration > record.longest_run && !is_prompt_part(fingerprint) {
            record.longest_run = run_duration;
            self.log.push(fingerprint, AttemptOutcome::Lived(run_duration.as_millis() as u32), now);
            self.release_long_running(now);
        }
        let id = crash?;
        // A probe that met an already known crash gives no information and is not consumed.
        self.change_quarantine(fingerprint, Quarantine::consume_probe);
        if self.records.exclude_if_explained(fingerprint, id, now) {
            self.records.mark_shared(now);
            return None;
        }
        self.log.push(fingerprint, AttemptOutcome::Crashed(id), now);
        self.add_earlier_crashes(fingerprint);
        self.evaluate_crash(fingerprint, now)
    }

    /// Records that a request of `fingerprint` completed at a server incarnation, which kept
    /// running.
    pub fn record_completion(
        &mut self,
        fingerprint: RequestFingerprint,
        incarnation: ServerIncarnation,
        now: Instant,
    ) -> Option<QuarantineChange> {
        self.outages.remove(incarnation);
        self.record_survival(fingerprint, now)
    }

    /// Records that no server crashed under a request of `fingerprint`.
    fn record_survival(
        &mut self,
        fingerprint: RequestFingerprint,
        now: Instant,
    ) -> Option<QuarantineChange> {
        self.recent_of(fingerprint).record(fingerprint, now);
        let record = self.records.get_mut(fingerprint)?;
        if record.crashes() > 0 || record.quarantine.is_some() {
            self.log.push(fingerprint, AttemptOutcome::Whole, now);
        }
        record.record_completion(now);
        self.clear(fingerprint, now)
    }

    /// Records that a server incarnation has answered requests with the parts of a prompt, and went
    /// on with the answer.
    pub fn record_answered_parts(
        &mut self,
        parts: &[RequestFingerprint],
        incarnation: ServerIncarnation,
        now: Instant,
    ) -> SuspectChanges {
        let mut changes = SuspectChanges::new();
        for part in parts {
            let change = self.record_completion(*part, incarnation, now);
            changes.extend(change.map(|change| (*part, change)));
        }
        changes
    }

    /// Records that an answer has ended with its connection, which does not show whether the server
    /// has survived.
    pub fn record_undelimited_end(
        &mut self,
        suspects: &CrashSuspects,
        incarnation: ServerIncarnation,
        now: Instant,
    ) {
        let is_long = suspects.parts.len() > MAX_FOLLOWED_PARTS;
        for fingerprint in suspects.iter() {
            // Of a long prompt, only what may be held back.
            if !is_long || self.records.get(fingerprint).is_some() {
                self.survival.add(incarnation, fingerprint, now);
            }
        }
    }

    /// Records that a server incarnation responds to a request that was sent at `sent_at`.
    pub fn record_response(
        &mut self,
        incarnation: ServerIncarnation,
        sent_at: Instant,
        now: Instant,
    ) -> SuspectChanges {
        self.outages.record_response(incarnation, sent_at);
        let mut changes = SuspectChanges::new();
        if let Some(broke_at) = self.outlived.record_response(incarnation, sent_at, now) {
            changes.extend(self.remove_crash(incarnation, broke_at, now));
        }
        for fingerprint in self.survival.take_survived(incarnation, sent_at, now) {
            let change = self.record_completion(fingerprint, incarnation, now);
            changes.extend(change.map(|change| (fingerprint, change)));
        }
        changes
    }

    /// Removes the crash of a server incarnation in the second before `until`, which was none, and
    /// releases what was quarantined for it.
    fn remove_crash(
        &mut self,
        incarnation: ServerIncarnation,
        until: Instant,
        now: Instant,
    ) -> SuspectChanges {
        self.known_crashes.remove(incarnation, until);
        self.ended_prompts.remove_crash(incarnation, until);
        let affected = self.records.remove_crash(incarnation, until);
        self.log.retain_crashes(|_, id| id != incarnation);
        let since = self.warm_up_start(now);
        let is_unfounded = |of: &RequestFingerprint| !self.is_suspect(*of, since, now);
        let unfounded: SmallVec<[RequestFingerprint; 2]> =
            affected.into_iter().filter(is_unfounded).collect();
        let mut changes = SuspectChanges::new();
        for fingerprint in unfounded {
            let change = self.clear(fingerprint, now);
            changes.extend(change.map(|change| (fingerprint, change)));
        }
        changes
    }

    /// Applies an outcome reported by a peer.
    pub fn apply_peer_outcome(
        &mut self,
        update: OutcomeUpdate,
        now: Instant,
    ) -> Option<QuarantineChange> {
        let age = Duration::from_millis(u64::from(update.age_ms));
        let at = now.checked_sub(age).unwrap_or(now);
        let since = self.warm_up_start(now);
        match update.outcome {
            AttemptOutcome::Crashed(id) => {
                if self.outlived.contains(id, at) {
                    return None;
                }
                self.outlived.add(id, at);
                self.outages.record_peer_crash(id, at);
                self.known_crashes.add(id, at);
                let is_new = self.crash_record(update.content, at, now).record_peer_crash(id, at);
                if !is_new {
                    return None;
                }
                if self.records.exclude_if_explained(update.content, id, now) {
                    self.records.mark_shared(now);
                    return None;
                }
                self.relay(update, at);
                self.add_earlier_crashes(update.content);
                self.evaluate_crash(update.content, now)
            }
            AttemptOutcome::Lived(lived_ms) => {
                let record = self.records.get_mut(update.content)?;
                let run_duration = Duration::from_millis(u64::from(lived_ms));
                record.longest_run = record.longest_run.max(run_duration);
                self.release_long_running(now);
                None
            }
            AttemptOutcome::Cleared(stamp) => {
                let record = self.records.entry(update.content);
                record.record_void_rows(stamp, now);
                let is_void = |known: &mut Quarantine| known.stamp.exists() && known.stamp <= stamp;
                record.quarantine.take_if(is_void)?;
                self.records.refresh_explained();
                Some(QuarantineChange::Cleared)
            }
            AttemptOutcome::Whole => {
                if since.is_some() {
                    // Crashes before this completion may be reported later.
                    self.records.entry(update.content);
                }
                let record = self.records.get_mut(update.content)?;
                let is_news = record.crashes() > 0;
                record.record_completion(at);
                if is_news {
                    self.relay(update, at);
                }
                let quarantine = self.records.get(update.content)?.quarantine;
                let is_cleared = !self.is_suspect(update.content, since, now)
                    && quarantine.is_some_and(|known| !known.stamp.exists() || known.since < at);
                if is_cleared { self.clear(update.content, now) } else { None }
            }
        }
    }

    /// Reports an outcome that a peer has seen at `at` to others, if some hear this gateway and not
    /// the peer.
    fn relay(&mut self, update: OutcomeUpdate, at: Instant) {
        if self.is_relaying {
            self.log.push(update.content, update.outcome, at);
        }
    }

    /// Decides whether a new request may be sent. A due probe is reserved for this request until
    /// its claim has succeeded, failed or timed out.
    pub fn admit(&mut self, fingerprint: RequestFingerprint, now: Instant) -> QuarantineVerdict {
        let Some(info) = self.status(fingerprint, now) else { return QuarantineVerdict::Admitted };
        let record = self.records.get_mut(fingerprint);
        let quarantine = record.and_then(|record| record.quarantine.as_mut());
        let Some(quarantine) = quarantine else { return QuarantineVerdict::Admitted };
        if quarantine.may_probe(now) {
            quarantine.begin_probe();
            return QuarantineVerdict::Probe(info);
        }
        if !info.until_probe.is_zero() {
            return QuarantineVerdict::Quarantined(info);
        }
        quarantine.begin_claim(now);
        QuarantineVerdict::ProbeDue(info)
    }

    /// Records that the probe of `fingerprint` that this gateway has claimed is sent.
    pub fn begin_probe(&mut self, fingerprint: RequestFingerprint) {
        self.change_quarantine(fingerprint, Quarantine::begin_probe);
    }

    /// Records that the probe request has ended, whatever its outcome.
    pub fn end_probe(&mut self, fingerprint: RequestFingerprint, now: Instant) {
        self.change_quarantine(fingerprint, |quarantine| quarantine.end_probe(now));
    }

    fn change_quarantine(
        &mut self,
        fingerprint: RequestFingerprint,
        change: impl FnOnce(&mut Quarantine),
    ) {
        let record = self.records.get_mut(fingerprint);
        if let Some(quarantine) = record.and_then(|record| record.quarantine.as_mut()) {
            change(quarantine);
        }
    }

    /// Records that the claim of the probe of `fingerprint` failed; it is retried after a short
    /// delay.
    pub fn fail_claim(&mut self, fingerprint: RequestFingerprint, now: Instant) {
        self.change_quarantine(fingerprint, |quarantine| quarantine.fail_claim(now));
    }

    /// Starts the due probe without a claim.
    pub fn begin_unclaimed_probe(&mut self, fingerprint: RequestFingerprint, now: Instant) {
        self.change_quarantine(fingerprint, |quarantine| {
            let Quarantine { began_at, was_shared, .. } = *quarantine;
            *quarantine = Quarantine::new(quarantine.probes + 1, quarantine.stamp, now);
            quarantine.began_at = began_at;
            quarantine.was_shared = was_shared;
            quarantine.await_outcome(now);
            quarantine.begin_probe();
        });
    }

    /// Returns the quarantine status of `fingerprint`, or `None` if it is not quarantined.
    pub fn status(
        &self,
        fingerprint: RequestFingerprint,
        now: Instant,
    ) -> Option<QuarantineStatus> {
        let record = self.records.get(fingerprint)?;
        let quarantine = record.quarantine?;
        let awaits_first_probe = quarantine.awaits_first_probe(now);
        let shared_rank = self.records.shared_crash_rank(fingerprint);
        let awaits_another = self.records.is_probe_inconclusive(fingerprint, now);
        let rank = shared_rank.or((awaits_first_probe || awaits_another).then_some(0));
        let is_part = is_prompt_part(fingerprint);
        let is_shared = awaits_first_probe || (shared_rank.is_some() && record.is_provisional());
        // Before peers have reported, this gateway may know no more than the row.
        let age = self.started_at.map(|started_at| now.saturating_duration_since(started_at));
        let awaits_reports =
            record.crashes() == 0 && age.is_some_and(|age| age < FIRST_REPORTS_WINDOW);
        // Another fingerprint may turn out to be the poison request before the first probe.
        let awaits_suspects = quarantine.probes == 0
            && self.records.suspicion_of_others(fingerprint, now) > Suspicion::None;
        // Two probes at one server would show nothing of either.
        let until_other_outcomes = match shared_rank {
            Some(_) => self.records.time_until_other_outcomes(fingerprint, now),
            None => Duration::ZERO,
        };
        Some(QuarantineStatus {
            fingerprint,
            crashes: record.crashes(),
            probes: quarantine.probes,
            stamp: quarantine.stamp,
            age: now.saturating_duration_since(quarantine.since),
            until_probe: quarantine.time_until_probe(is_part, rank, now).max(until_other_outcomes),
            is_provisional: is_shared || awaits_another || awaits_reports || awaits_suspects,
        })
    }

    /// Returns those of `suspects` under which servers have crashed, or that are quarantined.
    pub fn recorded_of(&self, suspects: &CrashSuspects) -> SmallVec<[RequestFingerprint; 2]> {
        if self.records.len() == 0 {
            return SmallVec::new();
        }
        suspects.iter().filter(|of| self.records.get(*of).is_some()).collect()
    }

    /// Returns those of `suspects` that are quarantined.
    pub fn quarantined_of(&self, suspects: &CrashSuspects) -> SmallVec<[RequestFingerprint; 2]> {
        if suspects.parts.len() <= MAX_FOLLOWED_PARTS {
            let recorded = self.recorded_of(suspects);
            return recorded.into_iter().filter(|of| self.is_quarantined(*of)).collect();
        }
        // Asked again and again while a request waits: there are few of these, and many parts.
        let quarantined = self.records.quarantined().map(|(fingerprint, _)| fingerprint);
        quarantined.filter(|of| suspects.contains(*of)).collect()
    }

    fn is_quarantined(&self, fingerprint: RequestFingerprint) -> bool {
        self.records.get(fingerprint).is_some_and(|record| record.quarantine.is_some())
    }

    /// Returns true while a server incarnation is known to be down: an attempt of this gateway or
    /// of a peer broke at it, and it has not responded to this gateway since.
    pub fn is_down(&self, incarnation: ServerIncarnation, now: Instant) -> bool {
        self.outages.is_down(incarnation, now)
    }

    /// Returns the number of server crashes under `fingerprint` since its last completion.
    pub fn crashes(&self, fingerprint: RequestFingerprint) -> usize {
        self.records.get(fingerprint).map_or(0, CrashRecord::crashes)
    }

    /// Returns the outcomes for a report to peers; with `reports_all`, also those sent in
    /// earlier reports.
    pub fn updates(&mut self, reports_all: bool, now: Instant) -> Vec<OutcomeUpdate> {
        self.log.updates(reports_all, now)
    }

    /// Removes expired state, and returns the fingerprints whose quarantine expired with it.
    /// Their rows are removed if `removes_rows`.
    pub fn tick(&mut self, removes_rows: bool, now: Instant) -> Vec<RequestFingerprint> {
        let mut forgotten = Vec::new();
        for (fingerprint, record) in self.records.iter_mut() {
            if let Some(quarantine) = record.quarantine.take_if(|known| known.is_idle(now)) {
                forgotten.push((fingerprint, quarantine.stamp));
            }
        }
        self.records.retain(|record| record.is_live(now));
        self.outages.tick(now);
        self.known_crashes.tick(now);
        self.ended_prompts.tick(now);
        self.outlived.tick(now);
        if !forgotten.is_empty() {
            self.records.refresh_explained();
        }
        for (fingerprint, stamp) in forgotten.iter().filter(|_| removes_rows) {
            self.queue_removal(*fingerprint, *stamp, now);
        }
        forgotten.into_iter().map(|(fingerprint, _)| fingerprint).collect()
    }

    /// Returns the number of fingerprints that have a record.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns true if no fingerprint has a record.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of quarantined fingerprints.
    pub fn quarantined_count(&self) -> usize {
        self.records.quarantined().count()
    }

    /// Reevaluates `fingerprint` after another server crash under it.
    fn evaluate_crash(
        &mut self,
        fingerprint: RequestFingerprint,
        now: Instant,
    ) -> Option<QuarantineChange> {
        if self.records.get(fingerprint)?.quarantine.is_none() {
            let change = self.quarantine_if_suspect(fingerprint, now);
            self.records.mark_shared(now);
            return change;
        }
        self.change_quarantine(fingerprint, Quarantine::end_outcome_wait);
        self.exclude_explained_crashes(now);
        None
    }

    /// Quarantines `fingerprint` if servers crash under it.
    pub fn quarantine_if_suspect(
        &mut self,
        fingerprint: RequestFingerprint,
        now: Instant,
    ) -> Option<QuarantineChange> {
        let since = self.warm_up_start(now);
        if self.records.get(fingerprint)?.quarantine.is_some()
            || !self.is_suspect(fingerprint, since, now)
        {
            return None;
        }
        let record = self.records.get_mut(fingerprint)?;
        record.quarantine = Some(Quarantine::new(0, StoreStamp::NONE, now));
        let has_local_crash = record.has_local_crash;
        self.exclude_explained_crashes(now);
        self.release_long_running(now);
        self.records.mark_shared(now);
        // The fingerprint may just have been released as a long-running one.
        self.records.get(fingerprint)?.quarantine?;
        // Every gateway that saw one of the crashes itself writes the row; the store accepts the
        // first write.
        if has_local_crash {
            self.queue_row_change(RowChange::Write(fingerprint));
        }
        Some(QuarantineChange::HeldBack)
    }

    /// Returns true if, as far as known, servers crash because of `fingerprint`. Only crashes later
    /// than `since` count, if it is set.
    fn is_suspect(
        &self,
        fingerprint: RequestFingerprint,
        since: Option<Instant>,
        now: Instant,
    ) -> bool {
        if !is_prompt_part(fingerprint) {
            let record = self.records.get(fingerprint);
            return record.is_some_and(|record| record.is_poison_suspect(since, now));
        }
        let count_all = |first, last| self.known_crashes.count_between(first, last);
        let evidence = self.records.part_evidence(fingerprint, since, count_all, now);
        evidence.is_some_and(|evidence| evidence.is_suspect())
    }

    /// Returns the recent completions among which `fingerprint` is.
    fn recent_of(&mut self, fingerprint: RequestFingerprint) -> &mut RecentCompletions {
        if is_prompt_part(fingerprint) { &mut self.recent_parts } else { &mut self.recent }
    }

    /// Returns the start of this gateway while it warms up, and `None` later.
    ///
    /// From its start on, the gateway knows all that happened. Prevents the quarantine of
    /// harmless requests on partial knowledge: one peer immediately reports server crashes of
    /// the last seconds, and another reports the completions in between a little later.
    fn warm_up_start(&self, now: Instant) -> Option<Instant> {
        self.started_at
            .filter(|started_at| now.saturating_duration_since(*started_at) < WARM_UP_WINDOW)
    }

    /// Excludes the server crashes under quarantined fingerprints from the records of all
    /// others, and stops reporting them for those.
    pub(super) fn exclude_explained_crashes(&mut self, now: Instant) {
        let excluded = self.records.exclude_explained_crashes(now);
        self.log.retain_crashes(|fingerprint, id| !excluded.contains(fingerprint, id));
    }

    /// Releases fingerprints of which a run lasted much longer than any run of another
    /// fingerprint that is quarantined for the same server crashes.
    ///
    /// Prevents a popular request from staying quarantined together with a poison request that
    /// crashed servers before any request completed.
    fn release_long_running(&mut self, now: Instant) {
        for fingerprint in self.records.long_running() {
            let stamp = self.records.release(fingerprint, now);
            self.log.retain_crashes(|reported, _| reported != fingerprint);
            self.queue_removal(fingerprint, stamp, now);
            self.released.push(fingerprint);
        }
    }

    /// Takes the fingerprints that were released because another one explains the crashes.
    pub fn take_released(&mut self) -> Vec<RequestFingerprint> {
        std::mem::take(&mut self.released)
    }

    fn clear(&mut self, fingerprint: RequestFingerprint, now: Instant) -> Option<QuarantineChange> {
        let quarantine = self.records.get_mut(fingerprint)?.quarantine.take()?;
        self.records.refresh_explained();
        self.queue_removal(fingerprint, quarantine.stamp, now);
        Some(QuarantineChange::Cleared)
    }

    /// Returns the record of `fingerprint`, under which a server crashed at `at`. Before the
    /// first crash of a series, a recent completion of the fingerprint at this gateway is
    /// recorded, and reported to peers.
    fn crash_record(
        &mut self,
        fingerprint: RequestFingerprint,
        at: Instant,
        now: Instant,
    ) -> &mut CrashRecord {
        let is_recent = self.recent_of(fingerprint).contains(fingerprint, now);
        let record = self.records.entry(fingerprint);
        if record.crashes() == 0 && record.quarantine.is_none() && is_recent {
            let before = at.checked_sub(MIN_COMPLETION_LEAD).unwrap_or(at);
            record.record_completion(before);
            self.log.push(fingerprint, AttemptOutcome::Whole, before);
        }
        self.records.entry(fingerprint)
    }
}
