//! What the other gateways tell: their newest reports, and totals over them.

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
use super::ServerTotals;
use super::ServiceTotals;
use super::rendezvous_score::rendezvous_score;
use super::shares_shard;
use crate::model::ServerIncarnation;

/// After this long without a report a peer no longer counts as live.
const PEER_RETENTION: Duration = Duration::from_secs(5);

/// How long what a peer has estimates counts: it is told each two seconds and
/// changes slowly; a peer that has started anew knows nothing for a while.
const ESTIMATES_TTL: Duration = Duration::from_secs(30);

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
    /// Which report this was of all entry.
    serial: u64,
    received_at: Instant,
    /// True while it is part of the totals.
    is_counted: bool,
    update: PeerUpdate,
}

impl PeerReport {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received_at) < self.update.reach.report_lifetime()
    }
}

/// A report as it was entry.
#[derive(Debug, Clone, Copy)]
struct ReceivedReport {
    peer: PeerDigest,
    serial: u64,
    received_at: Instant,
    reach: PeerReach,
}

/// What a peer has estimates, by service.
#[derive(Debug)]
struct PeerEstimates {
    estimates: Vec<(u64, EngineEstimates)>,
    as_of: Instant,
}

/// The newest report of each peer.
///
/// Reports count for their [`PeerReach::report_lifetime`]. Those that have expired are taken out of
/// the totals when the next report comes or at the next tick; until then a look
/// at the totals subtracts them, so that what is read is exact at any moment.
#[derive(Debug, Default)]
pub struct PeerReports {
    reports: FxHashMap<PeerDigest, PeerReport>,
    totals: PeerTotals,
    /// Invariant: all reports in the totals, those of one life in one queue, oldest
    /// first; some entries stand for reports that newer ones have replaced.
    by_age: [VecDeque<ReceivedReport>; 2],
    received: u64,
    /// When the newest report came.
    received_at: Option<Instant>,
    estimates: FxHashMap<PeerDigest, PeerEstimates>,
    /// Looks at a server's sum so far.
    server_lookups: Cell<u64>,
}

impl PeerReports {
    /// Takes in a report; false when it is older than the one known.
    ///
    /// Guards against datagrams that overtake each other: an older count
    /// would stand until the next report. A new incarnation starts anew.
    pub fn record(
        &mut self,
        peer: &str,
        incarnation: u64,
        sequence: u64,
        update: PeerUpdate,
        now: Instant,
    ) -> bool {
        let peer = server_digest(peer);
        if let Some(known) = self.reports.get(&peer)
            && known.incarnation == incarnation
            && known.sequence >= sequence
        {
            return false;
        }
        self.subtract_expired(now);
        self.received += 1;
        self.received_at = Some(now);
        let serial = self.received;
        self.totals.add(&update);
        let reach = update.reach;
        self.by_age[reach as usize].push_back(ReceivedReport {
            peer,
            serial,
            received_at: now,
            reach,
        });
        let report = PeerReport {
            incarnation,
            sequence,
            serial,
            received_at: now,
            is_counted: true,
            update,
        };
        let replaced = self.reports.insert(peer, report);
        if let Some(replaced) = replaced.filter(|replaced| replaced.is_counted) {
            self.totals.remove(&replaced.update);
        }
        true
    }

    /// True when the table holds a report of this incarnation of `peer`.
    pub fn has_report(&self, peer: &str, incarnation: u64) -> bool {
        let known = self.reports.get(&server_digest(peer));
        known.is_some_and(|report| report.incarnation == incarnation)
    }

    /// What live reports say of the server with `digest`.
    pub fn server(&self, digest: u64, now: Instant) -> ServerTotals {
        self.server_lookups.set(self.server_lookups.get() + 1);
        let mut sum = self.totals.server(digest);
        self.expired(now).for_each(|report| sum.remove(&report.update, digest));
        sum
    }

    /// How often [`server`](Self::server) was asked, by which tests bound the
    /// cost of a decision.
    pub fn server_lookups(&self) -> u64 {
        self.server_lookups.get()
    }

    /// What live reports say of repeats to the service with `digest`.
    pub fn retries(&self, digest: u64, now: Instant) -> PeerRetries {
        PeerRetries { gateways: self.fresh_count(now), count: self.service(digest, now).retries() }
    }

    /// How many requests for the service with `digest` may take room at other
    /// gateways before the first of `own`. Of a queue whose first can be on time
    /// that one alone: the next looks for room only once it has been told of. Of
    /// one whose first is late, all: those have waited their turn.
    pub fn queued_ahead(&self, digest: u64, local: &QueueUpdate, now: Instant) -> usize {
        if self.queues(digest, now).waiting == 0 {
            return 0;
        }
        self.fresh(now)
            .filter_map(|report| {
                let mut queue = report.update.queue(digest)?;
                let entry = now.saturating_duration_since(report.received_at);
                queue.first_age_ms = queue.first_age_ms.saturating_add(entry.as_millis() as u32);
                let ahead = if queue.is_first_late { queue.waiting } else { 1 };
                (queue.waiting > 0 && queue.goes_before(local)).then_some(ahead as usize)
            })
            .sum()
    }

    /// The lines for the service with `digest` at live peers, together.
    pub fn queues(&self, digest: u64, now: Instant) -> PeerQueues {
        self.service(digest, now).queues()
    }

