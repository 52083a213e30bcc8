//! Routes in a compact encoding, in which what many routes have in common stands once.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use super::CallKind;
use super::HostName;
use super::Route;
use super::RoutePrefix;
use super::RouteShare;
use super::SharedRoute;

/// What a route says of its requests. Most routes of a configuration say one of a few things.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct RouteTerms {
    kind: CallKind,
    resumable: bool,
    max_attempts: u32,
    is_open: bool,
    priority: u32,
    timeout: Option<Duration>,
    target_latency: Option<Duration>,
    target_gap: Option<Duration>,
    shares: SmallVec<[RouteShare; 1]>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct PackedRoute {
    name: String,
    prefix: RoutePrefix,
    /// Index into [`PackedRoutes::terms`].
    terms: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct PackedHost {
    host: HostName,
    routes: Vec<PackedRoute>,
}

/// Routes by host.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct PackedRoutes {
    terms: Vec<RouteTerms>,
    hosts: Vec<PackedHost>,
}

impl PackedRoutes {
    /// Packs `routes`. The result depends only on which routes they are, not on their order.
    pub fn pack<'a>(routes: impl Iterator<Item = &'a SharedRoute>) -> Self {
        let mut routes: Vec<&SharedRoute> = routes.collect();
        routes.sort_unstable_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        let mut packed = PackedRoutes::default();
        let mut indices: HashMap<RouteTerms, u32> = HashMap::new();
        for route in routes {
            let index = *indices.entry(terms_of(route)).or_insert_with_key(|terms| {
                packed.terms.push(terms.clone());
                packed.terms.len() as u32 - 1
            });
            packed.push(route, index);
        }
        packed
    }

    fn push(&mut self, route: &Route, terms: u32) {
        if self.hosts.last().is_none_or(|last| last.host != route.host) {
            self.hosts.push(PackedHost { host: Arc::clone(&route.host), routes: Vec::new() });
        }
        let name = route.name.clone();
        let packed = PackedRoute { name, prefix: Arc::clone(&route.prefix), terms };
        self.hosts.last_mut().expect("a host was added").routes.push(packed);
    }

    /// Returns the routes, or `None` if a route refers to terms that are missing.
    pub fn unpack(&self) -> Option<Vec<SharedRoute>> {
        let mut routes = Vec::new();
        for packed_host in &self.hosts {
            for packed in &packed_host.routes {
                let terms = self.terms.get(packed.terms as usize)?;
                if terms.shares.is_empty() {
                    return None;
                }
                routes.push(Arc::new(route(&packed_host.host, packed, terms)));
            }
        }
        Some(routes)
    }
}

fn terms_of(route: &Route) -> RouteTerms {
    RouteTerms {
        kind: route.kind,
        resumable: route.resumable,
        max_attempts: route.max_attempts,
        is_open: route.is_open,
        priority: route.priority,
        timeout: route.timeout,
        target_latency: route.target_latency,
        target_gap: route.target_gap,
        shares: route.shares.clone(),
    }
}

fn route(host: &HostName, packed: &PackedRoute, terms: &RouteTerms) -> Route {
    Route {
        name: packed.name.clone(),
        host: Arc::clone(host),
        prefix: Arc::clone(&packed.prefix),
        kind: terms.kind,
        resumable: terms.resumable,
        max_attempts: terms.max_attempts,
        is_open: terms.is_open,
        priority: terms.priority,
        timeout: terms.timeout,
        target_latency: terms.target_latency,
        target_gap: terms.target_gap,
        shares: terms.shares.clone(),
    }
}
