//! Backoffs that servers request when they reject requests.

use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashMap;

use super::BackoffUpdate;
use super::IncarnationTable;
use super::update_sample::sample;
use crate::model::ServerIncarnation;

/// How long a new or extended backoff is eligible for every report.
const REPORT_WINDOW: Duration = Duration::from_secs(3);
/// Maximum number of backoffs in a report. Limits them to a quarter of the maximum datagram
/// size.
const MAX_REPORTED: usize = 80;
/// Maximum number of gateways per server. Bounds memory, since backoffs reported by peers are not
/// verified.
const MAX_GATEWAYS: usize = 1024;

/// The backoff of one gateway from one server incarnation.
#[derive(Debug, Clone, Copy)]
struct ServerBackoff {
    until: Instant,
    /// When `until` was last set at this gateway.
    changed_at: Instant,
}

/// The backoffs that server incarnations have requested. Includes those of peers, so that a
/// restarted gateway can learn its own backoffs from its peers.
#[derive(Debug, Default)]
pub struct ServerBackoffs {
    /// Per server, by the digest of the gateway.
    backoffs: IncarnationTable<FxHashMap<u64, ServerBackoff>>,
}

impl ServerBackoffs {
    /// Records that `server` requests a backoff from `gateway` until `until`, unless the known one
    /// ends no earlier. Returns true if it was recorded.
    pub fn record(
        &mut self,
        server: ServerIncarnation,
        gateway: u64,
        until: Instant,
        now: Instant,
    ) -> bool {
        let Some(gateways) = self.backoffs.get_or_insert_with(server, now, FxHashMap::default)
        else {
            return false;
        };
        let known = gateways.get(&gateway);
        let is_later = known.is_none_or(|known| known.until < until);
        if !is_later || (known.is_none() && gateways.len() >= MAX_GATEWAYS) {
            return false;
        }
        gateways.insert(gateway, ServerBackoff { until, changed_at: now });
        true
    }

    /// Returns when the backoff of `gateway` from `server` ends; `None` when none is in force.
    pub fn until(&self, server: ServerIncarnation, gateway: u64, now: Instant) -> Option<Instant> {
        let backoff = self.backoffs.get(server)?.get(&gateway)?;
        (now < backoff.until).then_some(backoff.until)
    }

    /// Returns the backoffs that a report of `local_gateway` includes: its recent ones, and all of
    /// the gateways for which `reports_all_of` is true; a random sample if there are too many.
    pub fn updates(
        &self,
        local_gateway: u64,
        reports_all_of: impl Fn(u64) -> bool,
        now: Instant,
    ) -> Vec<BackoffUpdate> {
        let is_reported = |gateway: u64, backoff: &ServerBackoff| {
            let is_recent = now.saturating_duration_since(backoff.changed_at) < REPORT_WINDOW;
            now < backoff.until
                && (reports_all_of(gateway) || (gateway == local_gateway && is_recent))
        };
        let all = self.backoffs.iter().flat_map(|(server, gateways)| {
            gateways.iter().map(move |(gateway, backoff)| (server, *gateway, *backoff))
        });
        let reported = all.filter(|(_, gateway, backoff)| is_reported(*gateway, backoff));
        let updates = reported.map(|(server, gateway, backoff)| {
            let left = backoff.until.saturating_duration_since(now);
            let left_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
            BackoffUpdate { server, gateway, left_ms }
        });
        sample(updates.collect(), MAX_REPORTED)
    }

    /// Removes backoffs that have ended, and servers that have been unlisted for the
    /// retention period of the table.
    pub fn tick(&mut self, is_listed: impl Fn(ServerIncarnation) -> bool, now: Instant) {
        self.backoffs.tick(is_listed, now);
        self.backoffs.retain(|gateways| {
            gateways.retain(|_, backoff| now < backoff.until);
            !gateways.is_empty()
        });
    }

    pub fn is_empty(&self) -> bool {
        self.backoffs.is_empty()
    }
}