    /// True when some live peer has read the store without an outage for the
    /// last `span`.
    pub fn is_store_stable_at_a_peer(&self, span: Duration, now: Instant) -> bool {
        self.fresh(now).any(|report| report.update.store_calm >= span)
    }

    /// True when this gateway, with digest `own`, is the one to act for all of its
    /// shard: of those that have read the store for `calm` it has the least digest.
    /// More than one may think so; who acts must claim the duty first.
    pub fn is_leader_candidate(&self, local: u64, stable_for: Duration, now: Instant) -> bool {
        self.reports
            .iter()
            .filter(|(_, report)| report.is_fresh(now) && report.update.reach == PeerReach::Near)
            .filter(|(_, report)| report.update.store_calm >= stable_for)
            .all(|(peer, _)| local < *peer)
    }

    /// The gateway named `peer` tells what it has estimates, by service.
    pub fn record_estimates(
        &mut self,
        peer: &str,
        mut estimates: Vec<(u64, EngineEstimates)>,
        now: Instant,
    ) {
        estimates.retain(|(_, of)| of.is_reliable());
        self.estimates.insert(server_digest(peer), PeerEstimates { estimates, as_of: now });
    }

    /// What peers have estimates of the service with `digest`.
    pub fn estimates(&self, digest: u64) -> impl Iterator<Item = EngineEstimates> {
        let reported = self.estimates.values().flat_map(|peer| &peer.estimates);
        reported.filter(move |(service, _)| *service == digest).map(|(_, estimates)| *estimates)
    }

    /// Peers that a fresh report has come from.
    pub fn fresh_count(&self, now: Instant) -> usize {
        self.fresh(now).count()
    }

    /// Where the gateway with digest `own` stands among those entry.
    pub fn rank(&self, local: u64, now: Instant) -> ReaderRank {
        let mut rank = ReaderRank { peers: 0, peers_before: 0 };
        for (peer, report) in &self.reports {
            if report.is_fresh(now) {
                rank.peers += 1;
                rank.peers_before += usize::from(*peer < local);
            }
        }
        rank
    }

    /// Where the gateway with digest `own` stands among those that may send to `server`, in
    /// rendezvous order; servers are divided into `shards`.
    pub fn limit_rank(&self, local: u64, server: ServerIncarnation, shards: u64) -> LimitRank {
        let mut rank = LimitRank { gateways: 1, before: 0 };
        let local_score = (rendezvous_score(local, server), local);
        for peer in self.reports.keys().filter(|peer| shares_shard(**peer, server, shards)) {
            rank.gateways += 1;
            rank.before += usize::from((rendezvous_score(*peer, server), *peer) < local_score);
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

    /// Peers entry within `span`, or within the life of their report.
    pub fn reporting_within(&self, span: Duration, now: Instant) -> usize {
        let age = |report: &PeerReport| now.saturating_duration_since(report.received_at);
        let counts = |report: &&PeerReport| age(report) < span || report.is_fresh(now);
        self.reports.values().filter(counts).count()
    }

    /// True when some peer of another shard is entry.
    pub fn has_remote_peer(&self, now: Instant) -> bool {
        self.fresh(now).any(|report| report.update.reach == PeerReach::Far)
    }

    /// For how long no peer has been entry; `None` while none ever was.
    pub fn since_last_report(&self, now: Instant) -> Option<Duration> {
        self.received_at.map(|at| now.saturating_duration_since(at))
    }

    /// Peers entry of lately.
    pub fn live_peers(&self, now: Instant) -> usize {
        self.reports
            .values()
            .filter(|report| now.saturating_duration_since(report.received_at) < PEER_RETENTION)
            .count()
    }

    /// Forgets reports of peers that no longer count.
    pub fn remove_expired(&mut self, now: Instant) {
        self.subtract_expired(now);
        self.estimates.retain(|_, peer| now.saturating_duration_since(peer.as_of) < ESTIMATES_TTL);
        self.reports
            .retain(|_, report| now.saturating_duration_since(report.received_at) < PEER_RETENTION);
    }

    fn service(&self, digest: u64, now: Instant) -> ServiceTotals {
        let mut sum = self.totals.service(digest);
        self.expired(now).for_each(|report| sum.remove(&report.update, digest));
        sum
    }

    fn fresh(&self, now: Instant) -> impl Iterator<Item = &PeerReport> {
        self.reports.values().filter(move |report| report.is_fresh(now))
    }

    /// Reports that have expired and are still part of the totals.
    fn expired(&self, now: Instant) -> impl Iterator<Item = &PeerReport> {
        self.by_age
            .iter()
            .flat_map(move |queue| queue.iter().take_while(move |entry| has_expired(entry, now)))
            .filter_map(|entry| {
                self.reports.get(&entry.peer).filter(|report| report.serial == entry.serial)
            })
            .filter(|report| report.is_counted)
    }

    /// Takes expired reports out of the totals.
    fn subtract_expired(&mut self, now: Instant) {
        for queue in &mut self.by_age {
            while let Some(entry) = queue.pop_front_if(|entry| has_expired(entry, now)) {
                let Some(report) = self.reports.get_mut(&entry.peer) else { continue };
                if report.serial == entry.serial && report.is_counted {
                    report.is_counted = false;
                    self.totals.remove(&report.update);
                }
            }
        }
    }
}

fn has_expired(entry: &ReceivedReport, now: Instant) -> bool {
    now.saturating_duration_since(entry.received_at) >= entry.reach.report_lifetime()
}
