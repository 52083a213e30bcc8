//! The route table: which request goes to which service.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::ConfigVersion;
use super::EngineSpec;
use super::HostName;
use super::HostRoutes;
use super::OrganisationRegistry;
use super::Route;
use super::RoutePrefix;
use super::ServiceName;
use super::SharedRoute;

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

impl CallerLimits {
    /// Returns the larger of each limit.
    pub fn max(self, other: CallerLimits) -> CallerLimits {
        CallerLimits {
            max_header_bytes: self.max_header_bytes.max(other.max_header_bytes),
            max_body_bytes: self.max_body_bytes.max(other.max_body_bytes),
            header_timeout: self.header_timeout.max(other.header_timeout),
            idle_timeout: self.idle_timeout.max(other.idle_timeout),
        }
    }

    /// Returns how long a connection may be idle and its next head may then take, together.
    pub fn longest_time(&self) -> Duration {
        self.idle_timeout.saturating_add(self.header_timeout)
    }
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
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RouteTable {
    pub version: ConfigVersion,
    pub services: HashMap<ServiceName, ServiceSpec>,
    pub limits: CallerLimits,
    pub organisations: OrganisationRegistry,
    /// Invariant: no host is without routes. Tables that follow each other share the routes of
    /// hosts that did not change.
    hosts: HashMap<HostName, Arc<HostRoutes>>,
}

impl RouteTable {
    /// Creates a table of `routes`, in any order, without organisations.
    pub fn new(
        version: ConfigVersion,
        routes: Vec<Route>,
        services: HashMap<ServiceName, ServiceSpec>,
        limits: CallerLimits,
    ) -> Self {
        let mut table = RouteTable { version, services, limits, ..RouteTable::default() };
        // Of routes with the same prefix the first one counts.
        let routes = routes.into_iter().rev().map(Arc::new);
        table.change_routes(std::iter::empty(), routes);
        table
    }

    /// Returns the table with `organisations`, whose callers need keys.
    pub fn with_organisations(self, organisations: OrganisationRegistry) -> Self {
        RouteTable { organisations, ..self }
    }

    /// Removes the routes with the given hosts and prefixes, then adds `added`, which replace
    /// routes with the same host and prefix.
    pub fn change_routes<'a>(
        &mut self,
        removed: impl Iterator<Item = (&'a HostName, &'a RoutePrefix)>,
        added: impl Iterator<Item = SharedRoute>,
    ) {
        for (host, prefix) in removed {
            let Some(routes) = self.hosts.get_mut(host) else { continue };
            let routes = Arc::make_mut(routes);
            routes.remove(prefix);
            if routes.is_empty() {
                self.hosts.remove(host);
            }
        }
        for route in added {
            let routes = self.hosts.entry(Arc::clone(&route.host)).or_default();
            Arc::make_mut(routes).insert(route);
        }
    }

    /// Returns the route of a request: of the routes of `host`, the one whose prefix is the longest
    /// that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&SharedRoute> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.find(path)
    }

    /// Returns the routes of `host`, if it has any.
    pub fn host(&self, host: &str) -> Option<&Arc<HostRoutes>> {
        self.hosts.get(host)
    }

    /// Iterates over the hosts and their routes.
    pub fn hosts(&self) -> impl Iterator<Item = (&HostName, &Arc<HostRoutes>)> {
        self.hosts.iter()
    }

    /// Iterates over the routes of all hosts.
    pub fn routes(&self) -> impl Iterator<Item = &SharedRoute> {
        self.hosts.values().flat_map(|routes| routes.iter())
    }

    /// Returns the number of routes of all hosts.
    pub fn len(&self) -> usize {
        self.hosts.values().map(|routes| routes.len()).sum()
    }

    /// Returns true when there are no routes.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
