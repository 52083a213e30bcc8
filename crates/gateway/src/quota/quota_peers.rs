//! Counts the peers that share quotas with this gateway.

use std::time::Duration;
use std::time::Instant;

use crate::cluster::QuotaView;
use crate::cluster::remote_report_interval;
use crate::cluster::report_interval;
use crate::state::GatewayState;

/// A peer without a report for longer does not count when units of a quota are granted. Four
/// reports arrive in this time at the longest report interval, so that lost ones change little.
const QUOTA_PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between counts of the peers; each count scans all reports.
const COUNT_INTERVAL: Duration = Duration::from_millis(50);
/// Time from sending a report until the peer has applied it.
const REPORT_DELAY: Duration = Duration::from_millis(10);

/// Peers at the time of the last count.
#[derive(Debug, Clone, Copy)]
pub struct QuotaPeers {
    counted_at: Instant,
    live_peers: usize,
    /// True when some peers belong to another shard, with which reports are exchanged at longer
    /// intervals.
    has_remote: bool,
    /// Up to when what peers did is known, in the mean.
    known_until: Option<Instant>,
}

impl GatewayState {
    /// Returns how long the process has run.
    pub fn age(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Returns this gateway's view of its peers for granting units of a quota.
    pub fn quota_view(&self) -> QuotaView {
        let now = Instant::now();
        let QuotaPeers { live_peers, has_remote, known_until, .. } = self.quota_peers(now);
        let since_last_report = self.fleet().peers.since_last_report(now);
        let interval = match has_remote {
            true => remote_report_interval(self.members()),
            false => report_interval(live_peers),
        };
        let report_age = interval + REPORT_DELAY;
        let known_age = known_until.map(|at| now.saturating_duration_since(at));
        QuotaView {
            live_peers,
            gateways: self.members(),
            report_age,
            known_age: known_age.unwrap_or_default().max(report_age),
            since_last_report: since_last_report.unwrap_or(Duration::MAX).max(report_age),
            window: self.settings.quota_window,
            overage: self.settings.quota_overage,
            slack: self.settings.quota_slack,
        }
    }

    /// Returns the peers that share quotas with this gateway, counted again after
    /// [`COUNT_INTERVAL`].
    fn quota_peers(&self, now: Instant) -> QuotaPeers {
        let last_count = *self.quota_peers.lock();
        let is_recent =
            |peers: &QuotaPeers| now.saturating_duration_since(peers.counted_at) < COUNT_INTERVAL;
        if let Some(peers) = last_count.filter(is_recent) {
            return peers;
        }
        let known_until = self.quotas.known_until(now);
        let peers = {
            let fleet = self.fleet();
            let live_peers = fleet.peers.reporting_within(QUOTA_PEER_TIMEOUT, now);
            let has_remote = fleet.peers.has_remote_peer(now);
            QuotaPeers { counted_at: now, live_peers, has_remote, known_until }
        };
        *self.quota_peers.lock() = Some(peers);
        peers
    }
}
