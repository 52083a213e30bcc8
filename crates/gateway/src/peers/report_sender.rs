//! Sends load reports: decides who is told what, and when.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use smol::net::UdpSocket;

use super::LoadReport;
use super::PeerGroups;
use super::PeerMessage;
use super::PeerRegistry;
use super::RelayPart;
use super::RemotePeerCycle;
use super::ReportTail;
use super::SendBudget;
use super::UsagePart;
use super::peer_registry::MAX_JOINED_FAR;
use super::peer_registry::MAX_JOINED_NEAR;
use super::report_content::NearReport;
use super::report_content::is_quiet;
use super::report_content::near_report;
use super::report_content::relay_part;
use super::report_content::remote_report;
use super::report_content::report_tail;
use crate::cluster::GOSSIP_INTERVAL;
use crate::cluster::QUIET_REPORT_INTERVAL;
use crate::cluster::REMOTE_REPORT_INTERVAL;
use crate::cluster::remote_report_interval;
use crate::cluster::report_interval;
use crate::link_use::DATAGRAM_HEADERS;
use crate::model::ConfigVersion;
use crate::state::GatewayState;
use crate::timing::with_deadline;

/// Maximum size of a datagram that is sent: about 300 servers with load.
pub(super) const MAX_DATAGRAM: usize = 8 * 1024;
/// Interval between full reports, which add engine estimates: about 80 bytes per service, and slow
/// to change.
const FULL_REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Sends reports to the gateways in `registry` until the process stops: at regular intervals, and
/// at once when a stream starts, ends or is queued.
///
/// Prevents gateways from choosing the same engine's last free slot: with a view that is 200 ms
/// old, a third of the streams of 79 gateways are rejected.
pub async fn send_reports(
    state: Arc<GatewayState>,
    registry: Arc<PeerRegistry>,
    socket: UdpSocket,
) {
    let mut sender = ReportSender::new(state, registry, socket);
    loop {
        let is_change = sender.wait().await;
        sender.send_due(is_change).await;
    }
}

/// Sends the reports of one gateway.
///
/// Its group, which uses the same servers, gets all reports. A random gateway of another group gets
/// one at each [`GOSSIP_INTERVAL`]. All others get reports only if they must hear from each gateway
/// itself.
struct ReportSender {
    state: Arc<GatewayState>,
    registry: Arc<PeerRegistry>,
    socket: UdpSocket,
    budget: SendBudget,
    remote_peer_cycle: RemotePeerCycle,
    full_report_due: Instant,
    /// When the next report to the group is due if nothing happens.
    quiet_report_due: Instant,
    gossip_due: Instant,
    /// When the group is next told which gateways have joined.
    joined_due: Instant,
    /// The last report to the group, as far as it matters while there is no work.
    last: LastReport,
    /// Until when the gateways of all other groups get reports: those that heard of work are to
    /// hear of its end.
    tells_all_until: Instant,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct LastReport {
    is_quiet: bool,
    config: ConfigVersion,
}

impl ReportSender {
    fn new(state: Arc<GatewayState>, registry: Arc<PeerRegistry>, socket: UdpSocket) -> Self {
        let now = Instant::now();
        let link = state.settings.link_bytes_per_s;
        ReportSender {
            state,
            registry,
            socket,
            budget: SendBudget::new(link, now),
            remote_peer_cycle: RemotePeerCycle::new(now),
            full_report_due: now,
            quiet_report_due: now,
            gossip_due: now,
            joined_due: now,
            last: LastReport::default(),
            tells_all_until: now,
        }
    }

    fn groups(&self) -> PeerGroups {
        let shards = self.state.fleet().peer_shards();
        self.registry.groups(&self.state.settings.instance, shards)
    }

    /// Waits until the next report may be due. Returns true if a change is to be told.
    async fn wait(&mut self) -> bool {
        let changed = self.state.report_requested.listen();
        let peers = self.groups().local_shard.len();
        let due = Instant::now() + report_interval(peers);
        let is_change = with_deadline(due, changed).await.is_some();
        if is_change {
            smol::Timer::at(self.budget.send_at(peers, due, Instant::now())).await;
        }
        is_change
    }

