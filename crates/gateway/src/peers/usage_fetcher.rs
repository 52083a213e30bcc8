//! Takes over from peers what was used before this process started, or while it was cut off.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::usage_messages::UsageSnapshot;
use super::usage_messages::ask_usage;
use crate::events;
use crate::state::GatewayState;

/// Time limit of a transfer.
const TIMEOUT: Duration = Duration::from_millis(600);
/// Mean time between two transfers.
const REST: Duration = Duration::from_millis(100);

/// A peer that knows what this gateway does not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageSource {
    pub address: SocketAddr,
    /// How long the peer's process has run.
    pub age: Duration,
}

/// Fetches what peers know, until the process stops.
pub async fn fetch_usage(state: Arc<GatewayState>) {
    loop {
        let found = state.usage_source_found.listen();
        let source = state.usage_source.lock().take();
        let Some(source) = source else {
            found.await;
            continue;
        };
        let started_at = Instant::now();
        let fetched = ask_usage(source.address, started_at + TIMEOUT).await;
        let now = Instant::now();
        if let Ok(snapshot) = &fetched {
            snapshot.apply(&state, now);
        }
        let knows_window = state.knows_use();
        let processes =
            fetched.as_ref().map_or(0, |snapshot: &UsageSnapshot| snapshot.retries.len());
        tracing::info!(
            event = events::USAGE_RECEIVED,
            peer = %source.address,
            processes,
            knows_window,
            elapsed_ms = started_at.elapsed().as_millis() as u64,
            error = fetched.as_ref().err().map(ToString::to_string),
            "use of shared limits received from a peer"
        );
        smol::Timer::after(REST.mul_f64(0.5 + fastrand::f64())).await;
    }
}

impl GatewayState {
    /// Returns true if this gateway knows what all processes have used in the last windows.
    fn knows_use(&self) -> bool {
        self.retries.lock().knows_window(Instant::now())
            && (!self.has_organisations() || self.quotas.knows_window(&self.quota_view()))
    }

    /// Offers a peer from which to take over what was used, if this gateway does not know it: since
    /// it has just started or, with `was_isolated`, has heard no peer for a while. Of several peers
    /// the one is asked that has run for longest.
    pub(super) fn offer_usage_source(&self, offered: UsageSource, was_isolated: bool) {
        let knows_window = self.knows_use();
        let may_know_more = offered.age > self.age();
        if !was_isolated && (knows_window || !may_know_more) {
            return;
        }
        let mut source = self.usage_source.lock();
        if source.is_none_or(|known| known.age < offered.age) {
            *source = Some(offered);
        }
        drop(source);
        self.usage_source_found.notify(1);
    }
}
