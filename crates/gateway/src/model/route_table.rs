//! The route table: which request goes to which service.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use strum::Display;

use super::ConfigVersion;
use super::EngineSpec;
use super::OrganisationRegistry;
use super::ServiceName;

/// Determines which of a route's requests may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
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
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
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
    pub host: String,
    /// Path prefix that begins and ends with a slash.
    pub prefix: String,
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

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Maximum number of connections that one server accepts from all gateways together.
    pub max_connections: u32,
    /// `None` for services without model engines.
    pub engine: Option<EngineSpec>,
}

/// Size and time limits of a caller's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    pub max_header_bytes: usize,
    pub max_body_bytes: usize,
    pub header_timeout: Duration,
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until a configuration is known; most deployments set these.
    fn default() -> Self {
        CallerLimits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A complete configuration.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    pub version: ConfigVersion,
    pub services: HashMap<ServiceName, ServiceSpec>,
    pub limits: CallerLimits,
    pub organisations: OrganisationRegistry,
    /// Invariant: within a host, longer prefixes first.
    hosts: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Creates a table of `routes`, in any order, without organisations.
    pub fn new(
        version: ConfigVersion,
        routes: Vec<Route>,
        services: HashMap<ServiceName, ServiceSpec>,
        limits: CallerLimits,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let organisations = OrganisationRegistry::default();
        RouteTable { version, services, limits, organisations, hosts }
    }

    /// Returns the table with `organisations`, whose callers need keys.
    pub fn with_organisations(self, organisations: OrganisationRegistry) -> Self {
        RouteTable { organisations, ..self }
    }

    /// Returns the route of a request: of the routes of `host`, the one whose prefix is the longest
    /// that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Iterates over the routes of all hosts.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }

    /// Returns the number of routes of all hosts.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Returns true when there are no routes.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
