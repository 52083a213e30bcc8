//! What a gateway sends on its network link, by kind of traffic.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::events;
use crate::state::GatewayState;

/// Interval over which the use of the link is added up.
const INTERVAL: Duration = Duration::from_secs(1);
/// Fraction of the link from which on its use is logged.
const LOGGED_FRACTION: f64 = 0.5;
/// Size of the IP and UDP headers, in bytes.
pub const DATAGRAM_HEADERS: usize = 28;

/// Bytes sent since they were last read, without the headers of TCP.
#[derive(Debug, Default)]
pub struct LinkUse {
    /// Reports to other gateways, with the headers of their datagrams.
    pub reports: SentBytes,
    /// Rows and contents of tables, and configurations, to other gateways.
    pub tables: SentBytes,
    /// Bodies of requests to servers.
    pub requests: SentBytes,
    /// What other gateways' tunnels carry, in both directions.
    pub tunnels: SentBytes,
    /// Events of streams to callers.
    pub events: SentBytes,
}

/// A number of bytes.
#[derive(Debug, Default)]
pub struct SentBytes(AtomicU64);

impl SentBytes {
    /// Adds `bytes`.
    pub fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn take(&self) -> u64 {
        self.0.swap(0, Ordering::Relaxed)
    }
}

/// Logs each second in which much of the link was used, until the process stops.
pub async fn watch_link_use(state: Arc<GatewayState>) {
    let Some(link_bytes_per_s) = state.settings.link_bytes_per_s else { return };
    let min_logged = (link_bytes_per_s * INTERVAL.as_secs_f64() * LOGGED_FRACTION) as u64;
    loop {
        smol::Timer::after(INTERVAL).await;
        let LinkUse { reports, tables, requests, tunnels, events } = &state.link_use;
        let [reports, tables, requests, tunnels, events] =
            [reports, tables, requests, tunnels, events].map(SentBytes::take);
        let sum = reports + tables + requests + tunnels + events;
        if sum < min_logged {
            continue;
        }
        tracing::info!(
            event = events::LINK_LOADED,
            link_bytes_per_s = link_bytes_per_s as u64,
            sum,
            reports,
            tables,
            requests,
            tunnels,
            events,
            "much of the link is used"
        );
    }
}
