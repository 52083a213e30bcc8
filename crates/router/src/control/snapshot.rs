//! The snapshot of the active configuration and how rows change it.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;
use std::time::SystemTime;

use serde::de::DeserializeOwned;
use umberglade_wire::engine::EngineRole;
use umberglade_wire::ids::Fence;
use umberglade_wire::ids::OrganisationId;
use umberglade_wire::ids::RowVersion;
use umberglade_wire::ids::ServerId;
use umberglade_wire::platform::ACTIVE_KEY;
use umberglade_wire::platform::ActivePreset;
use umberglade_wire::platform::DRAINS_KEY;
use umberglade_wire::platform::DrainRegistry;
use umberglade_wire::platform::InstanceList;
use umberglade_wire::platform::InstanceState;
use umberglade_wire::platform::ORGANISATIONS_KEY;
use umberglade_wire::platform::OrganisationRegistry;
use umberglade_wire::platform::ROLE_ORDERS_KEY;
use umberglade_wire::platform::RoleOrderRegistry;
use umberglade_wire::platform::Row;

use super::ServerPool;
use super::ServerPools;
use super::ServerSlot;
use crate::events;
use crate::preset::Preset;

/// The configuration and servers that a request is handled with.
#[derive(Debug, Clone, Default)]
pub struct ControlSnapshot {
    /// The version of the applied `control/active` row; 0 before the first. It never decreases
    /// while a daemon runs, and is the fencing token on every request to an engine.
    pub fence: Fence,
    pub preset_name: String,
    /// When this daemon applied `fence`.
    pub fence_applied_at: Option<SystemTime>,
    /// `None` until a preset has been read.
    pub preset: Option<Arc<Preset>>,
    /// Never decreases, like the two versions below.
    pub organisations_version: RowVersion,
    /// API key → organisation.
    pub api_keys: Arc<HashMap<String, OrganisationId>>,
    pub drains_version: RowVersion,
    pub drained: Arc<BTreeSet<ServerId>>,
    pub role_orders_version: RowVersion,
    pub role_orders: Arc<RoleOrderRegistry>,
    /// Backend servers from the instance list, drained ones included.
    pub servers: Arc<Vec<Arc<ServerSlot>>>,
    /// The servers that are available for new work, by model and role.
    pub pools: Arc<ServerPools>,
    /// When the control table feed and the instance feed were last read.
    pub table_read_at: Option<Instant>,
    pub instances_read_at: Option<Instant>,
}

impl ControlSnapshot {
    /// Returns the servers of `role` for `model` that are available for new work: live in the
    /// instance list and not drained by an operator.
    pub fn candidates(&self, role: EngineRole, model: &str) -> ServerPool {
        self.pools.get(role, model)
    }

    /// Returns the older of the last reads of the two feeds, or `None` until both have been read.
    pub fn last_sync(&self) -> Option<Instant> {
        Some(self.table_read_at?.min(self.instances_read_at?))
    }

    /// Applies one row of the control table. Rows with unknown keys are ignored.
    ///
    /// Prevents a revert: a row is applied only if its version is above the applied one, so a late
    /// or replayed read of an older row (after a store failover, or on a daemon that resumes after
    /// a pause) never restores old configuration.
    pub fn apply_row(&mut self, row: &Row) {
        match row.key.as_str() {
            ACTIVE_KEY => self.apply_active(row),
            ORGANISATIONS_KEY => self.apply_organisations(row),
            DRAINS_KEY => self.apply_drains(row),
            ROLE_ORDERS_KEY => self.apply_role_orders(row),
            _ => {}
        }
    }

    fn apply_active(&mut self, row: &Row) {
        if row.version <= self.fence {
            tracing::warn!(
                event = events::PRESET_STALE_IGNORED,
                version = row.version,
                fence = self.fence,
                "preset row older than the active one ignored"
            );
            return;
        }
        let Some(active) = parse_row::<ActivePreset>(row) else {
            return;
        };
        let preset = match Preset::from_json(&active.body) {
            Ok(preset) => preset,
            Err(error) => return log_rejected_row(row, &error.to_string()),
        };
        tracing::info!(
            event = events::PRESET_APPLIED,
            preset = %active.preset,
            fence = row.version,
            activated_by = %active.activated_by,
            "preset applied"
        );
        self.fence = row.version;
        self.fence_applied_at = Some(SystemTime::now());
        self.preset_name = active.preset;
        self.preset = Some(Arc::new(preset));
    }

