//! Decides which gateways read a table of the store, and which receive its rows from them.

use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashMap;

use super::ReadCost;
use super::TableFingerprint;
use crate::model::StoreStamp;

/// Number of gateways that read a table for their peers: two may die or be cut off at once, and all
/// gateways are still up to date within a report.
const TARGET_READERS: usize = 3;
/// Number of readers that send the rows that they read. What is lost nevertheless is transferred.
const ROW_SENDERS: usize = 2;
/// With fewer peers than this, each gateway reads for itself: three of eight gateways that read
/// twice as often save little.
const MIN_PEERS: usize = 8;
/// Fraction of a table's bound for which a peer's read counts as fresh. The rest is left for a
/// local read: a call may wait 0.9 s for its response, and bounds are two seconds or more.
const FRESH_FRACTION: f64 = 0.5;
/// Fraction of the bound over which gateways without fresh notices spread their first reads: the
/// first of them then report to their peers.
const FALLBACK_SPREAD_FRACTION: f64 = 0.1;
/// How much longer a gateway relies on its peers for content that they transfer to each other,
/// where reading the store itself would fill its link.
const TRANSFER_PATIENCE: f64 = 4.0;
/// How much longer a gateway relies on its peers while some read the store and others offer the
/// rows that it lacks. Prevents hundreds of gateways from reading the same rows when many change at
/// once.
const REPAIR_PATIENCE: f64 = 1.5;
/// Delay for each gateway that ranks before this one, before this one replaces a missing reader. A
/// read and a report take about 30 ms.
const TAKEOVER_DELAY: Duration = Duration::from_millis(150);
/// Additional delay where reading takes much of this gateway's link.
const HEAVY_LINK_DELAY: Duration = Duration::from_millis(400);
/// Window over which gateways take over from readers whose links are loaded more.
const RELIEF_WINDOW: Duration = Duration::from_secs(3);
/// Longest time until a receiver checks its role again.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Notice of a gateway's own read of a table, as reported to its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderNotice {
    pub fingerprint: TableFingerprint,
    /// When the store responded to the read.
    pub read_at: Instant,
    /// What reading costs the reader's link.
    pub cost: ReadCost,
    /// The store's version up to which the reader has read; `None` from gateways that do not state
    /// it.
    pub through: Option<StoreStamp>,
}

/// A gateway's rank among the peers that report to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderRank {
    /// Number of peers with a fresh report.
    pub peers: usize,
    /// Number of those with a lower digest.
    pub peers_before: usize,
}

/// What a gateway does next about a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadRole {
    /// Reads the store, for itself or for its peers.
    Reader,
    /// Receives rows from its peers, and checks again at `until`.
    Receiver { until: Instant },
}

/// The readers of one table, as one gateway sees them.
///
/// Prevents the number of calls to the store from growing with the number of gateways: 195 gateways
/// that each read for themselves once a second would also all wake up at each change. There is no
/// agreement and no stored state: a gateway without fresh notices reads for itself, so frozen,
/// isolated or misreporting readers cost calls and delay within the bound.
#[derive(Debug)]
pub struct TableReaders {
    local: u64,
    /// Time within which a change must be known.
    bound: Duration,
    notices: FxHashMap<u64, ReaderNotice>,
    /// Fingerprint of the content held here.
    fingerprint: TableFingerprint,
    /// Latest time at which the content held here matched the store, by a local read or by a peer's
    /// read with the same fingerprint.
    known_at: Option<Instant>,
    /// The store's version up to which the content held here is known.
    known_through: Option<StoreStamp>,
    read_at: Option<Instant>,
    /// The store's version up to which this gateway has read.
    read_through: Option<StoreStamp>,
    /// True while this gateway reads for its peers.
    is_reader: bool,
    /// Since when there have been too few readers.
    shortage_since: Option<Instant>,
    /// What reading costs this gateway's link.
    cost: ReadCost,
    /// True if gateways transfer the table's content to each other.
    has_transfers: bool,
    /// True once some content is held, from the store or from peers.
    has_content: bool,
    /// Until when a gateway that holds nothing leaves reading to its peers.
    waits_until: Option<Instant>,
    /// True if peers offer content that is newer than what is held here.
    has_sources: bool,
    /// Since when a peer's read is known that shows other content than is held here.
    differs_since: Option<Instant>,
    /// Random number from 0 to 1, which spreads gateways that fall back to reading.
    jitter: f64,
}

