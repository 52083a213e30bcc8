//! The configuration that is in force at this gateway.

use std::sync::Arc;
use std::sync::OnceLock;

use super::ConfigLog;
use super::ConfigPart;
use crate::model::ConfigDelta;
use crate::model::ConfigId;
use crate::model::ConfigVersion;
use crate::model::RouteTable;

/// The outcome of applying a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InForceChange {
    /// It is in force now and replaces version `before`.
    Applied { before: Option<ConfigVersion> },
    /// It is the one in force, or older.
    NotNewer { current: ConfigVersion },
}

/// A configuration as it is held.
#[derive(Debug)]
pub struct HeldConfig {
    pub id: ConfigId,
    /// Size of its row in the store, in bytes.
    pub row_bytes: usize,
    pub table: Arc<RouteTable>,
    /// The whole configuration as it is sent to peers; encoded when one first asks for it.
    image: OnceLock<ConfigPart>,
}

impl HeldConfig {
    /// Creates the configuration `table`, read from a row of `row_bytes`.
    pub fn new(id: ConfigId, row_bytes: usize, table: RouteTable) -> Self {
        HeldConfig { id, row_bytes, table: Arc::new(table), image: OnceLock::new() }
    }

    /// Returns the whole configuration as it is sent to peers.
    pub fn image(&self) -> &ConfigPart {
        self.image.get_or_init(|| {
            let delta = ConfigDelta::between(&RouteTable::default(), &self.table);
            ConfigPart::new(None, self.id, self.row_bytes, delta.encode())
        })
    }
}

/// The configuration in force, and the changes that led to it.
///
/// Invariant: its row version never decreases. Prevents a late or stale response of the store from
/// restoring removed routes, which would send requests to services to which no route leads.
#[derive(Debug, Default)]
pub struct InForce {
    current: Option<Arc<HeldConfig>>,
    log: ConfigLog,
}

impl InForce {
    /// Applies `config` if it is newer than the one in force. `step` is the change that led to it;
    /// peers can have it if it began at the configuration in force.
    pub fn apply_if_newer(
        &mut self,
        config: HeldConfig,
        step: Option<ConfigPart>,
    ) -> InForceChange {
        if let Some(current) = &self.current
            && !config.id.is_newer_than(&current.id)
        {
            return InForceChange::NotNewer { current: current.id.version };
        }
        let before = self.current.replace(Arc::new(config));
        let before_id = before.as_ref().map(|config| config.id);
        let step = step.filter(|step| before_id.is_some() && step.from == before_id);
        let image = before.and_then(|config| config.image.get().cloned());
        self.log.record(step, image);
        InForceChange::Applied { before: before_id.map(|id| id.version) }
    }

    /// Returns the configuration in force; `None` until one is known.
    pub fn current(&self) -> Option<Arc<HeldConfig>> {
        self.current.clone()
    }

    /// Returns the changes that led to the configuration in force.
    pub fn log(&self) -> &ConfigLog {
        &self.log
    }

    /// Returns the table in force; `None` until one is known.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.current.as_ref().map(|config| Arc::clone(&config.table))
    }
}
