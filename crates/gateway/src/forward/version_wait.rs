//! Waits for room at the one version at which a stream may go on.

use std::sync::Arc;
use std::time::Instant;

use http::Response;

use super::Call;
use super::GatewayBody;
use super::Rejection;
use super::attempts::Attempts;
use super::capacity_wait::NO_SERVER_RETRY_AFTER;
use super::capacity_wait::POLL_INTERVAL;
use super::capacity_wait::capacity_retry_after;
use super::capacity_wait::stream_deadline;
use super::reject::reject_call;
use super::reject::reject_stopping;
use super::stream_placement::PlacedStream;
use super::stream_placement::place_stream;
use crate::cluster::PlacementError;
use crate::cluster::PlacementTurn;
use crate::state::GatewayState;
use crate::timing::with_deadline;

/// Waits until a decode server of the version that began the stream has room. The stream is not in
/// the service's queue.
///
/// Prevents streams that wait for one version from holding up those that may begin at any, and a
/// caller in the middle of a response from waiting behind those that have nothing yet.
pub(super) async fn wait_for_version(
    state: &Arc<GatewayState>,
    call: &Call,
    attempts: &Attempts,
) -> Result<PlacedStream, Response<GatewayBody>> {
    let deadline = stream_deadline(state, call);
    loop {
        let wakeup = state.capacity_changed.listen();
        if !state.stop.may_begin(call.route.kind, call.deadline) {
            return Err(reject_stopping(call, 0));
        }
        match place_stream(state, call, attempts, PlacementTurn::Ranked(0)) {
            Ok(placed) => return Ok(placed),
            Err(PlacementError::NoServer) => {
                let retry_after = Some(NO_SERVER_RETRY_AFTER);
                return Err(reject_call(call, Rejection::NoServerOfVersion, retry_after, 0));
            }
            Err(PlacementError::NoRoom) if Instant::now() >= deadline => {
                let retry_after = Some(capacity_retry_after(state, call));
                return Err(reject_call(call, Rejection::NoRoom, retry_after, 0));
            }
            Err(PlacementError::NoRoom) => {
                let poll_at = (Instant::now() + POLL_INTERVAL).min(deadline);
                with_deadline(poll_at, wakeup).await;
            }
        }
    }
}
