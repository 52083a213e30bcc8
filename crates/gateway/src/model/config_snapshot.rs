//! A configuration as gateways send it to each other.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use super::CallerLimits;
use super::ConfigVersion;
use super::OrganisationRegistry;
use super::Route;
use super::RouteTable;
use super::ServiceName;
use super::ServiceSpec;
use super::StoreVersion;

/// A decoded configuration, which contains digests of keys instead of the keys.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    /// The version of the store row that it was read from.
    pub row_version: StoreVersion,
    version: ConfigVersion,
    routes: Vec<Route>,
    services: HashMap<ServiceName, ServiceSpec>,
    limits: CallerLimits,
    organisations: OrganisationRegistry,
}

impl ConfigSnapshot {
    /// Creates a snapshot of `table`, read at `row_version`.
    pub fn of(row_version: StoreVersion, table: &RouteTable) -> Self {
        ConfigSnapshot {
            row_version,
            version: table.version,
            routes: table.routes().map(|route| (**route).clone()).collect(),
            services: table.services.clone(),
            limits: table.limits,
            organisations: table.organisations.clone(),
        }
    }

    /// Converts the snapshot back into a table.
    pub fn into_table(self) -> RouteTable {
        RouteTable::new(self.version, self.routes, self.services, self.limits)
            .with_organisations(self.organisations)
    }
}