impl TableReaders {
    /// Creates the state for the gateway with digest `local`, which has not read the table yet.
    pub fn new(local: u64, bound: Duration, jitter: f64) -> Self {
        TableReaders {
            local,
            bound,
            notices: FxHashMap::default(),
            fingerprint: 0,
            known_at: None,
            known_through: None,
            read_at: None,
            read_through: None,
            is_reader: true,
            shortage_since: None,
            cost: ReadCost::LIGHT,
            has_transfers: false,
            has_content: false,
            waits_until: None,
            has_sources: false,
            differs_since: None,
            jitter,
        }
    }

    /// Makes a gateway that holds nothing leave reading to its peers until `until`.
    ///
    /// Prevents hundreds of gateways that start together from each listing a table of thousands of
    /// rows: a few list it, and send it to the others.
    pub fn wait_for_peers(&mut self, until: Instant) {
        self.waits_until = Some(until);
    }

    /// Returns the state for a table whose content gateways transfer to each other.
    pub fn with_transfers(self) -> Self {
        TableReaders { has_transfers: true, ..self }
    }

    /// Records that the store responded to a local read with all changes up to `through`.
    pub fn record_read(
        &mut self,
        fingerprint: TableFingerprint,
        through: StoreStamp,
        now: Instant,
    ) {
        self.set_content(fingerprint);
        self.known_at = Some(now);
        self.known_through = self.known_through.max(Some(through));
        self.read_at = Some(now);
        self.read_through = Some(through);
    }

    /// Sets what reading costs this gateway's link.
    ///
    /// Prevents small instances from reading a large table for their peers: it would fill their
    /// links and delay their reports, so that all peers would read too.
    pub fn set_cost(&mut self, cost: ReadCost) {
        self.cost = cost;
    }

    /// Records that a local read failed: a peer may be better placed to read for its peers.
    pub fn record_failure(&mut self) {
        self.is_reader = false;
        self.shortage_since = None;
    }

    /// Records that rows from a peer were applied, which leaves content with `fingerprint`.
    pub fn record_peer_rows(&mut self, fingerprint: TableFingerprint) {
        self.set_content(fingerprint);
        for notice in self.notices.values() {
            if notice.fingerprint == fingerprint {
                self.known_at = self.known_at.max(Some(notice.read_at));
                self.known_through = self.known_through.max(notice.through);
            }
        }
    }

    /// Records that content with `fingerprint` was received from a peer, which matched the store at
    /// `known_at`, as of `through`.
    pub fn record_peer_content(
        &mut self,
        fingerprint: TableFingerprint,
        through: StoreStamp,
        known_at: Instant,
    ) {
        self.record_peer_rows(fingerprint);
        self.known_at = self.known_at.max(Some(known_at));
        self.known_through = self.known_through.max(Some(through));
    }

    /// Records that the gateway with digest `peer` has read the store.
    pub fn apply_peer_notice(&mut self, peer: u64, notice: ReaderNotice) {
        if self.notices.get(&peer).is_some_and(|known| known.read_at > notice.read_at) {
            return;
        }
        self.notices.insert(peer, notice);
        if self.holds(notice.fingerprint) {
            self.known_at = self.known_at.max(Some(notice.read_at));
            self.known_through = self.known_through.max(notice.through);
        }
    }

    /// Returns true if the content held here has `fingerprint`.
    pub fn holds(&self, fingerprint: TableFingerprint) -> bool {
        self.has_content && self.fingerprint == fingerprint
    }

    /// Returns true if nothing is held here and peers are to send it, or if for `delay` the newest read of peers has shown
    /// other content than is held here. A gateway that reads the store itself lacks nothing.
    pub fn lacks_content(&mut self, delay: Duration, now: Instant) -> bool {
        if !self.has_content {
            return self.waits_until.is_some_and(|until| now < until);
        }
        let has_read = self.read_at.is_some_and(|at| is_within(at, self.freshness_window(), now));
        if self.is_reader && has_read {
            return false;
        }
        let newest = self.notices.values().max_by_key(|notice| notice.read_at);
        let is_newer =
            |notice: &&ReaderNotice| self.known_at.is_none_or(|known| notice.read_at > known);
        let differs =
            newest.filter(is_newer).is_some_and(|notice| notice.fingerprint != self.fingerprint);
        if !differs {
            self.differs_since = None;
            return false;
        }
        now.saturating_duration_since(*self.differs_since.get_or_insert(now)) >= delay
    }

