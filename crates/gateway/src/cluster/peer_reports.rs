//! The newest report of each peer, and totals over all of them.

use std::cell::Cell;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashMap;

use super::EngineEstimates;
use super::LimitRank;
use super::PeerQueues;
use super::PeerReach;
use super::PeerTotals;
use super::PeerUpdate;
use super::QueueUpdate;
use super::ReaderRank;
use super::ServerTotals;
use super::ServiceTotals;
use super::TunnelPeer;
use super::rendezvous_score::rendezvous_score;
use super::shares_shard;
use crate::model::ServerIncarnation;

/// How long a peer counts as live after its last report, unless that is valid for longer.
const PEER_RETENTION: Duration = Duration::from_secs(5);

/// How long a peer's estimates are used. They are reported every two seconds and change slowly; a
/// restarted peer has none for a while.
const ESTIMATES_TTL: Duration = Duration::from_secs(30);

/// The digest of a gateway's name.
type PeerDigest = u64;

/// Returns the digest of the name of a gateway or service. Load reports carry digests, which take
/// 8 bytes instead of about 12.
pub fn name_digest(name: &str) -> u64 {
    umberglade_wire::digest(name.as_bytes())
}

#[derive(Debug)]
struct PeerReport {
    incarnation: u64,
    sequence: u64,
    /// Consecutive number of this report among all received ones.
    serial: u64,
    received_at: Instant,
    /// True while this report is included in the totals.
    is_counted: bool,
    update: PeerUpdate,
}

impl PeerReport {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received_at) < self.update.lifetime()
    }

    fn is_live(&self, now: Instant) -> bool {
        let retention = self.update.lifetime().max(PEER_RETENTION);
        now.saturating_duration_since(self.received_at) < retention
    }
}

/// A received report, as listed in [`PeerReports::by_age`].
#[derive(Debug, Clone, Copy)]
struct ReceivedReport {
    peer: PeerDigest,
    serial: u64,
    received_at: Instant,
    lifetime: Duration,
}

/// Reports of one class are valid for the same time, so that they expire in the order in which they
/// were received.
#[derive(Debug, Clone, Copy)]
enum ReportClass {
    Near,
    Far,
    Quiet,
}

impl ReportClass {
    const COUNT: usize = 3;

    fn of(update: &PeerUpdate) -> Self {
        match (update.is_quiet, update.reach) {
            (true, _) => ReportClass::Quiet,
            (false, PeerReach::Near) => ReportClass::Near,
            (false, PeerReach::Far) => ReportClass::Far,
        }
    }
}

/// A peer's estimates, by service.
#[derive(Debug)]
struct PeerEstimates {
    estimates: Vec<(u64, EngineEstimates)>,
    as_of: Instant,
}

/// The newest report of each peer.
///
/// A report is valid for its [`PeerUpdate::lifetime`]. Expired reports are subtracted from
/// the totals when the next report arrives or at the next tick; until then each lookup subtracts
/// them, so that the result is exact at any moment.
#[derive(Debug, Default)]
pub struct PeerReports {
    reports: FxHashMap<PeerDigest, PeerReport>,
    totals: PeerTotals,
    /// Invariant: holds every report that is included in the totals, one queue per report lifetime,
    /// oldest first. Some entries belong to reports that newer ones have replaced.
    by_age: [VecDeque<ReceivedReport>; ReportClass::COUNT],
    received: u64,
    /// When the newest report arrived.
    received_at: Option<Instant>,
    estimates: FxHashMap<PeerDigest, PeerEstimates>,
    /// Number of lookups of a server's totals so far.
    server_lookups: Cell<u64>,
}

