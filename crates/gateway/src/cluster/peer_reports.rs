//! What the other gateways tell: their newest reports, and sums over them.

use std::cell::Cell;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashMap;

use super::EngineEstimates;
use super::LimitRank;
use super::PeerQueues;
use super::PeerReach;
use super::PeerRetries;
use super::PeerTotals;
use super::PeerUpdate;
use super::QueueUpdate;
use super::ReaderRank;
use super::ServerSum;
use super::ServiceSum;
use super::rendezvous_score::rendezvous_score;
use super::shares_shard;
use crate::model::ServerIncarnation;

/// After this long without a report a peer no longer counts as live.
const PEER_LIFE: Duration = Duration::from_secs(5);

/// How long what a peer has learned counts: it is told each two seconds and
/// changes slowly; a peer that has started anew knows nothing for a while.
const LEARNING_LIFE: Duration = Duration::from_secs(30);

/// A gateway's name as its digest.
type PeerDigest = u64;

/// A name's digest, as it stands in load reports: 8 bytes instead of about 12.
pub fn server_digest(name: &str) -> u64 {
    umberglade_wire::digest(name.as_bytes())
}

#[derive(Debug)]
struct PeerReport {
    incarnation: u64,
    sequence: u64,
    /// Which report this was of all heard.
    serial: u64,
    heard_at: Instant,
    /// True while it is part of the sums.
    is_counted: bool,
    news: PeerUpdate,
}

impl PeerReport {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard_at) < self.news.reach.report_life()
    }
}

/// A report as it was heard.
#[derive(Debug, Clone, Copy)]
struct HeardReport {
    peer: PeerDigest,
    serial: u64,
    heard_at: Instant,
    reach: PeerReach,
}

/// What a peer has learned, by service.
#[derive(Debug)]
struct PeerLearning {
    learned: Vec<(u64, EngineEstimates)>,
    heard_at: Instant,
}

/// The newest report of each peer.
///
/// Reports count for their [`PeerReach::report_life`]. Those that have lapsed are taken out of
/// the sums when the next report comes or at the next tick; until then a look
/// at the sums subtracts them, so that what is read is exact at any moment.
#[derive(Debug, Default)]
pub struct PeerReports {
    reports: FxHashMap<PeerDigest, PeerReport>,
    sums: PeerTotals,
    /// Invariant: all reports in the sums, those of one life in one queue, oldest
    /// first; some entries stand for reports that newer ones have replaced.
    by_age: [VecDeque<HeardReport>; 2],
    heard: u64,
    /// When the newest report came.
    heard_at: Option<Instant>,
    learned: FxHashMap<PeerDigest, PeerLearning>,
    /// Looks at a server's sum so far.
    server_looks: Cell<u64>,
}

impl PeerReports {
    /// Takes in a report; false when it is older than the one known.
    ///
    /// Guards against datagrams that overtake each other: an older count
    /// would stand until the next report. A new incarnation starts anew.
    pub fn note(
        &mut self,
        peer: &str,
        incarnation: u64,
        sequence: u64,
        news: PeerUpdate,
        now: Instant,
    ) -> bool {
        let peer = server_digest(peer);
        if let Some(known) = self.reports.get(&peer)
            && known.incarnation == incarnation
            && known.sequence >= sequence
        {
            return false;
        }
        self.settle(now);
        self.heard += 1;
        self.heard_at = Some(now);
        let serial = self.heard;
        self.sums.add(&news);
        let reach = news.reach;
        self.by_age[reach as usize].push_back(HeardReport { peer, serial, heard_at: now, reach });
        let report =
            PeerReport { incarnation, sequence, serial, heard_at: now, is_counted: true, news };
        let replaced = self.reports.insert(peer, report);
        if let Some(replaced) = replaced.filter(|replaced| replaced.is_counted) {
            self.sums.remove(&replaced.news);
        }
        true
    }

    /// True when the table holds a report of this incarnation of `peer`.
    pub fn has_report(&self, peer: &str, incarnation: u64) -> bool {
        let known = self.reports.get(&server_digest(peer));
        known.is_some_and(|report| report.incarnation == incarnation)
    }

    /// What live reports say of the server with `digest`.
    pub fn server(&self, digest: u64, now: Instant) -> ServerSum {
        self.server_looks.set(self.server_looks.get() + 1);
        let mut sum = self.sums.server(digest);
        self.lapsed(now).for_each(|report| sum.remove(&report.news, digest));
        sum
    }

    /// How often [`server`](Self::server) was asked, by which tests bound the
    /// cost of a decision.
    pub fn server_looks(&self) -> u64 {
        self.server_looks.get()
    }

    /// What live reports say of repeats to the service with `digest`.
    pub fn retries(&self, digest: u64, now: Instant) -> PeerRetries {
        PeerRetries { gateways: self.heard(now), count: self.service(digest, now).retries() }
    }

    /// How many requests for the service with `digest` may take room at other
    /// gateways before the first of `own`. Of a line whose first can be on time
    /// that one alone: the next looks for room only once it has been told of. Of
    /// one whose first is late, all: those have waited their turn.
    pub fn waiting_before(&self, digest: u64, own: &QueueUpdate, now: Instant) -> usize {
        if self.other_lines(digest, now).waiting == 0 {
            return 0;
        }
        self.fresh(now)
            .filter_map(|report| {
                let mut line = report.news.line(digest)?;
                let heard = now.saturating_duration_since(report.heard_at);
                line.first_age_ms = line.first_age_ms.saturating_add(heard.as_millis() as u32);
                let before = if line.is_first_late { line.waiting } else { 1 };
                (line.waiting > 0 && line.precedes(own)).then_some(before as usize)
            })
            .sum()
    }

