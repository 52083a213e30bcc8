//! The records of all fingerprints under which servers have crashed.

use std::cmp::Reverse;
use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashMap;
use rustc_hash::FxHashSet;
use smallvec::SmallVec;

use super::CrashId;
use super::PartEvidence;
use super::crash_record::CrashRecord;
use super::crash_record::Suspicion;
use crate::model::RequestFingerprint;
use crate::model::StoreStamp;
use crate::model::is_prompt_part;

/// Maximum number of records, of some 250 bytes each: enough for the requests on a hundred
/// servers that crash at one moment. Beyond it, the least informative records are evicted.
const MAX_RECORDS: usize = 1024;

/// Records by fingerprint, and the server crashes that quarantined fingerprints explain.
#[derive(Debug, Default)]
pub(super) struct CrashRecords {
    /// Invariant: at most [`MAX_RECORDS`].
    records: FxHashMap<RequestFingerprint, CrashRecord>,
    /// Invariant: after [`refresh_explained`](Self::refresh_explained), the server crashes
    /// that quarantined fingerprints explain.
    explained: FxHashSet<CrashId>,
}

impl CrashRecords {
    pub fn get(&self, fingerprint: RequestFingerprint) -> Option<&CrashRecord> {
        self.records.get(&fingerprint)
    }

    pub fn get_mut(&mut self, fingerprint: RequestFingerprint) -> Option<&mut CrashRecord> {
        self.records.get_mut(&fingerprint)
    }

    /// Returns the record of `fingerprint`, and creates it if there is none.
    pub fn entry(&mut self, fingerprint: RequestFingerprint) -> &mut CrashRecord {
        if !self.records.contains_key(&fingerprint) {
            self.evict_if_full();
        }
        self.records.entry(fingerprint).or_default()
    }

