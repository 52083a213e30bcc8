//! What this daemon knows of one server's load and health.

use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use umberglade_wire::engine::LoadSample;

/// How long a reported load counts; then only our own count is left, so a
/// server that was full once is not shunned for want of newer reports.
const REPORT_RETENTION: Duration = Duration::from_secs(2);
/// How long reported waiting tokens take to fade to nothing.
const QUEUE_DECAY_TIME: Duration = Duration::from_millis(500);
/// How long a server is set aside after a first failure.
const MIN_EJECTION: Duration = Duration::from_millis(500);
/// The longest it is set aside after failures in a row.
const MAX_EJECTION: Duration = Duration::from_secs(8);

/// A server's load: its last report corrected by our own count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServerLoad {
    /// Requests held there, as best known.
    pub running: u32,
    /// Requests it can hold; 0 while no report has come.
    pub slots: u32,
    /// Prompt tokens waiting there to be computed, as best known.
    pub queued_tokens: u64,
}

/// The last report, less our own share of it at that moment: what other
/// daemons have there.
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

/// One server's figures. Locks `others` and `health` are held only to copy
/// a few words; no call holds both.
#[derive(Debug, Default)]
pub struct ServerCounters {
    /// Requests this daemon has in flight there.
    in_flight: AtomicU32,
    /// Prompt tokens this daemon has waiting there.
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

    /// Takes in a report. Our own part is subtracted, since it is counted
    /// exactly: what is left is the lagging view of the others' part.
    pub(super) fn observe(&self, sample: LoadSample) {
        let local_tokens = self.local_queued_tokens();
        let peers = PeerLoad {
            running: sample.running.saturating_sub(self.in_flight()),
            slots: sample.slots,
            queued_tokens: sample.queued_tokens.saturating_sub(local_tokens),
            received_at: Instant::now(),
        };
        *self.peer_load.lock().expect("peer load lock") = Some(peers);
    }

    pub(super) fn load(&self) -> ServerLoad {
        let peers = *self.peer_load.lock().expect("peer load lock");
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
        *self.health.lock().expect("health lock") = HealthRecord::default();
    }

    /// Guards against a server that is leaving or dead while the instance
    /// list still shows it live: its refusals and broken connections set
    /// it aside at once, seconds before the list moves.
    pub(super) fn record_failure(&self) {
        let mut health = self.health.lock().expect("health lock");
        let doubled = MIN_EJECTION * 2u32.saturating_pow(health.consecutive_failures.min(6));
        health.consecutive_failures += 1;
        health.ejected_until = Some(Instant::now() + doubled.min(MAX_EJECTION));
    }

    pub(super) fn is_ejected(&self) -> bool {
        let health = self.health.lock().expect("health lock");
        health.ejected_until.is_some_and(|until| Instant::now() < until)
    }
}

/// What is left of `tokens` reported `age` ago: a server reads what waits
/// there within a fraction of a second.
///
/// Guards against a server left idle: reports ride on answers, a server
/// received_at for full gets no requests and so sends no newer report, and an
/// old one would keep it empty for its whole life.
fn decayed_tokens(tokens: u64, age: Duration) -> u64 {
    let left = 1.0 - age.as_secs_f64() / QUEUE_DECAY_TIME.as_secs_f64();
    (tokens as f64 * left.max(0.0)).ceil() as u64
}
