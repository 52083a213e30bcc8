//! The configuration that is in force at this gateway.

use std::sync::Arc;

use crate::model::ConfigVersion;
use crate::model::RouteTable;
use crate::model::StoreVersion;

/// The outcome of applying a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InForceChange {
    /// It is in force now and replaces version `before`.
    Applied { before: Option<ConfigVersion> },
    /// It is the one in force, or older.
    NotNewer { current: ConfigVersion },
}

/// The configuration in force.
///
/// Invariant: its row version never decreases. Prevents a late or stale response of the store from
/// restoring removed routes, which would send requests to services to which no route leads.
#[derive(Debug, Default)]
pub struct InForce {
    current: Option<(StoreVersion, Arc<RouteTable>)>,
}

impl InForce {
    /// Applies `table`, read at row version `version`, if it is newer than the one in force.
    pub fn apply_if_newer(&mut self, version: StoreVersion, table: RouteTable) -> InForceChange {
        let before = match &self.current {
            Some((known, current)) if version <= *known || table.version <= current.version => {
                return InForceChange::NotNewer { current: current.version };
            }
            Some((_, current)) => Some(current.version),
            None => None,
        };
        self.current = Some((version, Arc::new(table)));
        InForceChange::Applied { before }
    }

    /// Returns the table in force and the version of its row.
    pub fn current(&self) -> Option<&(StoreVersion, Arc<RouteTable>)> {
        self.current.as_ref()
    }

    /// Returns the table in force; `None` until one is known.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.current.as_ref().map(|(_, table)| Arc::clone(table))
    }
}
