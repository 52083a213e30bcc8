//! What changes from one configuration to another.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;

use super::CallerLimits;
use super::ConfigVersion;
use super::HostName;
use super::OrganisationEntry;
use super::OrganisationName;
use super::RoutePrefix;
use super::RouteTable;
use super::ServiceName;
use super::ServiceSpec;
use super::SharedRoute;
use super::packed_routes::PackedRoutes;

/// Reason why a change cannot be applied.
#[derive(Debug, Snafu)]
pub enum DeltaError {
    #[snafu(display("decoding a change of the configuration: {source}"))]
    Decode { source: postcard::Error },
    #[snafu(display("a change of the configuration refers to values that it lacks"))]
    Dangling,
    #[snafu(display("a change leaves {found} routes instead of {expected}"))]
    RouteCount { found: usize, expected: usize },
}

/// The routes removed from one host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct RemovedRoutes {
    host: HostName,
    prefixes: Vec<RoutePrefix>,
}

/// The change from one configuration to another. The change from the empty configuration is a
/// whole configuration.
///
/// Invariant: the encoding depends only on the content of the two configurations, so that a
/// transfer can be resumed at any gateway that holds both.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// The operator's version after the change.
    version: ConfigVersion,
    /// Number of routes after the change.
    route_count: usize,
    /// `None` if they are the same, as for `limits`.
    services: Option<Vec<(ServiceName, ServiceSpec)>>,
    limits: Option<CallerLimits>,
    removed_organisations: Vec<OrganisationName>,
    put_organisations: Vec<Arc<OrganisationEntry>>,
    removed_routes: Vec<RemovedRoutes>,
    put_routes: PackedRoutes,
}

impl ConfigDelta {
    /// Returns the change from `before` to `after`.
    pub fn between(before: &RouteTable, after: &RouteTable) -> Self {
        let is_changed = |entry: &&Arc<OrganisationEntry>| {
            before.organisations.entry(&entry.organisation.name) != Some(*entry)
        };
        ConfigDelta {
            version: after.version,
            route_count: after.len(),
            services: (before.services != after.services).then(|| sorted_services(after)),
            limits: (before.limits != after.limits).then_some(after.limits),
            removed_organisations: removed_organisations(before, after),
            put_organisations: after.organisations.entries().filter(is_changed).cloned().collect(),
            removed_routes: removed_routes(before, after),
            put_routes: PackedRoutes::pack(put_routes(before, after)),
        }
    }

    /// Returns the configuration that this change makes of `before`, with which it shares what
    /// does not change.
    pub fn apply(&self, before: &RouteTable) -> Result<RouteTable, DeltaError> {
        let mut table = before.clone();
        table.version = self.version;
        if let Some(services) = &self.services {
            table.services = services.iter().cloned().collect::<HashMap<_, _>>();
        }
        table.limits = self.limits.unwrap_or(table.limits);
        if !(self.removed_organisations.is_empty() && self.put_organisations.is_empty()) {
            let put = self.put_organisations.iter().cloned();
            table.organisations = before.organisations.changed(&self.removed_organisations, put);
        }
        let removed = self
            .removed_routes
            .iter()
            .flat_map(|removed| removed.prefixes.iter().map(move |prefix| (&removed.host, prefix)));
        let put = self.put_routes.unpack().ok_or(DeltaError::Dangling)?;
        table.change_routes(removed, put.into_iter());
        let (found, expected) = (table.len(), self.route_count);
        snafu::ensure!(found == expected, RouteCountSnafu { found, expected });
        Ok(table)
    }

    /// Returns the encoded change.
    pub fn encode(&self) -> Bytes {
        postcard::to_allocvec(self).expect("encoding plain fields").into()
    }

    /// Decodes a change.
    pub fn decode(bytes: &[u8]) -> Result<Self, DeltaError> {
        postcard::from_bytes(bytes).context(DecodeSnafu)
    }
}

fn sorted_services(table: &RouteTable) -> Vec<(ServiceName, ServiceSpec)> {
    let mut services: Vec<_> =
        table.services.iter().map(|(name, spec)| (Arc::clone(name), spec.clone())).collect();
    services.sort_unstable_by(|a, b| a.0.cmp(&b.0));
    services
}

fn removed_organisations(before: &RouteTable, after: &RouteTable) -> Vec<OrganisationName> {
    let names = before.organisations.iter().map(|organisation| &organisation.name);
    names.filter(|name| after.organisations.entry(name).is_none()).cloned().collect()
}

fn removed_routes(before: &RouteTable, after: &RouteTable) -> Vec<RemovedRoutes> {
    let mut all = Vec::new();
    for (host, routes) in before.hosts() {
        let kept = after.host(host);
        if kept.is_some_and(|kept| Arc::ptr_eq(kept, routes)) {
            continue;
        }
        let is_removed =
            |route: &&SharedRoute| kept.is_none_or(|kept| kept.get(&route.prefix).is_none());
        let removed = routes.iter().filter(is_removed).map(|route| Arc::clone(&route.prefix));
        let mut prefixes: Vec<RoutePrefix> = removed.collect();
        prefixes.sort_unstable();
        if !prefixes.is_empty() {
            all.push(RemovedRoutes { host: Arc::clone(host), prefixes });
        }
    }
    all.sort_unstable_by(|a, b| a.host.cmp(&b.host));
    all
}

/// Returns the routes of `after` that `before` lacks or that have changed.
fn put_routes<'a>(
    before: &'a RouteTable,
    after: &'a RouteTable,
) -> impl Iterator<Item = &'a SharedRoute> {
    after.hosts().flat_map(move |(host, routes)| {
        let known = before.host(host);
        let is_same_host = known.is_some_and(|known| Arc::ptr_eq(known, routes));
        let is_changed = move |route: &&SharedRoute| {
            !is_same_host && known.and_then(|known| known.get(&route.prefix)) != Some(*route)
        };
        routes.iter().filter(is_changed)
    })
}
