//! What one gateway's report tells the others.

use std::time::Duration;

use smallvec::SmallVec;

use super::LineNews;
use super::LoadShare;
use super::RetryCount;
use crate::model::ConfigVersion;

/// What one report says. Servers and services are named by their digests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerNews {
    /// Work at each server that has any.
    pub loads: Vec<(u64, LoadShare)>,
    /// Requests and repeats, by service.
    pub retries: Vec<(u64, RetryCount)>,
    /// Servers the peer passes over.
    pub aside: SmallVec<[u64; 4]>,
    /// Requests that wait for engines' room, by service.
    pub lines: SmallVec<[(u64, LineNews); 1]>,
    /// For how long the peer has read the servers' table without an outage.
    pub store_calm: Duration,
    /// Engines that the peer has told to change their stage.
    pub changing: SmallVec<[u64; 4]>,
    /// The configuration in force at the peer; 0 while it knows none.
    pub config: ConfigVersion,
}

impl PeerNews {
    /// The peer's line for the service with `digest`.
    pub fn line(&self, digest: u64) -> Option<LineNews> {
        self.lines.iter().find(|(service, _)| *service == digest).map(|(_, line)| *line)
    }
}
