//! The configuration in force at this process: reads it, replaces it, and checks whether it is the
//! newest.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use crate::cluster::ConfigPart;
use crate::cluster::ConfigSources;
use crate::cluster::ConfigWatch;
use crate::cluster::HeldConfig;
use crate::cluster::InForceChange;
use crate::cluster::name_digest;
use crate::events;
use crate::model::CallerLimits;
use crate::model::ConfigDelta;
use crate::model::ConfigId;
use crate::model::ConfigVersion;
use crate::model::DeltaError;
use crate::model::KeyDigest;
use crate::model::RouteTable;
use crate::model::StoreStamp;
use crate::model::StoreTable;
use crate::state::GatewayState;

/// Maximum number of changed keys that are logged individually; each line holds the total.
const MAX_KEYS_LOGGED: usize = 16;

impl GatewayState {
    /// Returns the configuration in force, if there is one.
    pub fn route_table(&self) -> Option<Arc<RouteTable>> {
        self.in_force.read().table()
    }

    /// Returns the version of the configuration in force; 0 if there is none.
    pub fn config_version(&self) -> ConfigVersion {
        self.route_table().map_or(0, |table| table.version)
    }

    /// Returns true if the configuration in force has organisations, which may have quotas.
    pub fn has_organisations(&self) -> bool {
        self.route_table().is_some_and(|table| !table.organisations.is_empty())
    }

    /// Returns the largest of each limit that a caller may go by that began at `at`.
    pub fn caller_limits_since(&self, at: Instant) -> CallerLimits {
        self.limit_history.read().largest_since(at)
    }

    /// Returns the configuration in force with its id, if there is one.
    pub fn config(&self) -> Option<Arc<HeldConfig>> {
        self.in_force.read().current()
    }

    /// Applies a report that the gateway `peer` at `address` has configuration `version` in force.
    /// `id` identifies it if the peer can transfer it.
    pub fn apply_peer_config(
        &self,
        peer: &str,
        address: SocketAddr,
        version: ConfigVersion,
        id: Option<ConfigId>,
    ) {
        let own = self.config_version();
        if let Some(id) = id {
            let now = Instant::now();
            self.with_config_sources(|sources| sources.record(name_digest(peer), address, id, now));
            if version > own {
                self.config_offered.notify(usize::MAX);
            }
        }
        if !self.with_config_watch(|watch| watch.apply_peer_version(version, own)) {
            return;
        }
        tracing::info!(
            event = events::NEWER_CONFIG_REPORTED,
            version,
            own,
            peer,
            can_transfer = id.is_some(),
            "peer has a newer configuration"
        );
        if id.is_none() {
            self.config_read_requested.notify(usize::MAX);
        }
    }

    /// Runs `change` on the record of the configurations that peers hold.
    pub fn with_config_sources<T>(&self, change: impl FnOnce(&mut ConfigSources) -> T) -> T {
        change(&mut self.config_sources.lock())
    }

    fn is_newer_config_offered(&self) -> bool {
        let held = self.config().map(|config| config.id);
        self.with_config_sources(|sources| sources.offers_newer_than(held, Instant::now()))
    }

    /// Runs `change` on the record of whether the configuration in force is the newest.
    pub fn with_config_watch<T>(&self, change: impl FnOnce(&mut ConfigWatch) -> T) -> T {
        change(&mut self.config_watch.lock())
    }

    /// Returns true if no newer configuration is known and the one in force matched the store
    /// within the configured bound.
    pub fn has_newest_config(&self) -> bool {
        let local_version = self.config_version();
        let bound = self.settings.config_bound;
        self.with_config_watch(|watch| watch.is_newest(local_version, bound, Instant::now()))
    }

    /// Requests an immediate read of the configuration, unless one was requested very recently or
    /// a peer transfers a newer one, which costs less.
    pub fn request_config_read(&self) {
        if self.is_newer_config_offered() {
            return;
        }
        if self.with_config_watch(|watch| watch.try_request_read(Instant::now())) {
            self.config_read_requested.notify(usize::MAX);
        }
    }