    fn apply_organisations(&mut self, row: &Row) {
        if row.version <= self.organisations_version {
            return;
        }
        let Some(registry) = parse_row::<OrganisationRegistry>(row) else {
            return;
        };
        let mut api_keys = HashMap::new();
        for (organisation, entry) in registry.organisations {
            for key in entry.api_keys {
                api_keys.insert(key, organisation.clone());
            }
        }
        self.api_keys = Arc::new(api_keys);
        self.organisations_version = row.version;
    }

    fn apply_drains(&mut self, row: &Row) {
        if row.version <= self.drains_version {
            return;
        }
        let Some(registry) = parse_row::<DrainRegistry>(row) else {
            return;
        };
        let drained: BTreeSet<ServerId> = registry.servers.into_keys().collect();
        tracing::info!(event = events::SERVERS_CHANGED, ?drained, "drained servers changed");
        self.drained = Arc::new(drained);
        self.drains_version = row.version;
        self.rebuild_pools();
    }

    fn apply_role_orders(&mut self, row: &Row) {
        if row.version <= self.role_orders_version {
            return;
        }
        let Some(registry) = parse_row::<RoleOrderRegistry>(row) else {
            return;
        };
        self.role_orders = Arc::new(registry);
        self.role_orders_version = row.version;
    }

    /// Applies a change of the instance list, or the full list. Known servers keep their counters.
    pub fn apply_instances(&mut self, list: InstanceList) {
        if list.delta && list.instances.is_empty() {
            return;
        }
        let known: HashMap<&str, &Arc<ServerSlot>> =
            self.servers.iter().map(|slot| (slot.entry.server.as_str(), slot)).collect();
        let listed: BTreeSet<ServerId> =
            list.instances.iter().map(|entry| entry.server.clone()).collect();
        let mut servers: Vec<Arc<ServerSlot>> = Vec::with_capacity(known.len());
        if list.delta {
            let unchanged = self.servers.iter().filter(|slot| !listed.contains(&slot.entry.server));
            servers.extend(unchanged.cloned());
        }
        let mut changes: Vec<String> = Vec::new();
        for entry in list.instances {
            let previous = known.get(entry.server.as_str());
            if previous.is_none_or(|slot| slot.entry != entry) {
                changes.push(format!("{}={}", entry.server, entry.state));
            }
            if entry.state == InstanceState::Gone {
                continue;
            }
            servers.push(match previous {
                Some(slot) => Arc::new(ServerSlot::with_entry(entry, slot)),
                None => Arc::new(ServerSlot::new(entry)),
            });
        }
        if !changes.is_empty() || servers.len() != self.servers.len() {
            tracing::info!(
                event = events::SERVERS_CHANGED,
                servers = servers.len(),
                ?changes,
                "instance list changed"
            );
        }
        servers.sort_by(|left, right| left.entry.server.cmp(&right.entry.server));
        self.servers = Arc::new(servers);
        self.rebuild_pools();
    }

    fn rebuild_pools(&mut self) {
        self.pools = Arc::new(ServerPools::new(&self.servers, &self.drained));
    }
}

/// Returns the value of `row`. Logs the row as rejected and returns `None` if it does not parse.
fn parse_row<T: DeserializeOwned>(row: &Row) -> Option<T> {
    match serde_json::from_value(row.value.clone()) {
        Ok(value) => Some(value),
        Err(error) => {
            log_rejected_row(row, &error.to_string());
            None
        }
    }
}

fn log_rejected_row(row: &Row, message: &str) {
    tracing::error!(event = events::PRESET_REJECTED, key = %row.key, version = row.version, message, "control row rejected");
}
