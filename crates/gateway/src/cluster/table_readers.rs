//! Which gateways read a table of the store, and which are told by them.

use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashMap;

use super::TableFingerprint;

/// Gateways that read a table for all: two may die or be cut off at once, and
/// the others still know within a report.
const READERS: usize = 3;
/// With fewer other gateways than this each reads for itself: three of eight
/// reading twice as often save little.
const MIN_PEERS: usize = 8;
/// The part of a table's bound for which another's reading counts as fresh.
/// What is left is for a read of one's own: a call may wait 0.9 s for its
/// answer, and bounds are two seconds or more.
const FRESH_PART: f64 = 0.5;
/// The part of the bound over which gateways that nobody tells any more spread
/// their first reads: the first of them tell the others.
const SPREAD_PART: f64 = 0.1;
/// How long a gateway leaves it to each one before it to step in for a missing
/// reader: a read and a report take some 30 ms.
const STEP_IN_PAUSE: Duration = Duration::from_millis(150);
/// How much longer a gateway leaves it to others for which reading takes much of its
/// link.
const HEAVY_PAUSE: Duration = Duration::from_millis(400);
/// Over this time gateways step in for readers for which it is heavier.
const RELIEF_TIME: Duration = Duration::from_secs(3);
/// The longest time until a gateway that is told looks again.
const LOOK_PAUSE: Duration = Duration::from_millis(300);

/// One gateway's own reading of a table, as it tells the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderNotice {
    pub fingerprint: TableFingerprint,
    /// When the store answered it.
    pub read_at: Instant,
    /// True where reading takes much of the reader's link.
    pub is_heavy: bool,
}

/// A gateway among those it hears.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderRank {
    /// Other gateways heard.
    pub peers: usize,
    /// Those of them with a lesser digest.
    pub before: usize,
}

/// What a gateway does next about a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadRole {
    /// It reads the store, for itself or for all.
    Own,
    /// What others tell holds; it looks again then.
    Told { until: Instant },
}

/// Who reads one table, as one gateway sees it.
///
/// Guards against calls to the store that grow with the gateways: each of 195
/// read for itself once a second, and each change woke all of them. Nothing is
/// agreed on and nothing is kept: whoever isn't told in time reads for itself,
/// so frozen, cut off or lying readers cost calls and delay within the bound.
#[derive(Debug)]
pub struct TableReaders {
    own: u64,
    /// How soon a change must be known.
    bound: Duration,
    notices: FxHashMap<u64, ReaderNotice>,
    /// Of the content held here.
    fingerprint: TableFingerprint,
    /// The content held here was the store's at this time: by a read of our
    /// own, or by another's that found the same.
    known_at: Option<Instant>,
    read_at: Option<Instant>,
    /// True while this gateway reads for all.
    is_reader: bool,
    /// Since when there have been too few readers.
    short_since: Option<Instant>,
    /// True where reading takes much of this gateway's link: others should.
    is_heavy: bool,
    /// From 0 to 1; spreads gateways that fall back to reading.
    draw: f64,
}

impl TableReaders {
    /// The roster at the gateway with digest `own`, that has read nothing yet.
    pub fn new(own: u64, bound: Duration, draw: f64) -> Self {
        TableReaders {
            own,
            bound,
            notices: FxHashMap::default(),
            fingerprint: 0,
            known_at: None,
            read_at: None,
            is_reader: true,
            short_since: None,
            is_heavy: false,
            draw,
        }
    }

    /// The store has answered a read of our own.
    pub fn note_read(&mut self, fingerprint: TableFingerprint, now: Instant) {
        self.fingerprint = fingerprint;
        self.known_at = Some(now);
        self.read_at = Some(now);
    }

    /// Reading takes much of this gateway's link, or does not.
    ///
    /// Guards against small instances that read a large table for all: their links
    /// fill up with it, what they tell is late, and all others read too.
    pub fn set_heavy(&mut self, is_heavy: bool) {
        self.is_heavy = is_heavy;
    }

