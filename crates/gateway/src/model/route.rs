//! Routes, and which of their requests may be retried.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use strum::Display;

use super::HostName;
use super::RoutePrefix;
use super::ServiceName;

/// Determines which of a route's requests may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum CallKind {
    /// Idempotent: may run more than once.
    Idempotent,
    /// May run at most once for each caller's attempt.
    AtMostOnce,
    /// The response is a stream of events. Runs at most once unless the route is resumable.
    Stream,
}

/// A service that gets a fraction of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RouteShare {
    pub service: ServiceName,
    /// Weight of the service, relative to the other shares of the route.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    pub name: String,
    /// Lower case, without a port.
    pub host: HostName,
    /// Path prefix that begins and ends with a slash.
    pub prefix: RoutePrefix,
    pub kind: CallKind,
    /// True when a stream may resume at another server.
    pub resumable: bool,
    /// Maximum number of servers that one caller's attempt may run on.
    pub max_attempts: u32,
    /// True when requests need no key.
    pub is_open: bool,
    /// 0 is the most urgent.
    pub priority: u32,
    /// Maximum time that the operator allows a caller to wait.
    pub timeout: Option<Duration>,
    /// The latency target: the maximum time to the response, or to a stream's first event, at which
    /// a request still counts in full.
    pub target_latency: Option<Duration>,
    /// Maximum gap between two events of a stream that is still within the target.
    pub target_gap: Option<Duration>,
    /// Invariant: not empty; one entry unless the route is split.
    pub shares: SmallVec<[RouteShare; 1]>,
}

impl Route {
    /// Returns true when a request may be retried even though it may have run already.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            CallKind::Idempotent => true,
            CallKind::AtMostOnce => false,
            CallKind::Stream => self.resumable,
        }
    }

    /// Picks the service for a request by the weights of the shares and the random number `draw`.
    pub fn service(&self, draw: u64) -> &ServiceName {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut point = draw % total.max(1);
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if point < weight {
                return &share.service;
            }
            point -= weight;
        }
        &self.shares[0].service
    }
}

/// A route of a table.
pub type SharedRoute = Arc<Route>;
