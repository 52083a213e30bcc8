//! Finds out whether a server that did not respond is down, or only this gateway's path to it is
//! broken.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use umberglade_wire::pool;

use super::path_connector::PATH_STAGGER;
use super::path_connector::opens_tunnel;
use crate::cluster::CheckStep;
use crate::cluster::PathVerdict;
use crate::events;
use crate::state::GatewayState;
use crate::timing::with_deadline;
use crate::upstream::SendTarget;
use crate::upstream::ServerConnection;
use crate::upstream::connect_directly;

/// Time without a response after which the path to the server is checked.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(300);
/// How long the end of a check in progress is awaited.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the output of `response`. While it takes longer than usual, checks the path to `target`.
///
/// Prevents one request after another from being written to connections that hang. The check opens
/// a connection, which a server that is only slow accepts.
pub async fn watch_silence<T>(
    state: &Arc<GatewayState>,
    target: &SendTarget,
    response: impl Future<Output = T>,
) -> T {
    let mut response = pin!(response);
    match with_deadline(Instant::now() + SILENCE_TIMEOUT, response.as_mut()).await {
        Some(output) => output,
        None => {
            request_check(state, target);
            response.await
        }
    }
}

/// Checks the path to `target` in the background, unless the server was heard or checked lately.
pub fn request_check(state: &Arc<GatewayState>, target: &SendTarget) {
    let now = Instant::now();
    if !state.fleet().paths.is_check_due(target.incarnation, now) {
        return;
    }
    let (state, target) = (Arc::clone(state), target.clone());
    pool::spawn(async move {
        locate_failure(&state, &target, now).await;
    });
}

/// Returns whose failure it is that `target` failed at `failed_at`, by the outcome of a check since
/// then. Several callers share one check.
pub async fn locate_failure(
    state: &Arc<GatewayState>,
    target: &SendTarget,
    failed_at: Instant,
) -> PathVerdict {
    let deadline = Instant::now() + CHECK_TIMEOUT;
    loop {
        let checked = state.path_checked.listen();
        let now = Instant::now();
        let step = state.fleet().paths.begin_check(target.incarnation, failed_at, now);
        match step {
            CheckStep::Known(verdict) => return verdict,
            CheckStep::Begin => {
                let verdict = check(state, target).await;
                state.fleet().paths.end_check(target.incarnation, verdict, Instant::now());
                state.path_checked.notify(usize::MAX);
                return verdict;
            }
            CheckStep::Wait if now >= deadline => return PathVerdict::ServerDown,
            CheckStep::Wait => drop(with_deadline(deadline, checked).await),
        }
    }
}

/// Connects to `target` directly, and through other gateways if that takes longer than usual.
async fn check(state: &Arc<GatewayState>, target: &SendTarget) -> PathVerdict {
    let mut direct = pin!(connect_directly(target.address));
    let in_time = with_deadline(Instant::now() + PATH_STAGGER, direct.as_mut()).await;
    let (is_reached, connected) = match in_time {
        Some(Ok(connection)) => (false, Ok(connection)),
        Some(Err(error)) => (reaches_by_tunnel(state, target).await, Err(error)),
        None => smol::future::zip(reaches_by_tunnel(state, target), direct).await,
    };
    // A server that was silent until now has opened the tunnel only.
    let connected = match connected {
        Err(error) if is_reached && error.is_connect_timeout() => {
            connect_directly(target.address).await
        }
        connected => connected,
    };
    match connected {
        Ok(connection) => {
            keep_open(state, target, connection);
            PathVerdict::Open
        }
        Err(_) if is_reached => {
            record_broken(state, target);
            PathVerdict::Broken
        }
        Err(_) => PathVerdict::ServerDown,
    }
}

/// Returns true if another gateway reaches `target`, and doubts this gateway's paths then. A server
/// that others have ejected is taken to be down without asking them.
async fn reaches_by_tunnel(state: &Arc<GatewayState>, target: &SendTarget) -> bool {
    let now = Instant::now();
    if state.fleet().peers.server(target.incarnation, now).ejections > 0 {
        return false;
    }
    let is_reached = opens_tunnel(state, target).await;
    if is_reached {
        state.fleet().paths.record_doubt(Instant::now());
    }
    is_reached
}

/// Records that a direct `connection` to `target` was opened, and keeps it for requests.
pub(super) fn keep_open(state: &GatewayState, target: &SendTarget, connection: ServerConnection) {
    record_open(state, target);
    state.pool.put(target, connection, None, Instant::now());
}

/// Records that a direct connection to `target` was opened.
pub(super) fn record_open(state: &GatewayState, target: &SendTarget) {
    let outage = state.fleet().paths.record_open(target.incarnation, Instant::now());
    let Some(outage) = outage else { return };
    tracing::info!(
        event = events::PATH_OPEN,
        server = %target.server,
        outage_ms = outage.as_millis() as u64,
        "path to a server works again"
    );
    state.report_requested.notify(1);
    state.capacity_changed.notify(usize::MAX);
}

/// Records that another gateway reaches `target` and this one does not.
pub(super) fn record_broken(state: &GatewayState, target: &SendTarget) {
    let (is_new, broken) = {
        let mut fleet = state.fleet();
        let is_new = fleet.record_path_broken(&target.server, target.incarnation, Instant::now());
        (is_new, fleet.paths.broken_count())
    };
    if !is_new {
        return;
    }
    metrics::counter!("umberglade_paths_broken_total").increment(1);
    tracing::warn!(
        event = events::PATH_BROKEN,
        server = %target.server,
        peer = %target.address,
        broken,
        "path to a server is broken; it is reached through other gateways"
    );
    state.path_broken.notify(1);
    state.report_requested.notify(1);
    state.capacity_changed.notify(usize::MAX);
}
