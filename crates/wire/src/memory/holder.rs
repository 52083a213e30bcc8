//! What a budget knows of one connection.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use event_listener::Event;

use super::eviction::HolderPhase;
use super::eviction::HolderUse;

/// Stands for a caller that takes its bytes.
const NOT_BLOCKED: u64 = u64::MAX;

/// One connection's part of a budget.
#[derive(Debug)]
pub(super) struct Holder {
    opened_at: Instant,
    /// A [`HolderPhase`].
    phase: AtomicU8,
    owner: AtomicU64,
    /// True when `owner` is an organisation, false when it is an address.
    is_organisation: AtomicBool,
    /// Bytes of the budget that it holds; changed by the budget only.
    pub bytes: AtomicUsize,
    /// Of these, bytes of large draws; changed by the budget only.
    pub large: AtomicUsize,
    /// Milliseconds from `opened_at` to the beginning of the phase.
    phase_began_ms: AtomicU64,
    received: AtomicU64,
    /// Bytes that have been read since a head, or a piece of a body, was complete.
    unparsed: AtomicUsize,
    /// Bytes that lie unread behind the request that is served.
    behind: AtomicUsize,
    /// Milliseconds from `opened_at` to the first write that could not be completed, or
    /// [`NOT_BLOCKED`].
    blocked_ms: AtomicU64,
    is_evicted: AtomicBool,
    evicted: Event,
}

impl Holder {
    pub fn new(owner: u64) -> Self {
        Holder {
            opened_at: Instant::now(),
            phase: AtomicU8::new(HolderPhase::Connected as u8),
            owner: AtomicU64::new(owner),
            is_organisation: AtomicBool::new(false),
            bytes: AtomicUsize::new(0),
            large: AtomicUsize::new(0),
            phase_began_ms: AtomicU64::new(0),
            received: AtomicU64::new(0),
            unparsed: AtomicUsize::new(0),
            behind: AtomicUsize::new(0),
            blocked_ms: AtomicU64::new(NOT_BLOCKED),
            is_evicted: AtomicBool::new(false),
            evicted: Event::new(),
        }
    }

    fn now_ms(&self) -> u64 {
        self.opened_at.elapsed().as_millis() as u64
    }

    pub fn phase(&self) -> HolderPhase {
        let phase = HolderPhase::from_repr(self.phase.load(Ordering::Acquire));
        phase.expect("only phases are stored")
    }

    /// Begins `phase`.
    pub fn enter(&self, phase: HolderPhase) {
        self.received.store(0, Ordering::Relaxed);
        self.behind.store(0, Ordering::Relaxed);
        self.phase_began_ms.store(self.now_ms(), Ordering::Relaxed);
        self.phase.store(phase as u8, Ordering::Release);
    }

    pub fn owner(&self) -> u64 {
        self.owner.load(Ordering::Relaxed)
    }

    /// Returns the organisation that it belongs to, if that is known.
    pub fn organisation(&self) -> Option<u64> {
        self.is_organisation.load(Ordering::Relaxed).then(|| self.owner())
    }

    pub fn set_organisation(&self, organisation: u64) {
        self.owner.store(organisation, Ordering::Relaxed);
        self.is_organisation.store(true, Ordering::Relaxed);
    }

    /// Records that `bytes` have been read; returns how many since a head, or a piece of a body,
    /// was complete.
    pub fn record_read(&self, bytes: usize) -> usize {
        self.unparsed.fetch_add(bytes, Ordering::Relaxed) + bytes
    }

    /// Records that a head, or a piece of a body, is complete.
    pub fn record_parsed(&self) {
        self.unparsed.store(0, Ordering::Relaxed);
    }

    /// Records that `bytes` lie unread behind the request that is served.
    pub fn record_behind(&self, bytes: usize) {
        self.behind.store(bytes, Ordering::Relaxed);
    }

    /// Records that `bytes` of a request's body have arrived.
    pub fn record_received(&self, bytes: usize) {
        self.record_parsed();
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Records that the caller has taken bytes, or that it takes none at present.
    pub fn record_write(&self, is_blocked: bool) {
        if !is_blocked {
            self.blocked_ms.store(NOT_BLOCKED, Ordering::Relaxed);
        } else if self.blocked_ms.load(Ordering::Relaxed) == NOT_BLOCKED {
            self.blocked_ms.store(self.now_ms(), Ordering::Relaxed);
        }
    }

    pub fn is_evicted(&self) -> bool {
        self.is_evicted.load(Ordering::Acquire)
    }

    /// Asks the connection to make room.
    pub fn evict(&self) {
        self.is_evicted.store(true, Ordering::Release);
        self.evicted.notify(usize::MAX);
    }

    /// Waits until the connection is asked to make room.
    pub async fn wait_evicted(&self) {
        loop {
            let evicted = self.evicted.listen();
            if self.is_evicted() {
                return;
            }
            evicted.await;
        }
    }

    /// Returns what the eviction policy weighs, as if it held `more_bytes` more.
    pub fn current_use(&self, more_bytes: usize) -> HolderUse {
        let now_ms = self.now_ms();
        let since = |began_ms: u64| Duration::from_millis(now_ms.saturating_sub(began_ms));
        let blocked_ms = self.blocked_ms.load(Ordering::Relaxed);
        HolderUse {
            phase: self.phase(),
            owner: self.owner(),
            bytes: self.bytes.load(Ordering::Relaxed) + more_bytes,
            age: since(self.phase_began_ms.load(Ordering::Relaxed)),
            received: self.received.load(Ordering::Relaxed),
            bytes_behind: self.behind.load(Ordering::Relaxed),
            blocked: (blocked_ms != NOT_BLOCKED).then(|| since(blocked_ms)),
        }
    }
}