    /// Sets whether peers offer content that is newer than what is held here.
    pub fn set_has_sources(&mut self, has_sources: bool) {
        self.has_sources = has_sources;
    }

    fn set_content(&mut self, fingerprint: TableFingerprint) {
        self.fingerprint = fingerprint;
        self.has_content = true;
    }

    /// Returns this gateway's role at `now`.
    pub fn role(&mut self, rank: ReaderRank, now: Instant) -> ReadRole {
        let freshness_window = self.freshness_window();
        self.notices.retain(|_, notice| is_within(notice.read_at, freshness_window, now));
        let Some(known_at) = self.known_at else {
            let Some(until) = self.waits_until.filter(|until| now < *until) else {
                return self.become_reader();
            };
            self.is_reader = false;
            return ReadRole::Receiver { until: until.min(now + POLL_INTERVAL) };
        };
        let waits_for_transfers = self.has_transfers && self.cost.is_long();
        let repairs_from_peers = self.has_sources && !self.notices.is_empty();
        let patience = match (waits_for_transfers, repairs_from_peers) {
            (true, _) => TRANSFER_PATIENCE,
            (false, true) => REPAIR_PATIENCE,
            (false, false) => 1.0,
        };
        let expires_at = known_at
            + freshness_window.mul_f64(patience)
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
        let is_as_light = |notice: &&ReaderNotice| notice.cost <= self.cost;
        let light_readers = self.notices.values().filter(is_as_light).count();
        let has_enough = self.notices.len() >= TARGET_READERS;
        if light_readers >= TARGET_READERS {
            self.shortage_since = None;
        } else {
            let since = *self.shortage_since.get_or_insert(now);
            let delay = match (has_enough, self.cost.is_heavy()) {
                // There are enough readers, but their links are loaded more.
                (true, _) => RELIEF_WINDOW.mul_f64(self.jitter),
                (false, false) => TAKEOVER_DELAY * (rank.peers_before as u32 + 1),
                (false, true) => HEAVY_LINK_DELAY + TAKEOVER_DELAY * (rank.peers_before as u32 + 1),
            };
            if now >= since + delay {
                return self.become_reader();
            }
        }
        ReadRole::Receiver { until: expires_at.min(now + POLL_INTERVAL) }
    }

    /// Returns true if this gateway is one of the few that send rows to all their peers.
    pub fn sends_rows(&self, now: Instant) -> bool {
        self.local_notice(now).is_some() && self.readers_before() < ROW_SENDERS
    }

    /// Returns the number of peers that take precedence over this gateway as readers.
    fn readers_before(&self) -> usize {
        let local = (self.cost, self.local);
        let is_before = |(peer, notice): &(&u64, &ReaderNotice)| (notice.cost, **peer) < local;
        self.notices.iter().filter(is_before).count()
    }

    /// Returns the notice for this gateway's peers, while it reads for them.
    pub fn local_notice(&self, now: Instant) -> Option<ReaderNotice> {
        let read_at = self.read_at.filter(|at| is_within(*at, self.freshness_window(), now))?;
        let TableReaders { fingerprint, cost, read_through: through, .. } = *self;
        self.is_reader.then_some(ReaderNotice { fingerprint, read_at, cost, through })
    }

    /// Returns the number of peers with a fresh notice of their own read.
    pub fn peer_readers(&self) -> usize {
        self.notices.len()
    }

    /// Returns when the content held here last matched the store, as far as known.
    pub fn known_at(&self) -> Option<Instant> {
        self.known_at
    }

    /// Returns the store's version up to which the content held here is known.
    pub fn known_through(&self) -> Option<StoreStamp> {
        self.known_through
    }

    /// Returns the time within which a change must be known.
    pub fn bound(&self) -> Duration {
        self.bound
    }

    /// Returns true while this gateway reads the store itself.
    pub fn is_reader(&self) -> bool {
        self.is_reader
    }

    /// Returns true if gateways read for each other. Readers then read twice as often, so that all
    /// gateways hold more recent content at the cost of a few calls.
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