    /// A read of our own failed: another may be better placed to read for all.
    pub fn note_failed(&mut self) {
        self.is_reader = false;
        self.short_since = None;
    }

    /// What another gateway told has been taken in.
    pub fn note_told(&mut self, fingerprint: TableFingerprint) {
        self.fingerprint = fingerprint;
        for notice in self.notices.values() {
            if notice.fingerprint == fingerprint {
                self.known_at = self.known_at.max(Some(notice.read_at));
            }
        }
    }

    /// The gateway with digest `peer` has read the store.
    pub fn hear(&mut self, peer: u64, notice: ReaderNotice) {
        self.notices.insert(peer, notice);
        if notice.fingerprint == self.fingerprint && self.known_at.is_some() {
            self.known_at = self.known_at.max(Some(notice.read_at));
        }
    }

    /// What to do now.
    pub fn turn(&mut self, rank: ReaderRank, now: Instant) -> ReadRole {
        let fresh_time = self.fresh_time();
        self.notices.retain(|_, notice| is_within(notice.read_at, fresh_time, now));
        let Some(known_at) = self.known_at else { return self.read_for_all() };
        let lapses_at = known_at + fresh_time + self.bound.mul_f64(SPREAD_PART * self.draw);
        if rank.peers < MIN_PEERS || now >= lapses_at {
            return self.read_for_all();
        }
        if self.is_reader {
            if self.before() < READERS {
                return ReadRole::Own;
            }
            self.is_reader = false;
        }
        let light = self.notices.values().filter(|notice| !notice.is_heavy).count();
        let has_enough = self.notices.len() >= READERS;
        if has_enough && (self.is_heavy || light >= READERS) {
            self.short_since = None;
        } else {
            let since = *self.short_since.get_or_insert(now);
            let patience = match (has_enough, self.is_heavy) {
                // There are readers, for whom it is heavier.
                (true, _) => RELIEF_TIME.mul_f64(self.draw),
                (false, false) => STEP_IN_PAUSE * (rank.before as u32 + 1),
                (false, true) => HEAVY_PAUSE + STEP_IN_PAUSE * (rank.before as u32 + 1),
            };
            if now >= since + patience {
                return self.read_for_all();
            }
        }
        ReadRole::Told { until: lapses_at.min(now + LOOK_PAUSE) }
    }

    /// True when this gateway is one of the few that tell all others of rows.
    pub fn tells(&self, now: Instant) -> bool {
        self.own_notice(now).is_some() && self.before() < READERS
    }

    /// Other readers that should read rather than this one.
    fn before(&self) -> usize {
        let own = (self.is_heavy, self.own);
        let is_before = |(peer, of): &(&u64, &ReaderNotice)| (of.is_heavy, **peer) < own;
        self.notices.iter().filter(is_before).count()
    }

    /// What the others are told, while this gateway reads for all.
    pub fn own_notice(&self, now: Instant) -> Option<ReaderNotice> {
        let read_at = self.read_at.filter(|at| is_within(*at, self.fresh_time(), now))?;
        let (fingerprint, is_heavy) = (self.fingerprint, self.is_heavy);
        self.is_reader.then_some(ReaderNotice { fingerprint, read_at, is_heavy })
    }

    /// Other gateways that have lately told of a read of theirs.
    pub fn readers(&self) -> usize {
        self.notices.len()
    }

    /// When the content held here was last the store's, as far as is known.
    pub fn known_at(&self) -> Option<Instant> {
        self.known_at
    }

    /// True when gateways read for each other: those that read do so twice as
    /// often then, which makes what all know younger for a few calls more.
    pub fn is_shared(rank: ReaderRank) -> bool {
        rank.peers >= MIN_PEERS
    }

    fn read_for_all(&mut self) -> ReadRole {
        self.is_reader = true;
        self.short_since = None;
        ReadRole::Own
    }

    fn fresh_time(&self) -> Duration {
        self.bound.mul_f64(FRESH_PART)
    }
}

fn is_within(at: Instant, time: Duration, now: Instant) -> bool {
    now.saturating_duration_since(at) < time
}
