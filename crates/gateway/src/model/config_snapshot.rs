//! A whole configuration in the encoding that gateways of the previous build read.

use std::collections::BTreeMap;
use std::collections::HashMap;

use serde::Serialize;

use super::CallerLimits;
use super::ConfigId;
use super::ConfigVersion;
use super::KeyDigest;
use super::Organisation;
use super::OrganisationRegistry;
use super::Route;
use super::RouteTable;
use super::ServiceName;
use super::ServiceSpec;
use super::StoreVersion;

/// Invariant: the order of the fields is that of the previous build.
#[derive(Serialize)]
struct SnapshotFields<'a> {
    row_version: StoreVersion,
    version: ConfigVersion,
    routes: Vec<&'a Route>,
    services: &'a HashMap<ServiceName, ServiceSpec>,
    limits: CallerLimits,
    organisations: OrganisationFields<'a>,
}

#[derive(Serialize)]
struct OrganisationFields<'a> {
    organisations: Vec<&'a Organisation>,
    /// Indices into `organisations`, by key.
    keys: BTreeMap<KeyDigest, usize>,
}

/// Encodes `table`, whose id is `id`, for a gateway of the previous build.
pub fn encode_snapshot(id: ConfigId, table: &RouteTable) -> Vec<u8> {
    let snapshot = SnapshotFields {
        row_version: id.stamp.version(),
        version: id.version,
        routes: table.routes().map(|route| &**route).collect(),
        services: &table.services,
        limits: table.limits,
        organisations: organisation_fields(&table.organisations),
    };
    postcard::to_allocvec(&snapshot).expect("encoding plain fields")
}

fn organisation_fields(registry: &OrganisationRegistry) -> OrganisationFields<'_> {
    let organisations = registry.iter().map(|organisation| &**organisation).collect();
    let mut keys = BTreeMap::new();
    for (index, entry) in registry.entries().enumerate() {
        keys.extend(entry.keys.iter().map(|key| (*key, index)));
    }
    OrganisationFields { organisations, keys }
}
