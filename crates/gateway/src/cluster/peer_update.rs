//! The content of one gateway's report.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use strum::IntoStaticStr;

use super::LoadShare;
use super::QueueUpdate;
use super::TunnelOffer;
use crate::model::ConfigVersion;

/// How long a report of a quiet peer is valid: three of them arrive within it.
const QUIET_REPORT_LIFETIME: Duration = Duration::from_millis(6400);

/// Whether the receiver of a report is in the sender's shard.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, IntoStaticStr, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum PeerReach {
    /// In the same shard: receives a report of each change.
    #[default]
    Near,
    /// In another shard: receives reports at longer intervals, without what only concerns the
    /// sender's shard.
    Far,
}

impl PeerReach {
    /// Returns how long a report is valid.
    ///
    /// For the same shard this is a dozen reports at a small site, and two at the longest interval
    /// of 250 ms, so that a lost datagram has no effect. Work of a peer that died ends with its
    /// connections, within about the same time. Remote peers get three reports within a lifetime.
    pub fn report_lifetime(self) -> Duration {
        match self {
            PeerReach::Near => Duration::from_millis(600),
            PeerReach::Far => Duration::from_millis(3200),
        }
    }
}

/// The content of one report. Servers and services are identified by their digests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerUpdate {
    pub reach: PeerReach,
    /// Load at each server that has any.
    pub loads: Vec<(u64, LoadShare)>,
    /// Servers that the peer has ejected.
    pub ejected: SmallVec<[u64; 4]>,
    /// Requests queued for engine capacity, by service.
    pub queues: SmallVec<[(u64, QueueUpdate); 1]>,
    /// How long the peer has read the server table without an outage.
    pub store_stable_for: Duration,
    /// Engines that the peer has ordered to change their stage.
    pub stage_changes: SmallVec<[u64; 4]>,
    /// Version of the configuration in force at the peer; 0 if it has none.
    pub config: ConfigVersion,
    /// True if the peer has no work and reports to its group less often meanwhile.
    pub is_quiet: bool,
    /// The peer's offer of tunnels, and the address at which to ask for them; `None` from gateways
    /// of the previous build.
    pub tunnel: Option<(SocketAddr, TunnelOffer)>,
}

impl PeerUpdate {
    /// Returns how long the report is valid.
    pub fn lifetime(&self) -> Duration {
        if self.is_quiet { QUIET_REPORT_LIFETIME } else { self.reach.report_lifetime() }
    }

    /// Returns true if the peer reaches less than half of the servers that it uses.
    pub fn is_cut(&self) -> bool {
        self.tunnel.as_ref().is_some_and(|(_, offer)| offer.paths.is_cut)
    }

    /// Returns the peer's queue for the service with `digest`.
    pub fn queue(&self, digest: u64) -> Option<QueueUpdate> {
        self.queues.iter().find(|(service, _)| *service == digest).map(|(_, queue)| *queue)
    }
}