    /// Puts the configuration read from a row of the store in force if it is newer than the one in
    /// force, and returns whether it was. The row has `stamp` and `row_bytes` bytes.
    pub fn apply_store_config(
        &self,
        stamp: StoreStamp,
        row_bytes: usize,
        table: RouteTable,
    ) -> bool {
        let version = table.version;
        // A later version than the one in force is in no older copy: it was written since.
        let stamp = if version > self.config_version() { stamp.written_when_seen() } else { stamp };
        let id = ConfigId { stamp, version };
        self.apply_config(id, row_bytes, table, "store")
    }

    /// Puts the configuration to which a peer's `part` leads in force if it is newer than the one
    /// in force, and returns whether it was.
    pub fn apply_config_part(&self, part: ConfigPart) -> Result<bool, DeltaError> {
        let delta = ConfigDelta::decode(&part.bytes)?;
        let held = self.config();
        let ConfigPart { from, to, row_bytes, .. } = part;
        match held.filter(|held| from == Some(held.id)) {
            Some(held) => {
                let table = delta.apply(&held.table)?;
                let config = HeldConfig::new(to, row_bytes, table);
                Ok(self.put_in_force(config, Some(part), "gateway"))
            }
            // Meanwhile a read of the store has replaced what the part changes.
            None if from.is_some() => Ok(false),
            None => {
                let table = delta.apply(&RouteTable::default())?;
                Ok(self.apply_config(to, row_bytes, table, "gateway"))
            }
        }
    }

    /// Puts the complete configuration `table` in force if it is newer than the one in force. Its
    /// unchanged routes are those of the one before, so that they are in memory once.
    fn apply_config(
        &self,
        id: ConfigId,
        row_bytes: usize,
        table: RouteTable,
        source: &'static str,
    ) -> bool {
        let Some(held) = self.config() else {
            return self.put_in_force(HeldConfig::new(id, row_bytes, table), None, source);
        };
        if !id.is_newer_than(&held.id) {
            log_ignored(id, held.id.version);
            return false;
        }
        let delta = ConfigDelta::between(&held.table, &table);
        let step = ConfigPart::new(Some(held.id), id, row_bytes, delta.encode());
        // A table that could not be made from the one before is used as it was read.
        let table = delta.apply(&held.table).unwrap_or(table);
        self.put_in_force(HeldConfig::new(id, row_bytes, table), Some(step), source)
    }

    fn put_in_force(
        &self,
        config: HeldConfig,
        step: Option<ConfigPart>,
        source: &'static str,
    ) -> bool {
        let (id, table) = (config.id, Arc::clone(&config.table));
        let change_bytes = step.as_ref().map_or(0, |step| step.bytes.len());
        let previous = self.route_table();
        let change = self.with_config(|in_force| in_force.apply_if_newer(config, step));
        let before = match change {
            InForceChange::Applied { before } => before.unwrap_or(0),
            InForceChange::NotNewer { current } => {
                log_ignored(id, current);
                return false;
            }
        };
        let version = id.version;
        let mut limit_history = self.limit_history.write();
        limit_history.record(table.limits, Instant::now());
        drop(limit_history);
        self.quotas.set_limits(&table.organisations, version, &self.quota_view());
        self.capacity_changed.notify(usize::MAX);
        // The follower of the table learns what is held, and peers learn who can transfer it.
        self.shared_tables.table(StoreTable::Configuration).rows_received.notify(usize::MAX);
        self.report_requested.notify(1);
        metrics::gauge!("umberglade_config_version").set(version as f64);
        tracing::info!(
            event = events::CONFIG_APPLIED,
            version,
            row_version = id.stamp.version(),
            era = id.stamp.written_era(),
            before,
            source,
            change_bytes,
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

fn log_ignored(id: ConfigId, current: ConfigVersion) {
    tracing::debug!(
        event = events::CONFIG_IGNORED,
        version = id.version,
        row_version = id.stamp.version(),
        era = id.stamp.written_era(),
        current,
        "configuration ignored: not newer than the one in force"
    );
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