impl PeerReports {
    /// Records a report; returns false if it is older than the one known.
    ///
    /// Prevents datagrams that overtake each other from restoring an older count until the next
    /// report. Sequence numbers are compared within one incarnation only.
    pub fn record(
        &mut self,
        peer: &str,
        incarnation: u64,
        sequence: u64,
        update: PeerUpdate,
        now: Instant,
    ) -> bool {
        let peer = name_digest(peer);
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
        let lifetime = update.lifetime();
        self.by_age[ReportClass::of(&update) as usize].push_back(ReceivedReport {
            peer,
            serial,
            received_at: now,
            lifetime,
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

    /// Returns true if a fresh report of the gateway with digest `peer` is known.
    pub fn is_fresh(&self, peer: u64, now: Instant) -> bool {
        self.reports.get(&peer).is_some_and(|report| report.is_fresh(now))
    }

    /// Returns true if a report of this incarnation of `peer` is known.
    pub fn has_report(&self, peer: &str, incarnation: u64) -> bool {
        let known = self.reports.get(&name_digest(peer));
        known.is_some_and(|report| report.incarnation == incarnation)
    }

    /// Returns the totals of fresh reports for the server with `digest`.
    pub fn server(&self, digest: u64, now: Instant) -> ServerTotals {
        self.server_lookups.set(self.server_lookups.get() + 1);
        let mut totals = self.totals.server(digest);
        self.expired(now).for_each(|report| totals.remove(&report.update, digest));
        totals
    }

    /// Returns the number of calls of [`server`](Self::server), by which tests bound the cost of a
    /// decision.
    pub fn server_lookups(&self) -> u64 {
        self.server_lookups.get()
    }

    /// Returns the number of peers of the group with a fresh report.
    pub fn fresh_near_count(&self, now: Instant) -> usize {
        self.fresh(now).filter(|report| report.update.reach == PeerReach::Near).count()
    }

    /// Returns how many requests for the service with `digest` are entitled to capacity at peers
    /// before the head of the `local` queue.
    ///
    /// Where the head of a peer's queue can meet its latency target, only that head counts: the
    /// next request looks for capacity only after it has been reported. Where the head is past its
    /// target, the whole queue counts, because all of its requests have waited.
    pub fn queued_ahead(&self, digest: u64, local: &QueueUpdate, now: Instant) -> usize {
        if self.queues(digest, now).waiting == 0 {
            return 0;
        }
        self.fresh(now)
            .filter_map(|report| {
                let mut queue = report.update.queue(digest)?;
                let age = now.saturating_duration_since(report.received_at);
                queue.first_age_ms = queue.first_age_ms.saturating_add(age.as_millis() as u32);
                let ahead = if queue.is_first_late { queue.waiting } else { 1 };
                (queue.waiting > 0 && queue.precedes(local)).then_some(ahead as usize)
            })
            .sum()
    }

    /// Returns the combined queues, for the service with `digest`, of peers with a fresh report.
    pub fn queues(&self, digest: u64, now: Instant) -> PeerQueues {
        self.service(digest, now).queues()
    }

    /// Returns the number of peers with a fresh report in which requests wait for the service with
    /// `digest`.
    pub fn queue_count(&self, digest: u64, now: Instant) -> u32 {
        self.service(digest, now).queue_count()
    }

    /// Forgets for how long peers have read the store without an outage, until they report again.
    pub fn forget_store_stability(&mut self) {
        for report in self.reports.values_mut() {
            report.update.store_stable_for = Duration::ZERO;
        }
    }

    /// Returns true if a peer with a fresh report has read the store without an outage for the last
    /// `span`.
    pub fn is_store_stable_at_any_peer(&self, span: Duration, now: Instant) -> bool {
        self.fresh(now).any(|report| report.update.store_stable_for >= span)
    }

    /// Returns true if this gateway, with digest `local`, should act for its whole shard: it has
    /// the lowest digest of the gateways that have read the store for `stable_for` and reach servers.
    ///
    /// Several gateways may get true at the same time, so a candidate must claim leadership before
    /// it acts.
    pub fn is_leader_candidate(&self, local: u64, stable_for: Duration, now: Instant) -> bool {
        self.reports
            .iter()
            .filter(|(_, report)| report.is_fresh(now) && report.update.reach == PeerReach::Near)
            .filter(|(_, report)| report.update.store_stable_for >= stable_for)
            .filter(|(_, report)| !report.update.is_cut())
            .all(|(peer, _)| local < *peer)
    }

    /// Returns the peers that forward connections to `server`.
    pub fn tunnel_peers(
        &self,
        server: ServerIncarnation,
        now: Instant,
    ) -> impl Iterator<Item = TunnelPeer> {
        self.reports.iter().filter(move |(_, report)| report.is_fresh(now)).filter_map(
            move |(peer, report)| {
                let (address, offer) = report.update.tunnel.as_ref()?;
                let is_usable = offer.is_open && offer.paths.reaches(server);
                is_usable.then_some(TunnelPeer {
                    peer: *peer,
                    address: *address,
                    tunnels: offer.tunnels,
                })
            },
        )
    }

    /// Records the estimates that the gateway named `peer` reports, by service.
    pub fn record_estimates(
        &mut self,
        peer: &str,
        mut estimates: Vec<(u64, EngineEstimates)>,
        now: Instant,
    ) {
        estimates.retain(|(_, estimate)| estimate.is_valid());
        self.estimates.insert(name_digest(peer), PeerEstimates { estimates, as_of: now });
    }

    /// Returns the estimates of peers for the service with `digest`.
    pub fn estimates(&self, digest: u64) -> impl Iterator<Item = EngineEstimates> {
        let reported = self.estimates.values().flat_map(|peer| &peer.estimates);
        reported.filter(move |(service, _)| *service == digest).map(|(_, estimates)| *estimates)
    }

    /// Returns the number of peers with a fresh report.
    pub fn fresh_count(&self, now: Instant) -> usize {
        self.fresh(now).count()
    }

    /// Returns the rank of the gateway with digest `local` among the peers with a fresh report.
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

    /// Returns the rank of the gateway with digest `local` among those that may send to `server`,
    /// in rendezvous order; servers are divided into `shards`.
    pub fn limit_rank(&self, local: u64, server: ServerIncarnation, shards: u64) -> LimitRank {
        let mut rank = LimitRank { gateways: 1, before: 0 };
        let local_score = (rendezvous_score(local, server), local);
        for peer in self.reports.keys().filter(|peer| shares_shard(**peer, server, shards)) {
            rank.gateways += 1;
            rank.before += usize::from((rendezvous_score(*peer, server), *peer) < local_score);
        }
        rank
    }

    /// Returns the number of known peers, including those whose report has expired.
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Returns the number of peers whose last report is younger than `span` or still fresh.
    pub fn reporting_within(&self, span: Duration, now: Instant) -> usize {
        let age = |report: &PeerReport| now.saturating_duration_since(report.received_at);
        let counts = |report: &&PeerReport| age(report) < span || report.is_fresh(now);
        self.reports.values().filter(counts).count()
    }

    /// Returns true if a peer of another shard has a fresh report.
    pub fn has_remote_peer(&self, now: Instant) -> bool {
        self.fresh(now).any(|report| report.update.reach == PeerReach::Far)
    }

    /// Returns the time since the last report of any peer; `None` if there has been none.
    pub fn since_last_report(&self, now: Instant) -> Option<Duration> {
        self.received_at.map(|at| now.saturating_duration_since(at))
    }

    /// Returns the number of peers that have reported within `PEER_RETENTION`.
    pub fn live_peers(&self, now: Instant) -> usize {
        self.reports.values().filter(|report| report.is_live(now)).count()
    }

    /// Removes reports and estimates whose retention has passed.
    pub fn remove_expired(&mut self, now: Instant) {
        self.subtract_expired(now);
        self.estimates.retain(|_, peer| now.saturating_duration_since(peer.as_of) < ESTIMATES_TTL);
        self.reports.retain(|_, report| report.is_live(now));
    }

    fn service(&self, digest: u64, now: Instant) -> ServiceTotals {
        let mut totals = self.totals.service(digest);
        self.expired(now).for_each(|report| totals.remove(&report.update, digest));
        totals
    }

    fn fresh(&self, now: Instant) -> impl Iterator<Item = &PeerReport> {
        self.reports.values().filter(move |report| report.is_fresh(now))
    }

    /// Returns the expired reports that are still included in the totals.
    fn expired(&self, now: Instant) -> impl Iterator<Item = &PeerReport> {
        self.by_age
            .iter()
            .flat_map(move |queue| queue.iter().take_while(move |entry| has_expired(entry, now)))
            .filter_map(|entry| {
                self.reports.get(&entry.peer).filter(|report| report.serial == entry.serial)
            })
            .filter(|report| report.is_counted)
    }

    /// Subtracts expired reports from the totals.
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
    now.saturating_duration_since(entry.received_at) >= entry.lifetime
}
