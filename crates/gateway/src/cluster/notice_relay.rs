//! Passes notices of table reads on between gateways, so that all of them learn of a read although
//! its reader reports only to its own group.

use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::Deserialize;
use serde::Serialize;

use super::PeerReach;
use super::ReadCost;
use super::TableFingerprint;
use crate::model::StoreStamp;
use crate::model::StoreTable;

/// Number of notices of one table that are passed on: as many gateways read a table.
const MAX_NOTICES: usize = 3;
/// Notices of older reads are not passed on; no table's bound is longer.
const MAX_AGE: Duration = Duration::from_secs(10);

/// Notice of a gateway's read of a table, as gateways pass it on to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedNotice {
    pub table: StoreTable,
    /// Digest of the reader's name.
    pub reader: u64,
    /// Random number drawn at each start of the reader's process.
    pub incarnation: u32,
    /// Increases with each read of an incarnation.
    pub sequence: u64,
    /// Fingerprint of the reader's content of the table.
    pub fingerprint: TableFingerprint,
    /// Milliseconds since the store responded, by a clock that counts while an instance is
    /// suspended.
    pub age_ms: u64,
    /// What reading the table costs the reader's link.
    pub cost: ReadCost,
    /// The store's version up to which the reader has read.
    pub through: StoreStamp,
}

#[derive(Debug)]
struct KnownNotice {
    notice: RelayedNotice,
    /// When the store responded, by the clock of [`RelayedNotice::age_ms`].
    read_at: Duration,
    /// True once this gateway or another one has told the group.
    is_told: bool,
}

impl KnownNotice {
    fn aged(&self, now: Duration) -> RelayedNotice {
        let age_ms = now.saturating_sub(self.read_at).as_millis() as u64;
        RelayedNotice { age_ms, ..self.notice }
    }
}

/// The newest notice of each reader.
///
/// A reader tells its group; each gateway passes on what it knows to one random gateway of another
/// group at a time, and the first of a group that hears something new tells its group. What a
/// gateway sends does not depend on how many there are, and a read is known everywhere after a time
/// that grows with the logarithm of their number.
#[derive(Debug, Default)]
pub struct NoticeRelay {
    known: FxHashMap<(StoreTable, u64), KnownNotice>,
}

impl NoticeRelay {
    /// Records a notice from a gateway at distance `from`, at `now` by the clock of
    /// [`RelayedNotice::age_ms`]. Returns true if the read was not known.
    ///
    /// Reads are compared by their numbers, not by age: each gateway that passes a notice on adds
    /// the network's delay, so that an old read would seem newer each time it comes back.
    pub fn record(&mut self, notice: RelayedNotice, from: PeerReach, now: Duration) -> bool {
        let read_at = now.saturating_sub(Duration::from_millis(notice.age_ms));
        let is_told = from == PeerReach::Near;
        if let Some(known) = self.known.get_mut(&(notice.table, notice.reader)) {
            let is_same_process = known.notice.incarnation == notice.incarnation;
            let is_known = match is_same_process {
                true => known.notice.sequence >= notice.sequence,
                false => known.read_at >= read_at,
            };
            if is_known {
                known.is_told |= is_same_process && is_told;
                return false;
            }
        }
        let known = KnownNotice { notice, read_at, is_told };
        self.known.insert((notice.table, notice.reader), known);
        true
    }

    /// Records this gateway's own read.
    pub fn record_local(&mut self, notice: RelayedNotice, now: Duration) {
        self.record(notice, PeerReach::Far, now);
    }

    /// Returns the notices that nobody has told the group yet; they count as told from now on.
    pub fn take_for_group(&mut self, now: Duration) -> Vec<RelayedNotice> {
        let mut notices = self.for_remote(now);
        notices.retain(|notice| {
            let known = self.known.get_mut(&(notice.table, notice.reader));
            known.is_some_and(|known| !std::mem::replace(&mut known.is_told, true))
        });
        notices
    }

    /// Returns the notices for a gateway of another group: of each table, those of the readers that
    /// take precedence.
    pub fn for_remote(&mut self, now: Duration) -> Vec<RelayedNotice> {
        self.known.retain(|_, known| now.saturating_sub(known.read_at) < MAX_AGE);
        let mut notices: Vec<RelayedNotice> =
            self.known.values().map(|known| known.aged(now)).collect();
        notices.sort_unstable_by_key(|notice| (notice.table, notice.cost, notice.reader));
        let mut counted = (None, 0);
        notices.retain(|notice| {
            let before = if counted.0 == Some(notice.table) { counted.1 } else { 0 };
            counted = (Some(notice.table), before + 1);
            before < MAX_NOTICES
        });
        notices
    }
}
