//! A graceful stop: when it began, and what that means for connections.

use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

use event_listener::Event;

/// From the stop's beginning until the balancer has surely noticed: it asks
/// once a second and takes an instance out after two misses. Callers that
/// connect meanwhile are served.
pub const NOTICE_TIME: Duration = Duration::from_millis(2200);
/// When idle connections are closed, and new long work is refused: what
/// begins later might not end within the usual grace.
pub const CLOSE_TIME: Duration = Duration::from_millis(3000);
/// The least time a stop takes: callers that still connect find a listener.
pub const MIN_STOP: Duration = Duration::from_millis(3600);
/// Before the latest end, how long new requests are no longer sent on: as
/// long as the callers of short calls wait. Guards against a call cut with
/// its server at work: where the balancer has too few other instances it
/// sends callers until the process ends.
pub const LAST_CALL: Duration = Duration::from_millis(1000);
/// How long the last answers of connections that are not waited for may take
/// to be written out; some hundred times what it takes on an idle instance.
pub const FLUSH_TIME: Duration = Duration::from_millis(100);
/// Left of the grace when the process ends in any case.
pub const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// Whether and since when this process is stopping.
#[derive(Debug, Default)]
pub struct StopSwitch {
    begun_at: OnceLock<Instant>,
    begun: Event,
}

impl StopSwitch {
    /// Begins the stop; only the first call counts.
    pub fn begin(&self, now: Instant) {
        let _ = self.begun_at.set(now);
        self.begun.notify(usize::MAX);
    }

    /// True once the stop has begun.
    pub fn has_begun(&self) -> bool {
        self.begun_at.get().is_some()
    }

    /// True once the stop began at least `since` ago.
    pub fn has_lasted(&self, since: Duration) -> bool {
        self.begun_at.get().is_some_and(|at| at.elapsed() >= since)
    }

    /// Returns once the stop began `since` ago.
    pub async fn lasted(&self, since: Duration) {
        loop {
            let listener = self.begun.listen();
            if let Some(at) = self.begun_at.get() {
                smol::Timer::at(*at + since).await;
                return;
            }
            listener.await;
        }
    }
}
