//! Servers available for new work, grouped by model and role.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use umberglade_wire::engine::EngineRole;
use umberglade_wire::ids::ModelName;
use umberglade_wire::ids::ServerId;
use umberglade_wire::platform::InstanceState;

use super::ServerSlot;

/// Servers of one role for one model.
pub type ServerPool = Arc<[Arc<ServerSlot>]>;

/// One model's servers by role.
#[derive(Debug, Clone, Default)]
struct ModelPools {
    prefill: Vec<Arc<ServerSlot>>,
    decode: Vec<Arc<ServerSlot>>,
    plain: Vec<Arc<ServerSlot>>,
}

/// All pools, computed once when servers change, so that a request looks up its candidates
/// without copying them.
#[derive(Debug, Clone, Default)]
pub struct ServerPools {
    pools: HashMap<ModelName, HashMap<EngineRole, ServerPool>>,
}

impl ServerPools {
    /// Groups those of `servers` that are live and not in `drained`.
    pub fn new(servers: &[Arc<ServerSlot>], drained: &BTreeSet<ServerId>) -> Self {
        let mut models: HashMap<ModelName, ModelPools> = HashMap::new();
        for slot in servers {
            let entry = &slot.entry;
            if entry.state != InstanceState::Live || drained.contains(&entry.server) {
                continue;
            }
            let pools = models.entry(entry.model.clone()).or_default();
            match entry.role {
                EngineRole::Prefill => pools.prefill.push(Arc::clone(slot)),
                EngineRole::Decode => pools.decode.push(Arc::clone(slot)),
                EngineRole::Plain => pools.plain.push(Arc::clone(slot)),
            }
        }
        let pools = models
            .into_iter()
            .map(|(model, pools)| {
                let by_role = HashMap::from([
                    (EngineRole::Prefill, pools.prefill.into()),
                    (EngineRole::Decode, pools.decode.into()),
                    (EngineRole::Plain, pools.plain.into()),
                ]);
                (model, by_role)
            })
            .collect();
        ServerPools { pools }
    }

    /// Returns the servers of `role` for `model`, empty if there are none.
    pub fn get(&self, role: EngineRole, model: &str) -> ServerPool {
        self.pools
            .get(model)
            .and_then(|by_role| by_role.get(&role))
            .cloned()
            .unwrap_or_else(|| Arc::new([]))
    }
}
