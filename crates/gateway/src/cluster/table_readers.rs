//! Which gateways read a table of the store, and which are told by them.

use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashMap;

use super::TableFingerprint;

/// Gateways that read a table for all: two may die or be cut off at once, and
/// the others still know within a report.
const TARGET_READERS: usize = 3;
/// With fewer other gateways than this each reads for itself: three of eight
/// reading twice as often save little.
const MIN_PEERS: usize = 8;
/// The part of a table's bound for which another's reading counts as fresh.
/// What is left is for a read of one's own: a call may wait 0.9 s for its
/// answer, and bounds are two seconds or more.
const FRESH_FRACTION: f64 = 0.5;
/// The part of the bound over which gateways that nobody sends_rows any more spread
/// their first reads: the first of them tell the others.
const FALLBACK_SPREAD_FRACTION: f64 = 0.1;
/// How long a gateway leaves it to each one before it to step in for a missing
/// reader: a read and a report take some 30 ms.
const TAKEOVER_DELAY: Duration = Duration::from_millis(150);
/// How much longer a gateway leaves it to others for which reading takes much of its
/// link.
const HEAVY_LINK_DELAY: Duration = Duration::from_millis(400);
/// Over this time gateways step in for readers for which it is heavier.
const RELIEF_WINDOW: Duration = Duration::from_secs(3);
/// The longest time until a gateway that is told looks again.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// One gateway's own reading of a table, as it sends_rows the others.
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
    pub peers_before: usize,
}

/// What a gateway does next about a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadRole {
    /// It reads the store, for itself or for all.
    Reader,
    /// What others tell holds; it looks again then.
    Listener { until: Instant },
}

/// Who reads one table, as one gateway sees it.
///
/// Guards against calls to the store that grow with the gateways: each of 195
/// read for itself once a second, and each change woke all of them. Nothing is
/// agreed on and nothing is kept: whoever isn't told in time reads for itself,
/// so frozen, cut off or lying readers cost calls and delay within the bound.
#[derive(Debug)]
pub struct TableReaders {
    local: u64,
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
    shortage_since: Option<Instant>,
    /// True where reading takes much of this gateway's link: others should.
    is_heavy: bool,
    /// From 0 to 1; spreads gateways that fall back to reading.
    jitter: f64,
}

impl TableReaders {
    /// The roster at the gateway with digest `own`, that has read nothing yet.
    pub fn new(local: u64, bound: Duration, jitter: f64) -> Self {
        TableReaders {
            local,
            bound,
            notices: FxHashMap::default(),
            fingerprint: 0,
            known_at: None,
            read_at: None,
            is_reader: true,
            shortage_since: None,
            is_heavy: false,
            jitter,
        }
    }

    /// The store has answered a read of our own.
    pub fn record_read(&mut self, fingerprint: TableFingerprint, now: Instant) {
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
    pub fn record_failure(&mut self) {
        self.is_reader = false;
        self.shortage_since = None;
    }

    /// What another gateway told has been taken in.
    pub fn record_peer_rows(&mut self, fingerprint: TableFingerprint) {
        self.fingerprint = fingerprint;
        for notice in self.notices.values() {
            if notice.fingerprint == fingerprint {
                self.known_at = self.known_at.max(Some(notice.read_at));
            }
        }
    }

    /// The gateway with digest `peer` has read the store.
    pub fn apply_peer_notice(&mut self, peer: u64, notice: ReaderNotice) {
        self.notices.insert(peer, notice);
        if notice.fingerprint == self.fingerprint && self.known_at.is_some() {
            self.known_at = self.known_at.max(Some(notice.read_at));
        }
    }

    /// What to do now.
    pub fn role(&mut self, rank: ReaderRank, now: Instant) -> ReadRole {
        let freshness_window = self.freshness_window();
        self.notices.retain(|_, notice| is_within(notice.read_at, freshness_window, now));
        let Some(known_at) = self.known_at else { return self.become_reader() };
        let expires_at = known_at
            + freshness_window
            + self.bound.mul_f64(FALLBACK_SPREAD_FRACTION * self.jitter);
        if rank.peers < MIN_PEERS || now >= expires_at {
            return self.become_reader();
        }
        if self.is_reader {
            if self.readers_before() < TARGET_READERS {
                return ReadRole::Reader;
            }
            self.is_reader = false;
        }
        let light_readers = self.notices.values().filter(|notice| !notice.is_heavy).count();
        let has_enough = self.notices.len() >= TARGET_READERS;
        if has_enough && (self.is_heavy || light_readers >= TARGET_READERS) {
            self.shortage_since = None;
        } else {
            let since = *self.shortage_since.get_or_insert(now);
            let delay = match (has_enough, self.is_heavy) {
                // There are readers, for whom it is heavier.
                (true, _) => RELIEF_WINDOW.mul_f64(self.jitter),
                (false, false) => TAKEOVER_DELAY * (rank.peers_before as u32 + 1),
                (false, true) => HEAVY_LINK_DELAY + TAKEOVER_DELAY * (rank.peers_before as u32 + 1),
            };
            if now >= since + delay {
                return self.become_reader();
            }
        }
        ReadRole::Listener { until: expires_at.min(now + POLL_INTERVAL) }
    }

    /// True when this gateway is one of the few that tell all others of rows.
    pub fn sends_rows(&self, now: Instant) -> bool {
        self.local_notice(now).is_some() && self.readers_before() < TARGET_READERS
    }

    /// Other readers that should read rather than this one.
    fn readers_before(&self) -> usize {
        let local = (self.is_heavy, self.local);
        let is_before = |(peer, notice): &(&u64, &ReaderNotice)| (notice.is_heavy, **peer) < local;
        self.notices.iter().filter(is_before).count()
    }

    /// What the others are told, while this gateway reads for all.
    pub fn local_notice(&self, now: Instant) -> Option<ReaderNotice> {
        let read_at = self.read_at.filter(|at| is_within(*at, self.freshness_window(), now))?;
        let (fingerprint, is_heavy) = (self.fingerprint, self.is_heavy);
        self.is_reader.then_some(ReaderNotice { fingerprint, read_at, is_heavy })
    }

    /// Other gateways that have lately told of a read of theirs.
    pub fn peer_readers(&self) -> usize {
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

    fn become_reader(&mut self) -> ReadRole {
        self.is_reader = true;
        self.shortage_since = None;
        ReadRole::Reader
    }

    fn freshness_window(&self) -> Duration {
        self.bound.mul_f64(FRESH_FRACTION)
    }
}

fn is_within(at: Instant, time: Duration, now: Instant) -> bool {
    now.saturating_duration_since(at) < time
}
