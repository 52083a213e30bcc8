//! What one gateway's report tells the others.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use strum::IntoStaticStr;

use super::LoadShare;
use super::QueueUpdate;
use super::RetryCount;
use crate::model::ConfigVersion;

/// How close a gateway is to the one that tells it something.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, IntoStaticStr, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum PeerReach {
    /// Of the same shard: told of each change.
    #[default]
    Near,
    /// Told now and then, without what only concerns the teller's shard.
    Far,
}

impl PeerReach {
    /// How long a report counts: a dozen reports at the pace of a small site, and
    /// two at the slowest of one each 250 ms, so that a lost datagram changes
    /// nothing. Work of a peer that died ends with its connections, within about as
    /// long. Far ones are told three times in their report's life.
    pub fn report_lifetime(self) -> Duration {
        match self {
            PeerReach::Near => Duration::from_millis(600),
            PeerReach::Far => Duration::from_millis(3200),
        }
    }
}

/// What one report says. Servers and services are named by their digests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerUpdate {
    pub reach: PeerReach,
    /// Work at each server that has any.
    pub loads: Vec<(u64, LoadShare)>,
    /// Requests and repeats, by service.
    pub retries: Vec<(u64, RetryCount)>,
    /// Servers the peer passes over.
    pub aside: SmallVec<[u64; 4]>,
    /// Requests that wait for engines' room, by service.
    pub lines: SmallVec<[(u64, QueueUpdate); 1]>,
    /// For how long the peer has read the servers' table without an outage.
    pub store_calm: Duration,
    /// Engines that the peer has told to change their stage.
    pub changing: SmallVec<[u64; 4]>,
    /// The configuration in force at the peer; 0 while it knows none.
    pub config: ConfigVersion,
}

impl PeerUpdate {
    /// The peer's line for the service with `digest`.
    pub fn queue(&self, digest: u64) -> Option<QueueUpdate> {
        self.lines.iter().find(|(service, _)| *service == digest).map(|(_, queue)| *queue)
    }
}
