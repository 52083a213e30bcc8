//! The configuration in force at this process: what it is, what replaces it, and
//! whether it is the newest.

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

/// Keys of which a change is logged one by one; of more, their number.
const MAX_KEYS_LOGGED: usize = 16;

impl GatewayState {
    /// The configuration in force, if one is known.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.in_force.read().expect("in-force lock").table()
    }

    /// The version of the configuration in force; 0 while none is known.
    pub fn config_version(&self) -> ConfigVersion {
        self.table().map_or(0, |table| table.version)
    }

    /// The gateway `peer` at `address` has configuration `version` in force.
    pub fn hear_config(&self, peer: &str, address: SocketAddr, version: ConfigVersion) {
        let own = self.config_version();
        if version > own {
            *self.config_source.lock().expect("config source lock") = Some((address, version));
        }
        if !self.with_config_watch(|watch| watch.apply_peer_version(version, own)) {
            return;
        }
        tracing::info!(
            event = events::CONFIG_HEARD,
            version,
            own,
            peer,
            "another gateway has a newer configuration; the store is read"
        );
        self.config_due.notify(usize::MAX);
    }

    /// Runs `change` on what is known of newer configurations.
    pub fn with_config_watch<T>(&self, change: impl FnOnce(&mut ConfigWatch) -> T) -> T {
        change(&mut self.config_watch.lock().expect("config watch lock"))
    }

    /// True when no newer configuration is known of, and the one in force was the
    /// store's within its bound.
    pub fn has_newest_config(&self) -> bool {
        let own = self.config_version();
        let bound = self.settings.config_bound;
        self.with_config_watch(|watch| watch.is_newest(own, bound, Instant::now()))
    }

    /// Has the configuration read at once, unless that was asked for a moment ago.
    pub fn ask_for_config(&self) {
        if self.with_config_watch(|watch| watch.try_request_read(Instant::now())) {
            self.config_due.notify(usize::MAX);
        }
    }

    /// A gateway with a newer configuration than the one in force, and its version.
    pub fn newer_config(&self) -> Option<(SocketAddr, ConfigVersion)> {
        let own = self.config_version();
        let source = *self.config_source.lock().expect("config source lock");
        source.filter(|(_, version)| *version > own)
    }

    /// Takes in `table`, which `source` held at row version `row_version`; true
    /// when it is in force now.
    pub fn put_in_force(
        &self,
        row_version: StoreVersion,
        table: RouteTable,
        source: &'static str,
    ) -> bool {
        let version = table.version;
        let known = self.table();
        let change = self.with_in_force(|in_force| in_force.apply_if_newer(row_version, table));
        let before = match change {
            InForceChange::Applied { before } => before.unwrap_or(0),
            InForceChange::NotNewer { current } => {
                tracing::debug!(
                    event = events::CONFIG_IGNORED,
                    version,
                    row_version,
                    current,
                    "older configuration ignored"
                );
                return false;
            }
        };
        let Some(table) = self.table() else { return false };
        self.quotas.set_limits(&table.organisations, version, &self.quota_view());
        self.room.notify(usize::MAX);
        metrics::gauge!("umberglade_config_version").set(version as f64);
        tracing::info!(
            event = events::CONFIG_APPLIED,
            version,
            row_version,
            before,
            source,
            routes = table.len(),
            organisations = table.organisations.len(),
            "configuration in force"
        );
        if let Some(known) = known {
            log_keys(&known, &table);
        }
        true
    }

    /// The configuration in force was the newest at `at`.
    pub fn note_config_fresh(&self, at: Instant) {
        self.with_config_watch(|watch| watch.record_fresh(at));
    }
}

fn log_keys(before: &RouteTable, after: &RouteTable) {
    let keys = |table: &RouteTable| table.organisations.keys().copied().collect::<HashSet<_>>();
    let (before, keys) = (keys(before), keys(after));
    log_key_changes("gone", before.difference(&keys), after.version);
    log_key_changes("added", keys.difference(&before), after.version);
}

fn log_key_changes<'a>(
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
