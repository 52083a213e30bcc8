//! What is known of one fingerprint under which servers have crashed.

use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashSet;
use smallvec::SmallVec;

use super::CrashId;
use super::PartEvidence;
use super::quarantine::ISOLATION_PROBES;
use super::quarantine::Quarantine;
use crate::model::StoreStamp;

/// Number of server crashes, with no completion after them, at which a fingerprint is
/// quarantined.
const QUARANTINE_THRESHOLD: usize = 3;
/// Maximum number of crashes kept for one fingerprint; the oldest are dropped. If many
/// servers crash at one moment, a crash of an earlier moment may be dropped.
const MAX_CRASHES: usize = 6;
/// Maximum number of crashes shared with quarantined fingerprints that are excluded. A fingerprint
/// that shares more may be the poison request as well.
pub(super) const MAX_EXCLUDED: usize = 1;
/// Attempts that break at one server within this time belong to a single crash, since no
/// server restarts sooner. Peers report the crash within this time too.
pub(super) const SAME_CRASH_WINDOW: Duration = Duration::from_secs(1);
/// Number of server crashes, counting those that others explain, from which on a fingerprint that
/// shares one with a quarantined fingerprint may be the poison request.
const SUSPECT_CRASHES: usize = 2;
/// How long a crash that another fingerprint explains is kept: until the first probe of that one.
const EXCLUDED_RETENTION: Duration = Duration::from_secs(3);
/// A run that sent events this many times as long as a run of another request was past the
/// point at which the other crashed its server.
const LONG_RUN_FACTOR: u32 = 2;
/// A run that sent events for a shorter time may still have been at its beginning.
const MIN_LONG_RUN: Duration = Duration::from_millis(120);
/// Time from the first event of an answer from which on its server has survived the parts of its
/// prompt.
pub const SURVIVAL_TIME: Duration = MIN_LONG_RUN;
/// How long a completion counts in favour of a fingerprint.
const COMPLETION_RETENTION: Duration = Duration::from_secs(60);
/// How long server crashes without a later completion are kept.
const CRASH_RETENTION: Duration = Duration::from_secs(600);

/// Whether an unquarantined fingerprint may be the poison request in place of a quarantined one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Suspicion {
    None,
    /// It ran at one of the servers that crashed, as others may have.
    Possible,
    /// Servers crashed under it more than once.
    Likely,
}

/// The record of one fingerprint.
#[derive(Debug, Default)]
pub(super) struct CrashRecord {
    /// Server crashes under the fingerprint, oldest first. Invariant: none before
    /// `completed_at`.
    crashes: SmallVec<[(CrashId, Instant); QUARANTINE_THRESHOLD]>,
    /// Server crashes under the fingerprint that another one, which is quarantined, explains.
    /// Invariant: at most [`MAX_CRASHES`], none of which is in `crashes`.
    excluded: SmallVec<[(CrashId, Instant); MAX_EXCLUDED]>,
    /// The last known completion.
    completed_at: Option<Instant>,
    /// The longest time for which a run sent events before its server crashed, as seen by this
    /// gateway or reported by peers. A poison request never runs far past its beginning.
    pub longest_run: Duration,
    /// Rows up to this version no longer quarantine the fingerprint, as reported by a peer.
    void_rows: Option<(StoreStamp, Instant)>,
    /// When the fingerprint was last released because another one explains its crashes.
    pub released_at: Option<Instant>,
    /// True if this gateway saw one of the crashes itself.
    pub has_local_crash: bool,
    pub quarantine: Option<Quarantine>,
}

impl CrashRecord {
    /// Records that an attempt broke at the server incarnation `incarnation`. Returns the id of
    /// the crash, or `None` if that crash is known.
    ///
    /// A server may crash twice under one incarnation id before its restart is registered; the
    /// second crash gets an id of its own.
    pub fn record_local_crash(&mut self, incarnation: CrashId, now: Instant) -> Option<CrashId> {
        self.has_local_crash = true;
        let mut id = incarnation;
        while let Some((_, at)) = self.crashes.iter().find(|(known, _)| *known == id) {
            if now.saturating_duration_since(*at) < SAME_CRASH_WINDOW {
                return None;
            }
            id = next_crash_id(id);
        }
        self.add(id, now);
        Some(id)
    }

