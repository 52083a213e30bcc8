//! One server's load and health as this daemon sees them.

use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use umberglade_wire::engine::LoadSample;

use crate::state_lock;

/// How long a reported load counts. After that only the local count is used, so that a server
/// reported as full is not avoided forever when no newer report arrives.
const REPORT_RETENTION: Duration = Duration::from_secs(2);
/// How long the reported number of queued tokens takes to decay to zero.
const QUEUE_DECAY_TIME: Duration = Duration::from_millis(500);
/// How long a server is ejected after its first failure.
const MIN_EJECTION: Duration = Duration::from_millis(500);
/// The longest ejection after consecutive failures.
const MAX_EJECTION: Duration = Duration::from_secs(8);

/// A server's load: its last report, corrected by the local count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServerLoad {
    /// Estimated number of requests running on the server.
    pub running: u32,
    /// Requests the server can run at once; 0 until the first report.
    pub slots: u32,
    /// Estimated number of prompt tokens waiting for prefill on the server.
    pub queued_tokens: u64,
}

/// The load that other daemons put on the server: the last report minus the local count at the
/// time of the report.
#[derive(Debug, Clone, Copy)]
struct PeerLoad {
    running: u32,
    slots: u32,
    queued_tokens: u64,
    received_at: Instant,
}

#[derive(Debug, Default)]
struct HealthRecord {
    consecutive_failures: u32,
    ejected_until: Option<Instant>,
}

/// One server's counters. The locks `peer_load` and `health` are held only to copy a few words,
/// and no call holds both.
#[derive(Debug, Default)]
pub struct ServerCounters {
    /// Requests this daemon has in flight on the server.
    in_flight: AtomicU32,
    /// Prompt tokens this daemon has queued on the server.
    queued_tokens: AtomicU64,
    peer_load: Mutex<Option<PeerLoad>>,
    health: Mutex<HealthRecord>,
}

impl ServerCounters {
    pub(super) fn begin(&self, tokens: u64) {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        self.queued_tokens.fetch_add(tokens, Ordering::AcqRel);
    }

    pub(super) fn finish(&self, tokens: u64) {
        self.in_flight.fetch_sub(1, Ordering::AcqRel);
        self.release_tokens(tokens);
    }

    pub(super) fn release_tokens(&self, tokens: u64) {
        self.queued_tokens.fetch_sub(tokens, Ordering::AcqRel);
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Acquire)
    }

    pub(super) fn local_queued_tokens(&self) -> u64 {
        self.queued_tokens.load(Ordering::Acquire)
    }

    /// Records a load report. This daemon's own load is subtracted, because it is counted exactly;
    /// what remains is the load from other daemons, as of the report.
    pub(super) fn observe(&self, sample: LoadSample) {
        let local_tokens = self.local_queued_tokens();
        let peers = PeerLoad {
            running: sample.running.saturating_sub(self.in_flight()),
            slots: sample.slots,
            queued_tokens: sample.queued_tokens.saturating_sub(local_tokens),
            received_at: Instant::now(),
        };
        *state_lock::lock(&self.peer_load) = Some(peers);
    }

    pub(super) fn load(&self) -> ServerLoad {
        let peers = *state_lock::lock(&self.peer_load);
        let mut load = ServerLoad {
            running: self.in_flight(),
            slots: peers.map_or(0, |peers| peers.slots),
            queued_tokens: self.local_queued_tokens(),
        };
        if let Some(peers) = peers {
            let age = peers.received_at.elapsed();
            if age < REPORT_RETENTION {
                load.running += peers.running;
            }
            load.queued_tokens += decayed_tokens(peers.queued_tokens, age);
        }
        load
    }

    pub(super) fn record_success(&self) {
        *state_lock::lock(&self.health) = HealthRecord::default();
    }

    /// Ejects the server for a while. Covers a server that is leaving or dead while the instance
    /// list still shows it as live: its rejections and broken connections eject it at once,
    /// seconds before the list changes.
    pub(super) fn record_failure(&self) {
        let mut health = state_lock::lock(&self.health);
        let doubled = MIN_EJECTION * 2u32.saturating_pow(health.consecutive_failures.min(6));
        health.consecutive_failures += 1;
        health.ejected_until = Some(Instant::now() + doubled.min(MAX_EJECTION));
    }

    pub(super) fn is_ejected(&self) -> bool {
        let health = state_lock::lock(&self.health);
        health.ejected_until.is_some_and(|until| Instant::now() < until)
    }
}

/// Returns how many of the `tokens` reported `age` ago still count as queued. A server prefills
/// its queue within a fraction of a second.
///
/// Prevents a server from staying idle: reports are carried on responses, so a server considered
/// full gets no requests and sends no newer report, and its old report would keep requests away
/// until it expires.
fn decayed_tokens(tokens: u64, age: Duration) -> u64 {
    let left = 1.0 - age.as_secs_f64() / QUEUE_DECAY_TIME.as_secs_f64();
    (tokens as f64 * left.max(0.0)).ceil() as u64
}
