//! The gateways that share quotas with this one.

use std::time::Duration;
use std::time::Instant;

use crate::cluster::QuotaView;
use crate::cluster::REMOTE_REPORT_INTERVAL;
use crate::cluster::report_interval;
use crate::state::GatewayState;

/// A gateway not heard for longer does not count when a quota is given out: four
/// reports at the slowest pace, so that lost ones change little.
const QUOTA_PEER_LIFE: Duration = Duration::from_secs(1);
/// Between two counts of them, each of which looks at all reports.
const COUNT_PAUSE: Duration = Duration::from_millis(50);
/// From a report's sending until it is taken in.
const REPORT_DELAY: Duration = Duration::from_millis(10);

/// Other gateways as they were counted.
#[derive(Debug, Clone, Copy)]
pub struct QuotaPeers {
    counted_at: Instant,
    heard: usize,
    /// True when some are of another shard, and told rarely.
    hears_far: bool,
}

impl GatewayState {
    /// For how long the process has run.
    pub fn age(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// What this gateway sees of the others when it gives out a quota.
    pub fn quota_view(&self) -> QuotaView {
        let now = Instant::now();
        let QuotaPeers { heard, hears_far, .. } = self.quota_peers(now);
        let unheard_for = self.fleet().peers.since_last_report(now);
        let pace = if hears_far { REMOTE_REPORT_INTERVAL } else { report_interval(heard) };
        let report_age = pace + REPORT_DELAY;
        QuotaView {
            heard,
            members: self.members(),
            report_age,
            unheard_for: unheard_for.unwrap_or(Duration::MAX).max(report_age),
            window: self.settings.quota_window,
            overage: self.settings.quota_overage,
            slack: self.settings.quota_slack,
        }
    }

    /// Other gateways that share quotas with this one, counted now and then.
    fn quota_peers(&self, now: Instant) -> QuotaPeers {
        let known = *self.quota_peers.lock().expect("quota peers lock");
        let is_recent =
            |of: &QuotaPeers| now.saturating_duration_since(of.counted_at) < COUNT_PAUSE;
        if let Some(peers) = known.filter(is_recent) {
            return peers;
        }
        let peers = {
            let fleet = self.fleet();
            let heard = fleet.peers.reporting_within(QUOTA_PEER_LIFE, now);
            QuotaPeers { counted_at: now, heard, hears_far: fleet.peers.has_remote_peer(now) }
        };
        *self.quota_peers.lock().expect("quota peers lock") = Some(peers);
        peers
    }
}
