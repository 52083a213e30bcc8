//! What gateways tell each other of their admission queues.

use std::cmp::Reverse;

use serde::Deserialize;
use serde::Serialize;

/// State of a queue as reported to peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueUpdate {
    pub waiting: u32,
    /// Those of them that can still be within their latency target.
    pub on_time: u32,
    /// How long the head of the queue has been waiting, counted from its caller's first request.
    pub first_age_ms: u32,
    /// True when the head of the queue can no longer be within its latency target.
    pub is_first_late: bool,
    /// See [`QueueRequest::occupancy`].
    pub first_occupancy: u64,
    /// Requests placed per 1,000 seconds.
    pub pace_milli: u32,
    /// New requests per 1,000 seconds.
    pub arrivals_milli: u32,
}

impl QueueUpdate {
    /// Returns true if the head of this queue precedes the head of `other`, whichever gateways
    /// they wait at.
    pub fn precedes(&self, other: &QueueUpdate) -> bool {
        let key = |update: &QueueUpdate| match update.is_first_late {
            false => (false, update.first_occupancy, Reverse(0)),
            true => (true, 0, Reverse(update.first_age_ms)),
        };
        key(self) < key(other)
    }
}

/// Sum of the queues at all peers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PeerQueues {
    pub waiting: u32,
    /// Those of them that can still be within their latency target.
    pub within_target: u32,
    /// Requests placed per second.
    pub placement_rate: f64,
    /// New requests per second.
    pub arrival_rate: f64,
}