    /// Records the crash `id` that a peer saw at `at`; returns false if it adds nothing new.
    pub fn record_peer_crash(&mut self, id: CrashId, at: Instant) -> bool {
        let is_known = self.crashes.iter().any(|(known, _)| *known == id);
        if is_known || self.completed_at.is_some_and(|completed_at| at <= completed_at) {
            return false;
        }
        self.add(id, at);
        true
    }

    fn add(&mut self, id: CrashId, at: Instant) {
        let index = self.crashes.partition_point(|(_, known)| *known <= at);
        self.crashes.insert(index, (id, at));
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
    }

    /// Removes the crash of the server incarnation `incarnation` in the last second before `until`,
    /// which was none. Returns true if it was on record.
    pub fn remove_crash(&mut self, incarnation: CrashId, until: Instant) -> bool {
        let ids: SmallVec<[CrashId; MAX_CRASHES]> =
            std::iter::successors(Some(incarnation), |id| Some(next_crash_id(*id)))
                .take(MAX_CRASHES)
                .collect();
        let is_kept = |(id, at): &(CrashId, Instant)| {
            let is_in_time = *at <= until && until.duration_since(*at) < SAME_CRASH_WINDOW;
            !(is_in_time && ids.contains(id))
        };
        let count = self.crashes.len() + self.excluded.len();
        self.crashes.retain(|crash| is_kept(crash));
        self.excluded.retain(|crash| is_kept(crash));
        self.has_local_crash &= !self.crashes.is_empty();
        self.crashes.len() + self.excluded.len() < count
    }

    /// Returns true if a server crashed under both this fingerprint and `other`.
    pub fn shares_crash(&self, other: &CrashRecord) -> bool {
        self.shared_crashes(other) > 0
    }

    /// Returns the number of server crashes under both this fingerprint and `other`.
    pub fn shared_crashes(&self, other: &CrashRecord) -> usize {
        self.crash_ids().filter(|id| other.crash_ids().any(|other_id| other_id == *id)).count()
    }

    /// Returns the ids of the known server crashes under the fingerprint.
    pub fn crash_ids(&self) -> impl Iterator<Item = CrashId> {
        self.crashes.iter().map(|(id, _)| *id)
    }

    /// Returns the ids of the server crashes that the fingerprint explains for others while it is
    /// quarantined.
    ///
    /// Prevents the crashes of a poison request from being blamed on probes of a harmless one that
    /// is quarantined with others: a server that runs such a probe and another request may have
    /// crashed under either.
    pub fn explaining_crashes(&self) -> impl Iterator<Item = CrashId> {
        let began_at = self.quarantine.map(|quarantine| quarantine.began_at);
        let is_undecided = self.is_provisional();
        let explains = move |at: Instant| !is_undecided || began_at.is_none_or(|began| at <= began);
        self.crashes.iter().filter(move |(_, at)| explains(*at)).map(|(id, _)| *id)
    }

    /// Removes the server crashes that other fingerprints explain, and returns true. Returns
    /// false and removes none if so many are shared with those that this may as well be the
    /// poison request, unless it completed or was released recently.
    ///
    /// Prevents the release of a poison request when a harmless one, which was in flight at
    /// every crash, was recorded first.
    pub fn exclude_crashes(&mut self, explained: &FxHashSet<CrashId>, now: Instant) -> bool {
        let shared = self.crashes.iter().filter(|(id, _)| explained.contains(id)).count();
        if shared > MAX_EXCLUDED && !self.is_trusted(now) {
            return false;
        }
        let removed = self.crashes.iter().filter(|(id, _)| explained.contains(id)).copied();
        self.excluded.extend(removed);
        let surplus = self.excluded.len().saturating_sub(MAX_CRASHES);
        self.excluded.drain(..surplus);
        self.remove_crashes(explained);
        true
    }