    fn evict_if_full(&mut self) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let least = self.records.iter().min_by_key(|(_, record)| record.retention_priority());
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&fingerprint);
        }
    }

    /// Iterates over all records.
    pub fn iter(&self) -> impl Iterator<Item = (RequestFingerprint, &CrashRecord)> {
        self.records.iter().map(|(fingerprint, record)| (*fingerprint, record))
    }

    /// Iterates over all records mutably.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (RequestFingerprint, &mut CrashRecord)> {
        self.records.iter_mut().map(|(fingerprint, record)| (*fingerprint, record))
    }

    /// Keeps the records for which `is_kept` returns true.
    pub fn retain(&mut self, is_kept: impl Fn(&CrashRecord) -> bool) {
        self.records.retain(|_, record| is_kept(record));
    }

    /// Returns the quarantined fingerprints.
    pub fn quarantined(&self) -> impl Iterator<Item = (RequestFingerprint, &CrashRecord)> {
        self.iter().filter(|(_, record)| record.quarantine.is_some())
    }

    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the rank of `fingerprint` among the fingerprints that are quarantined for the
    /// same server crashes, or `None` if it shares none. Parts of prompts have no rank: what else
    /// explains their crashes is part of their evidence.
    ///
    /// Those with the longest runs rank first, as the most likely to be harmless, and those that
    /// have been probed less often before them.
    ///
    /// Prevents a poison request from being probed several times, each time crashing a server,
    /// while a harmless one waits for its first probe.
    pub fn shared_crash_rank(&self, fingerprint: RequestFingerprint) -> Option<usize> {
        if is_prompt_part(fingerprint) {
            return None;
        }
        let record = self.records.get(&fingerprint)?;
        let rank = |fingerprint, record: &CrashRecord| {
            let probes = record.quarantine.map_or(0, |quarantine| quarantine.probes);
            (probes, Reverse(record.longest_run), fingerprint)
        };
        let shares_crashes = |other: &&(RequestFingerprint, &CrashRecord)| {
            let (other, other_record) = **other;
            other != fingerprint
                && other_record.is_provisional()
                && other_record.shares_crash(record)
        };
        let quarantined: SmallVec<[_; 4]> = self.quarantined().collect();
        let others: SmallVec<[_; 4]> = quarantined.iter().filter(shares_crashes).collect();
        if others.is_empty() {
            return None;
        }
        let own_rank = rank(fingerprint, record);
        Some(
            others
                .iter()
                .filter(|(other, other_record)| rank(*other, other_record) < own_rank)
                .count(),
        )
    }

    /// Returns how likely it is that a fingerprint that is not quarantined, rather than
    /// `fingerprint`, is the poison request, and only was recorded later.
    pub fn suspicion_of_others(&self, fingerprint: RequestFingerprint, now: Instant) -> Suspicion {
        if is_prompt_part(fingerprint) {
            return Suspicion::None;
        }
        let Some(record) = self.records.get(&fingerprint) else { return Suspicion::None };
        let is_other_content =
            |other: &RequestFingerprint| *other != fingerprint && !is_prompt_part(*other);
        let others = self.records.iter().filter(|(other, _)| is_other_content(other));
        let suspicions = others.map(|(_, other_record)| other_record.suspicion_beside(record, now));
        suspicions.max().unwrap_or(Suspicion::None)
    }

    /// Returns the time from `now` until the outcome of probes of others is known that are quarantined
    /// for the same server crashes as `fingerprint`.
    pub fn time_until_other_outcomes(
        &self,
        fingerprint: RequestFingerprint,
        now: Instant,
    ) -> Duration {
        let Some(record) = self.records.get(&fingerprint) else { return Duration::ZERO };
        let others = self.quarantined().filter(|(other, other_record)| {
            *other != fingerprint
                && other_record.is_provisional()
                && other_record.shares_crash(record)
        });
        let quarantines = others.filter_map(|(_, other_record)| other_record.quarantine);
        let times = quarantines.map(|quarantine| quarantine.time_until_outcome(now));
        times.max().unwrap_or_default()
    }

    /// Marks the fingerprints that are quarantined for the same server crashes as others, or as
    /// others that may be next.
    pub fn mark_shared(&mut self, now: Instant) {
        let quarantined: SmallVec<[RequestFingerprint; 4]> =
            self.quarantined().map(|(fingerprint, _)| fingerprint).collect();
        for fingerprint in quarantined {
            let is_shared = self.shared_crash_rank(fingerprint).is_some()
                || self.suspicion_of_others(fingerprint, now) == Suspicion::Likely;
            if !is_shared {
                continue;
            }
            let record = self.records.get_mut(&fingerprint);
            if let Some(quarantine) = record.and_then(|record| record.quarantine.as_mut()) {
                quarantine.was_shared = true;
            }
        }
    }

    /// Returns the quarantined fingerprints of which a run lasted much longer than all runs of
    /// another that is quarantined for the same server crashes.
    pub fn long_running(&self) -> SmallVec<[RequestFingerprint; 2]> {
        let provisional = || self.quarantined().filter(|(_, record)| record.is_provisional());
        let is_explained = |fingerprint: RequestFingerprint, record: &CrashRecord| {
            provisional().any(|(other, other_record)| {
                other != fingerprint
                    && record.ran_much_longer_than(other_record)
                    && other_record.shares_crash(record)
            })
        };
        let all = provisional().filter(|(fingerprint, record)| is_explained(*fingerprint, record));
        all.map(|(fingerprint, _)| fingerprint).collect()
    }

    /// Ends the quarantine of `fingerprint` and removes the crashes that the remaining
    /// quarantined fingerprints explain. Returns the version of its row.
    pub fn release(&mut self, fingerprint: RequestFingerprint, now: Instant) -> StoreStamp {
        let Some(record) = self.records.get_mut(&fingerprint) else { return StoreStamp::NONE };
        let quarantine = record.quarantine.take();
        self.refresh_explained();
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.remove_crashes(&self.explained);
            record.released_at = Some(now);
        }
        quarantine.map_or(StoreStamp::NONE, |ended| ended.stamp)
    }

    /// Returns what is known of the part of prompts with `fingerprint`, which is not quarantined.
    pub fn part_evidence(
        &self,
        fingerprint: RequestFingerprint,
        since: Option<Instant>,
        count_all: impl FnOnce(Instant, Instant) -> usize,
        now: Instant,
    ) -> Option<PartEvidence> {
        let record = self.records.get(&fingerprint)?;
        Some(record.part_evidence(since, &self.explained, count_all, now))
    }

    /// Removes the crash of a server incarnation in the second before `until` from all records.
    /// Returns the quarantined fingerprints that it was recorded for and that no probe has tested.
    pub fn remove_crash(
        &mut self,
        incarnation: CrashId,
        until: Instant,
    ) -> SmallVec<[RequestFingerprint; 2]> {
        let mut untested = SmallVec::new();
        for (fingerprint, record) in &mut self.records {
            let is_untested = record.quarantine.is_some_and(|known| known.probes == 0);
            if record.remove_crash(incarnation, until) && is_untested {
                untested.push(*fingerprint);
            }
        }
        self.refresh_explained();
        untested
    }

    /// Recomputes the explained crashes after a change of the quarantined fingerprints or of
    /// their crashes.
    pub fn refresh_explained(&mut self) {
        let quarantined = self.records.values().filter(|record| record.quarantine.is_some());
        self.explained = quarantined.flat_map(CrashRecord::explaining_crashes).collect();
    }

    /// Returns true if the server crash `id`, recorded for `fingerprint`, belongs to another
    /// fingerprint, which is quarantined; the crash is then removed from the record.
    ///
    /// Prevents the quarantine of harmless requests together with poison ones: a stream that
    /// resumes at the next server may be in flight there when that server crashes too.
    pub fn exclude_if_explained(
        &mut self,
        fingerprint: RequestFingerprint,
        id: CrashId,
        now: Instant,
    ) -> bool {
        if !self.explained.contains(&id) || is_prompt_part(fingerprint) {
            return false;
        }
        let record = self.records.get_mut(&fingerprint);
        record.is_some_and(|record| {
            record.quarantine.is_none() && record.exclude_crashes(&self.explained, now)
        })
    }

    /// Removes the server crashes under quarantined fingerprints from the records of all
    /// others, and returns what was removed.
    pub fn exclude_explained_crashes(&mut self, now: Instant) -> ExcludedCrashes<'_> {
        self.refresh_explained();
        let mut fingerprints = FxHashSet::default();
        for (fingerprint, record) in &mut self.records {
            let is_content = !is_prompt_part(*fingerprint);
            let is_judged = is_content && record.quarantine.is_none();
            if is_judged && record.exclude_crashes(&self.explained, now) {
                fingerprints.insert(*fingerprint);
            }
        }
        ExcludedCrashes { fingerprints, explained: &self.explained }
    }
}

/// Server crashes that do not count for some fingerprints.
#[derive(Debug)]
pub(super) struct ExcludedCrashes<'a> {
    fingerprints: FxHashSet<RequestFingerprint>,
    explained: &'a FxHashSet<CrashId>,
}

impl ExcludedCrashes<'_> {
    /// Returns true if the crash `id` does not count for `fingerprint`.
    pub fn contains(&self, fingerprint: RequestFingerprint, id: CrashId) -> bool {
        self.explained.contains(&id) && self.fingerprints.contains(&fingerprint)
    }
}
