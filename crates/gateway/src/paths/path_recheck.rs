//! Finds out when broken paths work again.

use std::sync::Arc;
use std::time::Duration;

use umberglade_wire::pool;

use super::path_check::keep_open;
use crate::model::ServerIncarnation;
use crate::state::GatewayState;
use crate::upstream::SendTarget;
use crate::upstream::connect_directly;

/// Interval at which some broken paths are checked.
const RECHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Number of paths that are checked at a time. Where many broke together, the first that works again
/// has all others checked at once.
const PATHS_PER_CHECK: usize = 4;

/// Checks broken paths by opening connections, until the process stops.
///
/// Prevents requests from being used to find out whether a path works: callers notice neither the
/// end of a cut nor its duration.
pub async fn recheck_broken_paths(state: Arc<GatewayState>) {
    loop {
        let path_broken = state.path_broken.listen();
        let mut servers = broken_servers(&state);
        if servers.is_empty() {
            path_broken.await;
            smol::Timer::after(RECHECK_INTERVAL).await;
            continue;
        }
        fastrand::shuffle(&mut servers);
        servers.truncate(PATHS_PER_CHECK);
        let checks: Vec<_> = servers
            .into_iter()
            .map(|server| pool::spawn_joined(recheck(Arc::clone(&state), server)))
            .collect();
        let mut is_any_open = false;
        for check in checks {
            is_any_open |= check.await;
        }
        if !is_any_open {
            smol::Timer::after(RECHECK_INTERVAL).await;
        }
    }
}

fn broken_servers(state: &GatewayState) -> Vec<ServerIncarnation> {
    state.fleet().paths.broken().collect()
}

fn target_of(state: &GatewayState, server: ServerIncarnation) -> Option<SendTarget> {
    let fleet = state.fleet();
    let entry = &fleet.server_by_incarnation(server)?.entry;
    let (server_key, address) = (entry.server.clone(), entry.address);
    Some(SendTarget { server: server_key, incarnation: server, address, may_reuse: false })
}

/// Returns true if the path to `server` works again.
async fn recheck(state: Arc<GatewayState>, server: ServerIncarnation) -> bool {
    let Some(target) = target_of(&state, server) else { return false };
    match connect_directly(target.address).await {
        Ok(connection) => {
            keep_open(&state, &target, connection);
            true
        }
        Err(_) => false,
    }
}
