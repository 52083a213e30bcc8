//! The snapshot of what is in force, and the lock that publishes it.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::RwLock;
use std::time::Instant;

use umberglade_wire::engine::EngineRole;
use umberglade_wire::ids::Fence;
use umberglade_wire::ids::OrganisationId;
use umberglade_wire::ids::RowVersion;
use umberglade_wire::ids::ServerId;
use umberglade_wire::platform::InstanceState;

use super::ServerSlot;
use crate::preset::Preset;

/// Everything a request needs to know about what is in force.
#[derive(Debug, Clone, Default)]
pub struct ControlSnapshot {
    /// The version of the `control/active` row in force; 0 before any.
    /// Invariant: only grows over a daemon's life. It is also the fencing
    /// number on every order this daemon sends.
    pub fence: Fence,
    pub preset_name: String,
    /// When this daemon took `fence` into force.
    pub fence_applied_at: Option<std::time::SystemTime>,
    /// `None` until a preset has been read.
    pub preset: Option<Arc<Preset>>,
    /// Version of the organisations row this map was read from.
    pub organisations_version: RowVersion,
    /// API key → organisation.
    pub api_keys: HashMap<String, OrganisationId>,
    pub drains_version: RowVersion,
    pub drained: BTreeSet<ServerId>,
    /// Generation of the instance list `servers` was read from.
    pub instances_generation: u64,
    /// Backend servers from the instance list, drained ones included.
    pub servers: Vec<Arc<ServerSlot>>,
    /// When the platform last answered every read of a follow round.
    pub last_sync: Option<Instant>,
}

impl ControlSnapshot {
    /// Servers of `role` for `model` that take new work: live in the
    /// instance list and not drained by an operator.
    pub fn candidates(
        &self,
        role: EngineRole,
        model: &str,
    ) -> smallvec::SmallVec<[Arc<ServerSlot>; 32]> {
        self.servers
            .iter()
            .filter(|slot| slot.entry.role == role && slot.entry.model == model)
            .filter(|slot| slot.entry.state == InstanceState::Live)
            .filter(|slot| !self.drained.contains(&slot.entry.server))
            .cloned()
            .collect()
    }
}

/// The published snapshot. One lock, held only to swap or clone an `Arc`.
#[derive(Debug, Default)]
pub struct ControlState {
    current: RwLock<Arc<ControlSnapshot>>,
}

impl ControlState {
    /// The snapshot in force now.
    pub fn current(&self) -> Arc<ControlSnapshot> {
        self.current.read().expect("control lock").clone()
    }

    /// Puts `next` in force.
    pub fn publish(&self, next: ControlSnapshot) {
        *self.current.write().expect("control lock") = Arc::new(next);
    }
}