    /// Returns whether servers may have crashed under this fingerprint, which is not quarantined,
    /// and not under `other`, which is.
    pub fn suspicion_beside(&self, other: &CrashRecord, now: Instant) -> Suspicion {
        if self.quarantine.is_some() {
            return Suspicion::None;
        }
        if self.shared_crashes(other) > MAX_EXCLUDED {
            // Its crashes stay on record beside the quarantined fingerprint.
            return Suspicion::Likely;
        }
        if self.is_trusted(now) {
            return Suspicion::None;
        }
        let is_shared = |id: CrashId| other.crash_ids().any(|other_id| other_id == id);
        let is_repeated = self.known_crash_ids().count() >= SUSPECT_CRASHES;
        match self.known_crash_ids().any(is_shared) {
            false => Suspicion::None,
            true if is_repeated => Suspicion::Likely,
            true => Suspicion::Possible,
        }
    }

    /// Returns the ids of the server crashes under the fingerprint, with those that another one
    /// explains.
    fn known_crash_ids(&self) -> impl Iterator<Item = CrashId> {
        self.crash_ids().chain(self.excluded.iter().map(|(id, _)| *id))
    }

    /// Returns the last server crash since the quarantine began, while probes are to distinguish the
    /// fingerprint from others.
    pub fn last_probe_crash(&self) -> Option<CrashId> {
        let quarantine = self.quarantine.filter(|known| known.probes > 0)?;
        let (id, at) = self.crashes.last()?;
        (self.is_provisional() && *at > quarantine.began_at).then_some(*id)
    }

    /// Returns true if the server crash `id` may be due to this fingerprint, whatever else ran there:
    /// another server has crashed under it too, and it has not completed recently.
    pub fn may_have_caused(&self, id: CrashId, now: Instant) -> bool {
        self.known_crash_ids().any(|known| known == id)
            && self.known_crash_ids().count() >= SUSPECT_CRASHES
            && !self.is_trusted(now)
    }

    /// Removes the server crashes that other fingerprints explain.
    pub fn remove_crashes(&mut self, explained: &FxHashSet<CrashId>) {
        self.crashes.retain(|(id, _)| !explained.contains(id));
    }

    /// Returns true if a run of this request lasted so much longer than any run of `other` that
    /// this request does not crash servers at its beginning.
    pub fn ran_much_longer_than(&self, other: &CrashRecord) -> bool {
        self.longest_run > (other.longest_run * LONG_RUN_FACTOR).max(MIN_LONG_RUN)
    }

    /// Records a peer's report that rows up to `version` are void.
    pub fn record_void_rows(&mut self, stamp: StoreStamp, now: Instant) {
        let known = self.void_rows.map_or(StoreStamp::NONE, |(known, _)| known);
        self.void_rows = Some((known.max(stamp), now));
    }

    /// Returns true if a row of `version` no longer quarantines the fingerprint.
    pub fn is_void(&self, stamp: StoreStamp) -> bool {
        self.void_rows.is_some_and(|(void, _)| stamp <= void)
    }

    /// Records a completion at `at`: servers do not crash under this request.
    pub fn record_completion(&mut self, at: Instant) {
        let at = self.completed_at.map_or(at, |known| known.max(at));
        self.completed_at = Some(at);
        self.crashes.retain(|(_, crashed_at)| *crashed_at > at);
        self.excluded.retain(|(_, crashed_at)| *crashed_at > at);
        self.has_local_crash &= !self.crashes.is_empty();
    }

