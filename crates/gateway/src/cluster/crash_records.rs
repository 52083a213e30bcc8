//! The records of all contents under which servers have crashed.

use std::cmp::Reverse;
use std::time::Instant;

use rustc_hash::FxHashMap;
use rustc_hash::FxHashSet;
use smallvec::SmallVec;

use super::CrashId;
use super::crash_record::CrashRecord;
use crate::model::RequestFingerprint;
use crate::model::StoreVersion;

/// Contents remembered at most, some 250 bytes each: those on a hundred servers
/// that crash in one moment. Beyond that the least telling go.
const MAX_RECORDS: usize = 1024;

/// Records by content, and which server crashes the contents held back explain.
#[derive(Debug, Default)]
pub(super) struct CrashRecords {
    /// Invariant: at most [`MAX_RECORDS`].
    records: FxHashMap<RequestFingerprint, CrashRecord>,
    /// Invariant: after [`note_explained`](Self::note_explained), the server
    /// crashes under contents that are held back.
    explained: FxHashSet<CrashId>,
}

impl CrashRecords {
    /// The record of `content`, if there is one.
    pub fn get(&self, content: RequestFingerprint) -> Option<&CrashRecord> {
        self.records.get(&content)
    }

    /// The record of `content`, if there is one.
    pub fn get_mut(&mut self, content: RequestFingerprint) -> Option<&mut CrashRecord> {
        self.records.get_mut(&content)
    }

    /// The record of `content`, which is made if there is none.
    pub fn entry(&mut self, content: RequestFingerprint) -> &mut CrashRecord {
        if !self.records.contains_key(&content) {
            self.make_room();
        }
        self.records.entry(content).or_default()
    }

    fn make_room(&mut self) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let least = self.records.iter().min_by_key(|(_, record)| record.weight());
        if let Some(content) = least.map(|(content, _)| *content) {
            self.records.remove(&content);
        }
    }

    /// All records, to change them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (RequestFingerprint, &mut CrashRecord)> {
        self.records.iter_mut().map(|(content, record)| (*content, record))
    }

    /// Keeps the records that `is_kept`.
    pub fn retain(&mut self, is_kept: impl Fn(&CrashRecord) -> bool) {
        self.records.retain(|_, record| is_kept(record));
    }

    /// The contents that are held back.
    pub fn held(&self) -> impl Iterator<Item = (RequestFingerprint, &CrashRecord)> {
        let all = self.records.iter().map(|(content, record)| (*content, record));
        all.filter(|(_, record)| record.quarantine.is_some())
    }

    /// Contents remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Where `content` stands among the contents that are held back for the same
    /// server crashes; `None` when it shares none.
    ///
    /// Those whose runs lived longest go first, as the likeliest to be sound.
    pub fn place_in_company(&self, content: RequestFingerprint) -> Option<usize> {
        let record = self.records.get(&content)?;
        let rank = |content, record: &CrashRecord| (Reverse(record.lived), content);
        let is_company = |other: &&(RequestFingerprint, &CrashRecord)| {
            let (other, of) = **other;
            other != content && of.is_undecided() && of.shares_crash(record)
        };
        let held: SmallVec<[_; 4]> = self.held().collect();
        let company: SmallVec<[_; 4]> = held.iter().filter(is_company).collect();
        if company.is_empty() {
            return None;
        }
        let own = rank(content, record);
        Some(company.iter().filter(|(other, of)| rank(*other, of) < own).count())
    }

    /// Marks the contents that are held back for the same server crashes as others.
    pub fn mark_shared(&mut self) {
        let held: SmallVec<[RequestFingerprint; 4]> =
            self.held().map(|(content, _)| content).collect();
        for content in held {
            if self.place_in_company(content).is_none() {
                continue;
            }
            let record = self.records.get_mut(&content);
            if let Some(quarantine) = record.and_then(|record| record.quarantine.as_mut()) {
                quarantine.was_shared = true;
            }
        }
    }

    /// Contents held back of which a run outlived by far all runs of another that
    /// is held back for the same server crashes.
    pub fn long_lived(&self) -> SmallVec<[RequestFingerprint; 2]> {
        let undecided = || self.held().filter(|(_, record)| record.is_undecided());
        let is_explained = |content: RequestFingerprint, record: &CrashRecord| {
            undecided().any(|(other, of)| {
                other != content && record.outlives(of) && of.shares_crash(record)
            })
        };
        let all = undecided().filter(|(content, record)| is_explained(*content, record));
        all.map(|(content, _)| content).collect()
    }

    /// Ends holding `content` back, and takes back the crashes that those still
    /// held back explain; the version of its row.
    pub fn let_off(&mut self, content: RequestFingerprint, now: Instant) -> StoreVersion {
        let Some(record) = self.records.get_mut(&content) else { return 0 };
        let quarantine = record.quarantine.take();
        self.note_explained();
        if let Some(record) = self.records.get_mut(&content) {
            record.forget_crashes(&self.explained);
            record.let_off_at = Some(now);
        }
        quarantine.map_or(0, |of| of.version)
    }

    /// What is held back, or the server crashes under it, has changed.
    pub fn note_explained(&mut self) {
        let held = self.records.values().filter(|record| record.quarantine.is_some());
        self.explained = held.flat_map(CrashRecord::crash_ids).collect();
    }

    /// True when the crash `id` of a server, noted for `content`, is that of
    /// another content, which is held back; it is taken back then.
    ///
    /// Guards against sound requests that are held back in the company of fatal
    /// ones: a stream that goes on at the next server may be there when that one
    /// crashes too.
    pub fn is_explained(&mut self, content: RequestFingerprint, id: CrashId, now: Instant) -> bool {
        if !self.explained.contains(&id) {
            return false;
        }
        let record = self.records.get_mut(&content);
        record.is_some_and(|record| {
            record.quarantine.is_none() && record.excuse(&self.explained, now)
        })
    }

    /// Takes the server crashes under contents held back out of the records of
    /// the others; what was taken out.
    pub fn excuse_others(&mut self, now: Instant) -> ExcusedCrashes<'_> {
        self.note_explained();
        let mut contents = FxHashSet::default();
        for (content, record) in &mut self.records {
            if record.quarantine.is_none() && record.excuse(&self.explained, now) {
                contents.insert(*content);
            }
        }
        ExcusedCrashes { contents, explained: &self.explained }
    }
}

/// Server crashes that no longer count for some contents.
#[derive(Debug)]
pub(super) struct ExcusedCrashes<'a> {
    contents: FxHashSet<RequestFingerprint>,
    explained: &'a FxHashSet<CrashId>,
}

impl ExcusedCrashes<'_> {
    /// True when the crash `id` no longer counts for `content`.
    pub fn contains(&self, content: RequestFingerprint, id: CrashId) -> bool {
        self.explained.contains(&id) && self.contents.contains(&content)
    }
}
