//! The configuration in force at this process: reads it, replaces it, and checks whether it is the
//! newest.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use crate::cluster::ConfigWatch;
use crate::cluster::InForceChange;
use crate::events;
use crate::model::ConfigVersion;
use crate::model::KeyDigest;
use crate::model::RouteTable;
use crate::model::StoreVersion;
use crate::state::GatewayState;

/// Maximum number of changed keys that are logged individually; each line holds the total.
const MAX_KEYS_LOGGED: usize = 16;

impl GatewayState {
    /// Returns the configuration in force, if there is one.
    pub fn route_table(&self) -> Option<Arc<RouteTable>> {
        self.in_force.read().expect("in-force lock").table()
    }

    /// Returns the version of the configuration in force; 0 if there is none.
    pub fn config_version(&self) -> ConfigVersion {
        self.route_table().map_or(0, |table| table.version)
    }

    /// Applies a report that the gateway `peer` at `address` has configuration `version` in force.
    pub fn apply_peer_config_version(
        &self,
        peer: &str,
        address: SocketAddr,
        version: ConfigVersion,
    ) {
        let own = self.config_version();
        if version > own {
            *self.config_source.lock().expect("config source lock") = Some((address, version));
        }
        if !self.with_config_watch(|watch| watch.apply_peer_version(version, own)) {
            return;
        }
        tracing::info!(
            event = events::NEWER_CONFIG_REPORTED,
            version,
            own,
            peer,
            "peer has a newer configuration; reading the store"
        );
        self.config_read_requested.notify(usize::MAX);
    }

    /// Runs `change` on the record of whether the configuration in force is the newest.
    pub fn with_config_watch<T>(&self, change: impl FnOnce(&mut ConfigWatch) -> T) -> T {
        change(&mut self.config_watch.lock().expect("config watch lock"))
    }

    /// Returns true if no newer configuration is known and the one in force matched the store
    /// within the configured bound.
    pub fn has_newest_config(&self) -> bool {
        let local_version = self.config_version();
        let bound = self.settings.config_bound;
        self.with_config_watch(|watch| watch.is_newest(local_version, bound, Instant::now()))
    }

    /// Requests an immediate read of the configuration, unless one was requested very recently.
    pub fn request_config_read(&self) {
        if self.with_config_watch(|watch| watch.try_request_read(Instant::now())) {
            self.config_read_requested.notify(usize::MAX);
        }
    }

    /// Returns the address of a gateway with a newer configuration than the one in force, and that
    /// configuration's version.
    pub fn newer_config(&self) -> Option<(SocketAddr, ConfigVersion)> {
        let local_version = self.config_version();
        let source = *self.config_source.lock().expect("config source lock");
        source.filter(|(_, version)| *version > local_version)
    }

    /// Puts `table` in force if it is newer than the configuration in force, and returns whether it
    /// was. `row_version` is the version of its store row; `source` is logged.
    pub fn apply_config(
        &self,
        row_version: StoreVersion,
        table: RouteTable,
        source: &'static str,
    ) -> bool {
        let version = table.version;
        let previous = self.route_table();
        let change = self.with_config(|in_force| in_force.apply_if_newer(row_version, table));
        let before = match change {
            InForceChange::Applied { before } => before.unwrap_or(0),
            InForceChange::NotNewer { current } => {
                tracing::debug!(
                    event = events::CONFIG_IGNORED,
                    version,
                    row_version,
                    current,
                    "configuration ignored: not newer than the one in force"
                );
                return false;
            }
        };
        let Some(table) = self.route_table() else { return false };
        self.quotas.set_limits(&table.organisations, version, &self.quota_view());
        self.capacity_changed.notify(usize::MAX);
        metrics::gauge!("umberglade_config_version").set(version as f64);
        tracing::info!(
            event = events::CONFIG_APPLIED,
            version,
            row_version,
            before,
            source,
            routes = table.len(),
            organisations = table.organisations.len(),
            "configuration applied"
        );
        if let Some(previous) = previous {
            log_key_changes(&previous, &table);
        }
        true
    }

    /// Records that the configuration in force was the newest at `at`.
    pub fn record_config_fresh(&self, at: Instant) {
        self.with_config_watch(|watch| watch.record_fresh(at));
    }
}

fn log_key_changes(before: &RouteTable, after: &RouteTable) {
    let keys = |table: &RouteTable| table.organisations.keys().copied().collect::<HashSet<_>>();
    let (before, keys) = (keys(before), keys(after));
    log_changed_keys("gone", before.difference(&keys), after.version);
    log_changed_keys("added", keys.difference(&before), after.version);
}

fn log_changed_keys<'a>(
    outcome: &'static str,
    keys: impl Iterator<Item = &'a KeyDigest>,
    version: u64,
) {
    let keys: Vec<&KeyDigest> = keys.collect();
    for key in keys.iter().take(MAX_KEYS_LOGGED) {
        let count = keys.len();
        tracing::info!(event = events::KEY_CHANGED, %key, outcome, version, count, "keys changed");
    }
}
