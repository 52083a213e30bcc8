//! The configuration in force: which request goes to which service.

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

/// What may be repeated of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum CallKind {
    /// Idempotent: may run more than once.
    Idempotent,
    /// May run at most once for each caller's attempt.
    AtMostOnce,
    /// Answered by a series of events; runs at most once unless resumable.
    Stream,
}

/// A service that gets part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteShare {
    pub service: ServiceName,
    /// Its part, relative to the other shares' weights.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    pub name: String,
    /// Lower case, without a port.
    pub host: String,
    /// Begins and ends with a slash.
    pub prefix: String,
    pub kind: CallKind,
    /// True when a stream may go on at another server.
    pub resumable: bool,
    /// Servers one caller's attempt may run on.
    pub max_attempts: u32,
    /// True when requests need no key.
    pub is_open: bool,
    /// 0 is the most urgent.
    pub priority: u32,
    /// The longest the operator wants a caller kept waiting.
    pub timeout: Option<Duration>,
    /// The time to the answer, or a stream's first event, worth full value.
    pub target_latency: Option<Duration>,
    /// The longest pause between a stream's events that is still on time.
    pub target_gap: Option<Duration>,
    /// Invariant: not empty; one entry unless the route is split.
    pub shares: SmallVec<[RouteShare; 1]>,
}

impl Route {
    /// True when a request may run again after it may already have run.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            CallKind::Idempotent => true,
            CallKind::AtMostOnce => false,
            CallKind::Stream => self.resumable,
        }
    }

    /// The service for a request: the shares' weights decide, `draw` picks.
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
    /// Connections one server accepts from all gateways together.
    pub max_connections: u32,
    /// Present for services of model engines.
    pub engine: Option<EngineSpec>,
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    pub max_header_bytes: usize,
    pub max_body_bytes: usize,
    pub header_timeout: Duration,
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Bounds until a configuration is known: the ones most deployments set.
    fn default() -> Self {
        CallerLimits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A whole configuration.
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
    /// A table of `routes`, in any order, without organisations.
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

    /// The table with `organisations`, whose callers need keys.
    pub fn with_organisations(self, organisations: OrganisationRegistry) -> Self {
        RouteTable { organisations, ..self }
    }

    /// The route of a request: among its host's, the one with the longest
    /// prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }

    /// Routes of all hosts.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// True without any route.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