    /// Returns what the crashes say of a part of prompts with this record. Only crashes later than
    /// `since` count, if it is set. Those that others explain are in `explained`, and `count_all`
    /// returns the number of all crashes between two moments.
    pub fn part_evidence(
        &self,
        since: Option<Instant>,
        explained: &FxHashSet<CrashId>,
        count_all: impl FnOnce(Instant, Instant) -> usize,
        now: Instant,
    ) -> PartEvidence {
        let is_counted = |at: Instant| since.is_none_or(|since| at >= since);
        let counted = || self.crashes.iter().filter(|(_, at)| is_counted(*at));
        // While it is quarantined, it explains its crashes itself.
        let is_explained = |id| self.quarantine.is_none() && explained.contains(&id);
        let times = || counted().map(|(_, at)| *at);
        let span = times().next().zip(times().next_back());
        PartEvidence {
            crashes: counted().count(),
            moments: distinct_moments(times()),
            unexplained: counted().filter(|(id, _)| !is_explained(*id)).count(),
            all_crashes: span.map_or(0, |(first, last)| count_all(first, last)),
            is_trusted: self.is_trusted(now),
        }
    }

    /// Returns the number of server crashes since the last completion.
    pub fn crashes(&self) -> usize {
        self.crashes.len()
    }

    /// Returns true if the fingerprint completed or was released recently.
    fn is_trusted(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < COMPLETION_RETENTION;
        self.completed_at.is_some_and(is_recent) || self.released_at.is_some_and(is_recent)
    }

    /// Returns true if, as far as known, servers crash because of this request.
    ///
    /// Prevents the quarantine of popular requests: some are in flight at each server at any
    /// time, and crash with three servers that lose power at the same moment. For a fingerprint
    /// that completed in the last minute, distinct moments count instead of servers, and a
    /// completion between two of them clears it.
    ///
    /// Only crashes later than `since` count, if it is set.
    pub fn is_poison_suspect(&self, since: Option<Instant>, now: Instant) -> bool {
        let counted = || {
            let times = self.crashes.iter().map(|(_, at)| *at);
            times.filter(|at| since.is_none_or(|since| *at >= since))
        };
        let count =
            if self.is_trusted(now) { distinct_moments(counted()) } else { counted().count() };
        count >= QUARANTINE_THRESHOLD
    }

    /// Returns true if the fingerprint was released within the last `span`.
    pub fn was_released(&self, span: Duration, now: Instant) -> bool {
        self.released_at.is_some_and(|at| now.saturating_duration_since(at) < span)
    }

    /// Returns true while the fingerprint is quarantined and its first probes may still
    /// distinguish it from others.
    pub fn is_provisional(&self) -> bool {
        self.quarantine.is_some_and(|known| known.probes < ISOLATION_PROBES)
    }

    /// Returns true while the record is worth keeping.
    pub fn is_live(&self, now: Instant) -> bool {
        let is_within = |at: &Instant, span| now.saturating_duration_since(*at) < span;
        self.quarantine.is_some()
            || self.crashes.iter().any(|(_, at)| is_within(at, CRASH_RETENTION))
            || self.excluded.iter().any(|(_, at)| is_within(at, EXCLUDED_RETENTION))
            || self.is_trusted(now)
            || self.void_rows.is_some_and(|(_, at)| is_within(&at, COMPLETION_RETENTION))
    }

    /// Returns the value of the record for eviction: whether the fingerprint is quarantined,
    /// how many servers crashed, and when the last one did.
    pub fn retention_priority(&self) -> (bool, usize, Option<Instant>) {
        let newest = self.crashes.last().map(|(_, at)| *at);
        (self.quarantine.is_some(), self.crashes.len(), newest)
    }
}

/// Returns the id of the next crash of a server incarnation after the crash `id`.
fn next_crash_id(id: CrashId) -> CrashId {
    umberglade_wire::digest_seeded(b"again", id)
}

/// Counts the moments among `crashes`, oldest first, that are [`SAME_CRASH_WINDOW`] apart.
fn distinct_moments(crashes: impl Iterator<Item = Instant>) -> usize {
    let mut count = 0;
    let mut last: Option<Instant> = None;
    for at in crashes {
        if last.is_none_or(|last| at.saturating_duration_since(last) >= SAME_CRASH_WINDOW) {
            count += 1;
            last = Some(at);
        }
    }
    count
}
