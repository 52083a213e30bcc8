//! Checks whether a server whose connection broke is still the process that its row describes.

use std::sync::Arc;
use std::time::Instant;

use umberglade_wire::pool;

use crate::codec::PlatformCodec;
use crate::leader::fetch_report;
use crate::leader::is_same_incarnation;
use crate::state::GatewayState;
use crate::upstream::SendTarget;

/// Checks the servers at which streams can't go on before it is known, until the process stops.
///
/// Prevents each break of a connection from keeping a sound server from taking up streams until its
/// row is read again.
pub async fn run_restart_checks<C: PlatformCodec>(state: Arc<GatewayState>) {
    while let Ok(target) = state.origins.next_doubted().await {
        pool::spawn(check_server::<C>(Arc::clone(&state), target));
    }
}

async fn check_server<C: PlatformCodec>(state: Arc<GatewayState>, target: SendTarget) {
    // A connection from before the break may lead to the process before.
    let target = SendTarget { may_reuse: false, ..target };
    let asked_at = Instant::now();
    let report = fetch_report::<C>(&state, &target).await;
    if let Ok((report, _)) = report
        && is_same_incarnation(&target, &report)
    {
        state.fleet().confirm_version(&target.server, target.incarnation, asked_at);
    }
}
