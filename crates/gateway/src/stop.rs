//! The graceful stop: its start, and the delays and margins that follow from it.

use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use event_listener::Event;

use crate::model::CallKind;

/// Delay from the start of a stop until the load balancer has certainly removed the instance: it
/// checks once a second and removes an instance after two failed checks. Callers that connect
/// during this delay are served.
pub const BALANCER_NOTICE_DELAY: Duration = Duration::from_millis(2200);
/// Delay from the start of a stop until idle connections are closed.
pub const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(3000);
/// Delay from the start of a stop until streams are rejected that may outlast the process.
pub const STREAM_CUTOFF_DELAY: Duration = Duration::from_millis(3000);
/// Minimum duration of a stop, so that callers that still connect find a listener.
pub const MIN_STOP_DURATION: Duration = Duration::from_millis(3600);
/// Time for the last responses to be written to connections that the stop does not wait for; about
/// a hundred times what this takes on an idle instance.
pub const FLUSH_DELAY: Duration = Duration::from_millis(100);
/// Part of the grace period that is left when the process ends regardless of requests in flight.
pub const STOP_GRACE_MARGIN: Duration = Duration::from_millis(300);
/// Time for reporting the requests that the process's end cuts off.
pub const END_REPORT_DELAY: Duration = Duration::from_millis(20);

/// Whether this process is stopping, since when, and until when.
#[derive(Debug)]
pub struct StopSignal {
    /// How long a stop may take before the process is killed.
    grace: Duration,
    started_at: OnceLock<Instant>,
    started: Event,
    is_over: AtomicBool,
    over: Event,
}

impl StopSignal {
    /// Returns the signal of a process that is killed `grace` after the start of a stop.
    pub fn new(grace: Duration) -> Self {
        StopSignal {
            grace,
            started_at: OnceLock::new(),
            started: Event::new(),
            is_over: AtomicBool::new(false),
            over: Event::new(),
        }
    }

    /// Starts the stop. Further calls have no effect.
    pub fn begin(&self, now: Instant) {
        let _ = self.started_at.set(now);
        self.started.notify(usize::MAX);
    }

    pub fn is_stopping(&self) -> bool {
        self.started_at.get().is_some()
    }

    /// Returns when the process ends at the latest, if it is stopping.
    pub fn latest_end(&self) -> Option<Instant> {
        let started_at = *self.started_at.get()?;
        Some(started_at + self.grace.saturating_sub(STOP_GRACE_MARGIN))
    }

    /// Returns true if a server may begin to run a request of `kind` whose time ends at `deadline`:
    /// the process is there to write the answer whenever it comes.
    ///
    /// The time of streams is several times what they take, so that those that come early in a stop
    /// may begin anyway: they usually end in time.
    ///
    /// Prevents the process's end from cutting a request that its server is executing: a balancer
    /// with too few other instances sends callers until the process ends.
    pub fn may_begin(&self, kind: CallKind, deadline: Instant) -> bool {
        let Some(end) = self.latest_end() else { return true };
        let is_early_stream = kind == CallKind::Stream && !self.has_elapsed(STREAM_CUTOFF_DELAY);
        is_early_stream || deadline + FLUSH_DELAY <= end
    }

    /// Returns true if the stop started at least `delay` ago.
    pub fn has_elapsed(&self, delay: Duration) -> bool {
        self.started_at.get().is_some_and(|started_at| started_at.elapsed() >= delay)
    }

    /// Ends the stop: what is still in flight is cut off.
    pub fn end(&self) {
        self.is_over.store(true, Ordering::Release);
        self.over.notify(usize::MAX);
    }

    /// Waits until the stop ends.
    pub async fn wait_ended(&self) {
        loop {
            let listener = self.over.listen();
            if self.is_over.load(Ordering::Acquire) {
                return;
            }
            listener.await;
        }
    }

    /// Waits until `delay` after the start of the stop; without a stop, waits for one.
    pub async fn wait_elapsed(&self, delay: Duration) {
        loop {
            let listener = self.started.listen();
            if let Some(started_at) = self.started_at.get() {
                smol::Timer::at(*started_at + delay).await;
                return;
            }
            listener.await;
        }
    }
}