    /// The lines for the service with `digest` at live peers, together.
    pub fn other_lines(&self, digest: u64, now: Instant) -> PeerQueues {
        self.service(digest, now).lines()
    }

    /// True when some live peer has read the store without an outage for the
    /// last `span`.
    pub fn has_read_for(&self, span: Duration, now: Instant) -> bool {
        self.fresh(now).any(|report| report.news.store_calm >= span)
    }

    /// True when this gateway, with digest `own`, is the one to act for all of its
    /// shard: of those that have read the store for `calm` it has the least digest.
    /// More than one may think so; who acts must claim the duty first.
    pub fn is_first(&self, own: u64, calm: Duration, now: Instant) -> bool {
        self.reports
            .iter()
            .filter(|(_, report)| report.is_fresh(now) && report.news.reach == PeerReach::Near)
            .filter(|(_, report)| report.news.store_calm >= calm)
            .all(|(peer, _)| own < *peer)
    }

    /// The gateway named `peer` tells what it has learned, by service.
    pub fn learn(&mut self, peer: &str, mut learned: Vec<(u64, EngineEstimates)>, now: Instant) {
        learned.retain(|(_, of)| of.is_valid());
        self.learned.insert(server_digest(peer), PeerLearning { learned, heard_at: now });
    }

    /// What peers have learned of the service with `digest`.
    pub fn learned(&self, digest: u64) -> impl Iterator<Item = EngineEstimates> {
        let told = self.learned.values().flat_map(|peer| &peer.learned);
        told.filter(move |(service, _)| *service == digest).map(|(_, learned)| *learned)
    }

    /// Peers that a fresh report has come from.
    pub fn heard(&self, now: Instant) -> usize {
        self.fresh(now).count()
    }

    /// Where the gateway with digest `own` stands among those heard.
    pub fn rank(&self, own: u64, now: Instant) -> ReaderRank {
        let mut rank = ReaderRank { peers: 0, before: 0 };
        for (peer, report) in &self.reports {
            if report.is_fresh(now) {
                rank.peers += 1;
                rank.before += usize::from(*peer < own);
            }
        }
        rank
    }

    /// Where the gateway with digest `own` stands among those that may send to `server`, in
    /// rendezvous order; servers are divided into `shards`.
    pub fn limit_rank(&self, own: u64, server: ServerIncarnation, shards: u64) -> LimitRank {
        let mut rank = LimitRank { gateways: 1, before: 0 };
        let own_score = (rendezvous_score(own, server), own);
        for peer in self.reports.keys().filter(|peer| shares_shard(**peer, server, shards)) {
            rank.gateways += 1;
            rank.before += usize::from((rendezvous_score(*peer, server), *peer) < own_score);
        }
        rank
    }

    /// The number of peers in the table, including those whose report is stale.
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// True when the table is empty.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Peers heard within `span`, or within the life of their report.
    pub fn heard_within(&self, span: Duration, now: Instant) -> usize {
        let age = |report: &PeerReport| now.saturating_duration_since(report.heard_at);
        let counts = |report: &&PeerReport| age(report) < span || report.is_fresh(now);
        self.reports.values().filter(counts).count()
    }

    /// True when some peer of another shard is heard.
    pub fn hears_far(&self, now: Instant) -> bool {
        self.fresh(now).any(|report| report.news.reach == PeerReach::Far)
    }

    /// For how long no peer has been heard; `None` while none ever was.
    pub fn unheard_for(&self, now: Instant) -> Option<Duration> {
        self.heard_at.map(|at| now.saturating_duration_since(at))
    }

    /// Peers heard of lately.
    pub fn live_peers(&self, now: Instant) -> usize {
        self.reports
            .values()
            .filter(|report| now.saturating_duration_since(report.heard_at) < PEER_LIFE)
            .count()
    }

    /// Forgets reports of peers that no longer count.
    pub fn forget_old(&mut self, now: Instant) {
        self.settle(now);
        self.learned.retain(|_, peer| now.saturating_duration_since(peer.heard_at) < LEARNING_LIFE);
        self.reports.retain(|_, report| now.saturating_duration_since(report.heard_at) < PEER_LIFE);
    }

    fn service(&self, digest: u64, now: Instant) -> ServiceSum {
        let mut sum = self.sums.service(digest);
        self.lapsed(now).for_each(|report| sum.remove(&report.news, digest));
        sum
    }

    fn fresh(&self, now: Instant) -> impl Iterator<Item = &PeerReport> {
        self.reports.values().filter(move |report| report.is_fresh(now))
    }

    /// Reports that have lapsed and are still part of the sums.
    fn lapsed(&self, now: Instant) -> impl Iterator<Item = &PeerReport> {
        self.by_age
            .iter()
            .flat_map(move |queue| queue.iter().take_while(move |heard| has_lapsed(heard, now)))
            .filter_map(|heard| {
                self.reports.get(&heard.peer).filter(|of| of.serial == heard.serial)
            })
            .filter(|report| report.is_counted)
    }

    /// Takes lapsed reports out of the sums.
    fn settle(&mut self, now: Instant) {
        for queue in &mut self.by_age {
            while let Some(heard) = queue.pop_front_if(|heard| has_lapsed(heard, now)) {
                let Some(report) = self.reports.get_mut(&heard.peer) else { continue };
                if report.serial == heard.serial && report.is_counted {
                    report.is_counted = false;
                    self.sums.remove(&report.news);
                }
            }
        }
    }
}

fn has_lapsed(heard: &HeardReport, now: Instant) -> bool {
    now.saturating_duration_since(heard.heard_at) >= heard.reach.report_life()
}
