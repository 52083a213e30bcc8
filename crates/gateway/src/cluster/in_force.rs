//! Which configuration is in force here.

use std::sync::Arc;

use crate::model::ConfigVersion;
use crate::model::RouteTable;
use crate::model::StoreVersion;

/// What became of a configuration that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InForceChange {
    /// It is in force now, instead of version `before`.
    Applied { before: Option<ConfigVersion> },
    /// It is the one in force, or older.
    NotNewer { current: ConfigVersion },
}

/// The configuration in force.
///
/// Invariant: its row version never falls. Guards against a late or stale
/// answer of the store: applied, it would bring dropped routes back and
/// send requests to services they have left.
#[derive(Debug, Default)]
pub struct InForce {
    current: Option<(StoreVersion, Arc<RouteTable>)>,
}

impl InForce {
    /// Takes in `table`, read at row version `version`.
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

    /// The version of the row in force, with its table.
    pub fn current(&self) -> Option<&(StoreVersion, Arc<RouteTable>)> {
        self.current.as_ref()
    }

    /// The table in force; `None` before one is known.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.current.as_ref().map(|(_, table)| Arc::clone(table))
    }
}
