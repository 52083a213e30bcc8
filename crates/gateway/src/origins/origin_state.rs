//! The origins that a gateway knows, and what is due to be written of them.

use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::RecvError;
use async_channel::Sender;
use event_listener::Event;
use smol::lock::Mutex as AsyncMutex;

use super::software_rows::LoadedRows;
use crate::cluster::StreamOrigin;
use crate::cluster::StreamOrigins;
use crate::peers::OriginTeller;
use crate::state_lock::StateLock;
use crate::upstream::SendTarget;

/// Maximum number of origins that wait to be written to the store.
const MAX_PENDING: usize = 4096;

/// Maximum number of servers that wait to be checked; the rows tell of others.
const MAX_DOUBTED: usize = 64;

/// The origins of streams at one gateway.
#[derive(Debug)]
pub struct OriginState {
    origins: StateLock<StreamOrigins>,
    /// Own origins that are to be written to the store.
    pending: StateLock<Vec<StreamOrigin>>,
    /// Notified when versions are to be announced in the store.
    pub announcement_due: Event,
    /// Notified when there is something to write to the store.
    pub write_due: Event,
    /// Set once other gateways can be told.
    pub(super) teller: OnceLock<OriginTeller>,
    /// Number of reads of the store's rows that were requested so far.
    pub(super) reads_requested: AtomicU64,
    /// The rows as last read.
    pub(super) rows: AsyncMutex<LoadedRows>,
    /// Number of lookups at other gateways in progress.
    pub(super) lookups: AtomicUsize,
    /// Servers that may have been started again since their row was read.
    doubted: (Sender<SendTarget>, Receiver<SendTarget>),
}

impl Default for OriginState {
    fn default() -> Self {
        OriginState {
            origins: StateLock::default(),
            pending: StateLock::default(),
            announcement_due: Event::new(),
            write_due: Event::new(),
            teller: OnceLock::new(),
            reads_requested: AtomicU64::new(0),
            rows: AsyncMutex::default(),
            lookups: AtomicUsize::new(0),
            doubted: async_channel::bounded(MAX_DOUBTED),
        }
    }
}

impl OriginState {
    /// Sets the means by which other gateways are told.
    pub fn set_teller(&self, teller: OriginTeller) {
        // Fails only if it is set already.
        let _ = self.teller.set(teller);
    }

    /// Has `target` checked, which may have been started again since its row was read.
    pub fn doubt_server(&self, target: &SendTarget) {
        // Fails if too many wait: its row tells within seconds.
        let _ = self.doubted.0.try_send(target.clone());
    }

    /// Waits for the next server to check.
    pub(super) async fn next_doubted(&self) -> Result<SendTarget, RecvError> {
        self.doubted.1.recv().await
    }

    /// Locks the known origins.
    pub fn known(&self) -> MutexGuard<'_, StreamOrigins> {
        self.origins.lock()
    }

    /// Records an origin that another gateway or the store tells.
    pub fn record_told(&self, origin: StreamOrigin) {
        self.record(origin, false);
    }

    /// Records the origin of a stream that begins here, and has it written to the store if
    /// `is_written`.
    pub fn record_own(&self, origin: StreamOrigin, is_written: bool) {
        self.record(origin, true);
        if is_written {
            self.queue(&[origin]);
        }
    }

    /// Has the origins of all own streams written to the store.
    pub fn write_all(&self) {
        let own = self.known().own();
        self.queue(&own);
    }

    /// Takes the origins that are to be written.
    pub(super) fn take_pending(&self) -> Vec<StreamOrigin> {
        std::mem::take(&mut *self.pending.lock())
    }

    fn record(&self, origin: StreamOrigin, is_own: bool) {
        let is_kept = self.known().record(origin, is_own, Instant::now());
        if !is_kept {
            metrics::counter!("umberglade_stream_origins_lost_total").increment(1);
        }
    }

    fn queue(&self, origins: &[StreamOrigin]) {
        let mut pending = self.pending.lock();
        let room = MAX_PENDING.saturating_sub(pending.len());
        let dropped = origins.len().saturating_sub(room);
        pending.extend(origins.iter().take(room));
        drop(pending);
        if dropped > 0 {
            metrics::counter!("umberglade_stream_origins_unwritten_total")
                .increment(dropped as u64);
        }
        self.write_due.notify(1);
    }
}
