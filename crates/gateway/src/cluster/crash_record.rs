//! What is known of one content under which servers have crashed.

use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashSet;
use smallvec::SmallVec;

use super::CrashId;
use super::quarantine::APART_PROBES;
use super::quarantine::Quarantine;
use crate::model::StoreVersion;

/// Server crashes, none of them followed by a whole answer, after which a
/// content is held back.
const CRASHES_TO_HOLD: usize = 3;
/// Crashes remembered of one content; beyond that the oldest go. Where many servers
/// crash in one moment, a crash of an earlier moment may be forgotten.
const MAX_CRASHES: usize = 6;
/// Server crashes in the company of contents held back that do not count.
const MAX_EXCUSED: usize = 1;
/// Sends that break at one server within this broke by one crash of it: no
/// server is back sooner. Reports of it come within this too.
pub(super) const SAME_CRASH: Duration = Duration::from_secs(1);
/// A run that gave events this many times as long as another's was past what
/// crashed the other's server.
const OUTLIVES_TIMES: u32 = 2;
/// A run that gave events for less may still have been at its beginning.
const OUTLIVES_LEAST: Duration = Duration::from_millis(120);
/// How long a whole answer speaks for a content.
const PROOF_LIFE: Duration = Duration::from_secs(60);
/// How long server crashes without a whole answer since are remembered.
const CRASH_LIFE: Duration = Duration::from_secs(600);

/// One content's record.
#[derive(Debug, Default)]
pub(super) struct CrashRecord {
    /// Server crashes under it, oldest first. Invariant: none before `whole_at`.
    crashes: SmallVec<[(CrashId, Instant); CRASHES_TO_HOLD]>,
    /// When it was answered whole last, as far as known.
    whole_at: Option<Instant>,
    /// The longest that a run of it gave events before its server crashed, as this
    /// gateway saw: a fatal request never outlives its own beginning by much.
    pub lived: Duration,
    /// Rows up to this version no longer hold it back, as another gateway told.
    void_rows: Option<(StoreVersion, Instant)>,
    /// When it was let off last, since another explained its crashes.
    pub let_off_at: Option<Instant>,
    /// True when this gateway saw one of the crashes itself.
    pub has_own: bool,
    pub quarantine: Option<Quarantine>,
}

impl CrashRecord {
    /// A send broke at the start `incarnation` of a server; the crash's id, or
    /// `None` when that crash is known.
    ///
    /// A server may crash twice under one id before its new start is registered:
    /// the second crash has an id of its own.
    pub fn note_own(&mut self, incarnation: CrashId, now: Instant) -> Option<CrashId> {
        self.has_own = true;
        let mut id = incarnation;
        while let Some((_, at)) = self.crashes.iter().find(|(known, _)| *known == id) {
            if now.saturating_duration_since(*at) < SAME_CRASH {
                return None;
            }
            id = umberglade_wire::digest_seeded(b"again", id);
        }
        self.add(id, now);
        Some(id)
    }

    /// Another gateway saw the crash `id` at `at`; false when that says nothing
    /// new.
    pub fn note_heard(&mut self, id: CrashId, at: Instant) -> bool {
        let is_known = self.crashes.iter().any(|(known, _)| *known == id);
        if is_known || self.whole_at.is_some_and(|whole| at <= whole) {
            return false;
        }
        self.add(id, at);
        true
    }

    fn add(&mut self, id: CrashId, at: Instant) {
        let place = self.crashes.partition_point(|(_, known)| *known <= at);
        self.crashes.insert(place, (id, at));
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
    }

    /// True when a server crashed under it and under `other`.
    pub fn shares_crash(&self, other: &CrashRecord) -> bool {
        self.crash_ids().any(|id| other.crash_ids().any(|of_other| of_other == id))
    }

    /// Which server crashes are known under it.
    pub fn crash_ids(&self) -> impl Iterator<Item = CrashId> {
        self.crashes.iter().map(|(id, _)| *id)
    }

    /// Takes back the server crashes that other contents explain; false when it
    /// shares so many with them that it may as well be the fatal one, unless it
    /// was answered whole lately.
    ///
    /// Guards against a fatal request that is let off since a sound one, which
    /// was there each time, was noted before it.
    pub fn excuse(&mut self, explained: &FxHashSet<CrashId>, now: Instant) -> bool {
        let shared = self.crashes.iter().filter(|(id, _)| explained.contains(id)).count();
        if shared > MAX_EXCUSED && !self.is_proven(now) {
            return false;
        }
        self.forget_crashes(explained);
        true
    }

