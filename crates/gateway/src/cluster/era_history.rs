//! The eras of the store, as one gateway has seen them.

use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;

use crate::model::StoreEra;
use crate::model::StoreStamp;
use crate::model::StoreVersion;

/// Time after which rows that are gone have been removed from a store that came back from a copy:
/// an entry expires after three heartbeats of a second or so. What is still there counts.
pub const COPY_SETTLING_TIME: Duration = Duration::from_secs(8);
/// Maximum number of eras that are remembered.
const MAX_ERAS: usize = 8;

#[derive(Debug, Clone, Copy)]
struct EraEntry {
    era: StoreEra,
    /// The lowest version that the store has stated in this era. Rows up to it may come from the
    /// copy. 0 for the first era that this gateway has seen.
    first_version: StoreVersion,
    /// When the era became known; `None` for the first era that this gateway has seen.
    began_at: Option<Instant>,
}

/// Tells when rows were written that are read after the store has come back from a copy.
///
/// The copy's rows are older knowledge, with numbers of the era in which they were written. So they
/// replace nothing that was known later, while a row that is written in the new era counts at once,
/// whatever its number.
#[derive(Debug, Default)]
pub struct EraHistory {
    /// Oldest first. Invariant: eras increase.
    eras: SmallVec<[EraEntry; 2]>,
}

impl EraHistory {
    /// Records that the store has answered in `era`, with its newest `version` if it states it.
    /// Returns true if the era is a new one.
    pub fn observe(&mut self, era: StoreEra, version: Option<StoreVersion>, now: Instant) -> bool {
        let Some(last) = self.eras.last_mut() else {
            self.eras.push(EraEntry { era, first_version: 0, began_at: None });
            return false;
        };
        if era == last.era {
            last.first_version =
                version.map_or(last.first_version, |it| it.min(last.first_version));
        }
        if era <= last.era {
            return false;
        }
        if self.eras.len() >= MAX_ERAS {
            self.eras.remove(0);
        }
        let first_version = version.unwrap_or(StoreVersion::MAX);
        self.eras.push(EraEntry { era, first_version, began_at: Some(now) });
        true
    }

    /// Records that a peer has known `era` for `age`, which may be longer than this gateway has.
    pub fn observe_peer_age(&mut self, era: StoreEra, age: Duration, now: Instant) {
        let Some(last) = self.eras.last_mut().filter(|last| last.era == era) else { return };
        let began_at = now.checked_sub(age);
        if last.began_at.is_none() {
            last.began_at = began_at;
        }
    }

    /// Returns the newest era; 0 before the store has answered.
    pub fn current(&self) -> StoreEra {
        self.eras.last().map_or(0, |last| last.era)
    }

    /// Returns how long ago the newest era began, unless the store has not come back from a copy as
    /// far as known.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let began_at = self.eras.last()?.began_at?;
        Some(now.saturating_duration_since(began_at))
    }

    /// Returns the stamp of a row with `version` that was read in `era`.
    pub fn stamp(&self, era: StoreEra, version: StoreVersion, now: Instant) -> StoreStamp {
        let stamp = StoreStamp::new(era, version);
        let Some(index) = self.eras.iter().position(|entry| entry.era == era) else { return stamp };
        let mut written = index;
        while written > 0 && self.eras[written].may_be_copied(version, now) {
            written -= 1;
        }
        stamp.written_in(self.eras[written].era)
    }
}

impl EraEntry {
    fn may_be_copied(&self, version: StoreVersion, now: Instant) -> bool {
        let is_settled =
            self.began_at.is_none_or(|at| now.saturating_duration_since(at) >= COPY_SETTLING_TIME);
        version <= self.first_version && !is_settled
    }
}