    /// Sends the reports that are due.
    async fn send_due(&mut self, is_change: bool) {
        let new_peers = std::mem::take(&mut *self.state.new_peers.lock());
        // Grouped again, since a gateway may have been added to the registry during the wait.
        let PeerGroups { local_shard, remote } = self.groups();
        let now = Instant::now();
        let is_full = !new_peers.is_empty() || now >= self.full_report_due;
        let sequence = self.state.report_sequence.fetch_add(1, Ordering::AcqRel) + 1;
        let NearReport { report, usage } = near_report(&self.state, sequence, is_full, &new_peers);
        let is_sharded = !remote.is_empty();
        let is_quiet = is_sharded && is_quiet(&report) && !self.state.has_organisations();
        let notices = self.state.shared_tables.notices_for_group(now);
        let this = LastReport { is_quiet, config: report.config };
        let is_due = !is_quiet || this != self.last || now >= self.quiet_report_due;
        let tail = report_tail(&self.state);
        let remote_recipients = self.remote_recipients(&remote, &report, now);
        let report_for_remote =
            (!remote_recipients.is_empty()).then(|| remote_report(&report, &self.state));
        if is_change || is_due || !new_peers.is_empty() || !notices.is_empty() {
            if is_full {
                self.full_report_due = now + FULL_REPORT_INTERVAL;
            }
            self.quiet_report_due = now + QUIET_REPORT_INTERVAL;
            self.last = this;
            let max_joined = self.max_joined(local_shard.len(), now);
            let relay = relay_part(&self.state, &self.registry, notices, max_joined);
            let relay = RelayPart { is_quiet, ..relay };
            self.send(report, &tail, &relay, &usage, &local_shard).await;
        }
        if let Some(report) = report_for_remote {
            let notices = self.state.shared_tables.notices_for_remote(now);
            let relay = relay_part(&self.state, &self.registry, notices, MAX_JOINED_FAR);
            self.send(report, &tail, &relay, &UsagePart::default(), &remote_recipients).await;
        }
    }

    /// Returns how many gateways that have joined the report to `peers` gateways of the group names:
    /// one report in each regular interval does, whatever the number of changes.
    fn max_joined(&mut self, peers: usize, now: Instant) -> usize {
        if now < self.joined_due {
            return 0;
        }
        self.joined_due = now + report_interval(peers);
        MAX_JOINED_NEAR
    }

    /// Returns the gateways of other groups that get a report now.
    fn remote_recipients(
        &mut self,
        remote: &[SocketAddr],
        report: &LoadReport,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let mut recipients = Vec::new();
        let interval = remote_report_interval(remote.len());
        if self.must_tell_all(remote.len(), report) {
            self.tells_all_until = now + interval;
        }
        if now < self.tells_all_until {
            recipients = self.remote_peer_cycle.next(remote, interval, now);
        } else {
            self.remote_peer_cycle.restart(now);
        }
        let mut greeted_peers = self.state.greeted_peers.lock();
        recipients.extend(std::mem::take(&mut *greeted_peers));
        drop(greeted_peers);
        if now >= self.gossip_due {
            self.gossip_due = now + GOSSIP_INTERVAL;
            recipients.extend(fastrand::choice(remote));
        }
        recipients
    }

    /// Returns true if the `remote` gateways of other groups need this gateway's own reports: what
    /// all divide among each other by counting each one's use, and, unless there are too many to
    /// tell them in time, load on servers that all of them use.
    fn must_tell_all(&self, remote: usize, report: &LoadReport) -> bool {
        let is_in_time = remote_report_interval(remote) == REMOTE_REPORT_INTERVAL;
        let has_shared_loads = is_in_time && !self.state.fleet().local_loads_for_peers().is_empty();
        self.state.has_organisations() || has_shared_loads || !report.limits.is_empty()
    }

    async fn send(
        &mut self,
        report: LoadReport,
        tail: &ReportTail,
        relay: &RelayPart,
        usage: &UsagePart,
        peers: &[SocketAddr],
    ) {
        let reach: &'static str = report.reach.into();
        let tunnel = self.state.tunnel_offer();
        let mut message = PeerMessage::Load(Box::new(report));
        let datagram = message.encode_report(tail, relay, &tunnel, usage);
        if datagram.len() > MAX_DATAGRAM {
            metrics::counter!("umberglade_reports_oversize_total").increment(1);
            return;
        }
        metrics::counter!("umberglade_reports_sent_total", "reach" => reach)
            .increment(peers.len() as u64);
        metrics::counter!("umberglade_report_bytes_total", "reach" => reach)
            .increment((datagram.len() * peers.len()) as u64);
        let bytes = (datagram.len() + DATAGRAM_HEADERS) * peers.len();
        self.state.link_use.reports.add(bytes);
        self.budget.record_sent(bytes, Instant::now());
        for address in peers {
            // The next report makes up for a lost one.
            let _ = self.socket.send_to(&datagram, address).await;
        }
    }
}