    /// Takes back the server crashes that other contents explain.
    pub fn forget_crashes(&mut self, explained: &FxHashSet<CrashId>) {
        self.crashes.retain(|(id, _)| !explained.contains(id));
    }

    /// True when a run of it went on so much longer than any of `other` that
    /// servers do not crash at its beginning.
    pub fn outlives(&self, other: &CrashRecord) -> bool {
        self.lived > (other.lived * OUTLIVES_TIMES).max(OUTLIVES_LEAST)
    }

    /// Another gateway tells that rows up to `version` are void.
    pub fn note_void_rows(&mut self, version: StoreVersion, now: Instant) {
        let known = self.void_rows.map_or(0, |(known, _)| known);
        self.void_rows = Some((known.max(version), now));
    }

    /// True for a row that no longer holds it back.
    pub fn is_void(&self, version: StoreVersion) -> bool {
        self.void_rows.is_some_and(|(void, _)| version <= void)
    }

    /// It was answered whole at `at`: servers do not crash under it.
    pub fn note_whole(&mut self, at: Instant) {
        let at = self.whole_at.map_or(at, |known| known.max(at));
        self.whole_at = Some(at);
        self.crashes.retain(|(_, crashed_at)| *crashed_at > at);
        self.has_own &= !self.crashes.is_empty();
    }

    /// Server crashes since it was last answered whole.
    pub fn crashes(&self) -> usize {
        self.crashes.len()
    }

    fn is_proven(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < PROOF_LIFE;
        self.whole_at.is_some_and(is_recent) || self.let_off_at.is_some_and(is_recent)
    }

    /// True when servers crash under it for all that is known.
    ///
    /// Guards against holding back a popular request: of those there is one at
    /// each server at any time, and three servers that lose their power in the
    /// same moment crash under it. Of a content that was answered whole in the
    /// last minute the moments count, not the servers, and the answers between
    /// two of them clear it.
    ///
    /// Only crashes later than `since` count, where it is set.
    pub fn is_suspect(&self, since: Option<Instant>, now: Instant) -> bool {
        let counted = || {
            let times = self.crashes.iter().map(|(_, at)| *at);
            times.filter(|at| since.is_none_or(|since| *at >= since))
        };
        let count = if self.is_proven(now) { moments(counted()) } else { counted().count() };
        count >= CRASHES_TO_HOLD
    }

    /// True when it was let off within `span`.
    pub fn was_let_off(&self, span: Duration, now: Instant) -> bool {
        self.let_off_at.is_some_and(|at| now.saturating_duration_since(at) < span)
    }

    /// True while it is held back and its first probes may still tell it apart
    /// from others.
    pub fn is_undecided(&self) -> bool {
        self.quarantine.is_some_and(|of| of.probes < APART_PROBES)
    }

    /// True while it is worth remembering.
    pub fn is_live(&self, now: Instant) -> bool {
        let is_within = |at: &Instant, life| now.saturating_duration_since(*at) < life;
        self.quarantine.is_some()
            || self.crashes.iter().any(|(_, at)| is_within(at, CRASH_LIFE))
            || self.is_proven(now)
            || self.void_rows.is_some_and(|(_, at)| is_within(&at, PROOF_LIFE))
    }

    /// How much would be lost by forgetting it, to compare: whether it is held
    /// back, how many servers crashed, and how long ago.
    pub fn weight(&self) -> (bool, usize, Option<Instant>) {
        let newest = self.crashes.last().map(|(_, at)| *at);
        (self.quarantine.is_some(), self.crashes.len(), newest)
    }
}

/// Moments among `crashes`, oldest first, that are [`SAME_CRASH`] apart.
fn moments(crashes: impl Iterator<Item = Instant>) -> usize {
    let mut count = 0;
    let mut last: Option<Instant> = None;
    for at in crashes {
        if last.is_none_or(|last| at.saturating_duration_since(last) >= SAME_CRASH) {
            count += 1;
            last = Some(at);
        }
    }
    count
}
