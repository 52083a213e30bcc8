//! The daemon: the state its requests share, and its graceful stop.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use metrics_exporter_prometheus::PrometheusHandle;
use umberglade_wire::ids::Fence;
use umberglade_wire::ids::ModelName;
use umberglade_wire::ids::RequestId;

use crate::admission::AdmissionQueue;
use crate::admission::PrefillTimeEstimator;
use crate::admission::RetryBudget;
use crate::control::ControlState;
use crate::events;
use crate::idempotency::IdempotencyLedger;
use crate::membership::MemberView;
use crate::platform::PlatformClient;
use crate::settings::DaemonSettings;
use crate::state_lock;

/// How long a graceful stop waits at most for requests in flight.
pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);

/// The daemon. Cheap to clone; all clones share one state.
#[derive(Debug)]
pub struct Daemon<P> {
    pub(crate) shared: Arc<DaemonShared<P>>,
}

impl<P> Clone for Daemon<P> {
    fn clone(&self) -> Self {
        Daemon { shared: Arc::clone(&self.shared) }
    }
}

/// The state that all requests share. Lock order: `queues`, then the lock of a queue. The control
/// lock is never held together with either.
#[derive(Debug)]
pub(crate) struct DaemonShared<P> {
    pub(crate) settings: DaemonSettings,
    pub(crate) control: Arc<ControlState>,
    pub(crate) members: Arc<MemberView>,
    pub(crate) placement: P,
    pub(crate) metrics: Option<PrometheusHandle>,
    pub(crate) budget: RetryBudget,
    pub(crate) prefill_times: PrefillTimeEstimator,
    pub(crate) ledger: IdempotencyLedger,
    queues: Mutex<HashMap<ModelName, Arc<AdmissionQueue>>>,
    /// Requests admitted whose response is not complete yet.
    in_flight: AtomicU32,
    next_sequence: AtomicU64,
    /// The fencing token that an engine last rejected as stale; 0 if none was.
    rejected_fence: AtomicU64,
    /// Set when a graceful stop begins. New requests are rejected from then on.
    draining: AtomicBool,
}

/// Counts one request in the daemon's in-flight total until it is dropped.
#[derive(Debug)]
pub struct AdmissionGuard<P> {
    daemon: Daemon<P>,
}

impl<P> Drop for AdmissionGuard<P> {
    fn drop(&mut self) {
        self.daemon.shared.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl<P> Daemon<P> {
    /// Creates a daemon that serves by the configuration in `control`, places requests with
    /// `placement` and renders `metrics` at `/metrics` if given.
    pub fn new(
        settings: DaemonSettings,
        control: Arc<ControlState>,
        members: Arc<MemberView>,
        placement: P,
        metrics: Option<PrometheusHandle>,
    ) -> Self {
        let platform = PlatformClient::new(settings.platform.clone(), settings.platform_timeout);
        let ledger = IdempotencyLedger::new(platform, &settings.daemon_id, settings.incarnation);
        let shared = DaemonShared {
            settings,
            control,
            members,
            placement,
            metrics,
            budget: RetryBudget::default(),
            prefill_times: PrefillTimeEstimator::default(),
            ledger,
            queues: Mutex::new(HashMap::new()),
            in_flight: AtomicU32::new(0),
            next_sequence: AtomicU64::new(0),
            rejected_fence: AtomicU64::new(0),
            draining: AtomicBool::new(false),
        };
        Daemon { shared: Arc::new(shared) }
    }

    /// Begins a graceful stop: the health check fails and new requests are rejected with
    /// `Retry-After`, while requests in flight continue.
    pub fn begin_drain(&self) {
        self.shared.draining.store(true, Ordering::Release);
        tracing::info!(
            event = events::DAEMON_DRAINING,
            in_flight = self.in_flight(),
            "graceful stop started"
        );
    }

    /// Records that an engine rejected this daemon's `fence` as stale: a newer preset is active.
    ///
    /// Prevents serving with an outdated preset when only this daemon is cut off from the platform:
    /// its health check fails until it has the newer preset, and callers go to daemons that have
    /// it.
    pub(crate) fn record_stale_fence(&self, fence: Fence) {
        if self.shared.rejected_fence.swap(fence, Ordering::AcqRel) != fence {
            tracing::error!(
                event = events::DAEMON_FENCE_STALE,
                fence,
                "engine rejected the fencing token as stale; a newer preset is active"
            );
        }
    }

    /// Returns true while an engine's rejection shows that this daemon's preset is outdated.
    pub fn has_stale_fence(&self) -> bool {
        let rejected = self.shared.rejected_fence.load(Ordering::Acquire);
        rejected > 0 && self.shared.control.current().fence <= rejected
    }

    /// Returns true once a graceful stop has started.
    pub fn is_draining(&self) -> bool {
        self.shared.draining.load(Ordering::Acquire)
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.shared.in_flight.load(Ordering::Acquire)
    }

    /// Waits until nothing is in flight or `timeout` has passed. Returns true if all requests
    /// finished.
    pub async fn wait_until_drained(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while self.in_flight() > 0 {
            if Instant::now() >= deadline {
                return false;
            }
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        true
    }

    /// Counts one request in flight. Returns the count before it, and the guard that ends it.
    pub(crate) fn begin_request(&self) -> (u32, AdmissionGuard<P>) {
        let before = self.shared.in_flight.fetch_add(1, Ordering::AcqRel);
        (before, AdmissionGuard { daemon: self.clone() })
    }

    /// Returns a request id that neither this process nor an earlier one with the same daemon id
    /// has used.
    ///
    /// Prevents mixed-up responses after a restart: without the incarnation, a late response line
    /// for request 7 of the old process would match request 7 of the new one.
    pub(crate) fn next_request_id(&self) -> RequestId {
        let settings = &self.shared.settings;
        let sequence = self.shared.next_sequence.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{sequence}", settings.daemon_id, settings.incarnation)
    }

    /// Returns the admission queue of `model`. Must be called only for models that have servers,
    /// because a queue is kept until the process stops.
    pub(crate) fn queue(&self, model: &str) -> Arc<AdmissionQueue> {
        let mut queues = state_lock::lock(&self.shared.queues);
        if let Some(queue) = queues.get(model) {
            return Arc::clone(queue);
        }
        Arc::clone(queues.entry(model.to_owned()).or_default())
    }

    /// Returns the number of requests queued for capacity, over all models.
    pub fn waiting(&self) -> usize {
        let queues = state_lock::lock(&self.shared.queues);
        queues.values().map(|queue| queue.len()).sum()
    }
}
