//! The admission queue: requests wait at the daemon rather than at the engines until their
//! servers have capacity. Urgent requests go first, without starving standard ones.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use event_listener::Event;
use futures_lite::FutureExt;
use umberglade_wire::engine::Priority;

use super::class_queue::ClassQueues;
use super::class_queue::OUT_OF_ORDER_WINDOW;
use super::class_queue::QueuedRequest;
use crate::state_lock;

/// How often the head of the queue retries without being woken: capacity that other daemons free
/// raises no local event.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long the head of the queue waits for a server that has its prefix cached, while servers
/// are busy.
const CACHE_AFFINITY_WAIT: Duration = Duration::from_millis(150);
/// Consecutive urgent placements after which a queued standard request may use the capacity
/// reserved for urgent ones.
const MAX_BYPASSES: u32 = 32;

/// A request was not placed, because its predicted wait was too long or its maximum wait passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueRejection {
    /// Seconds after which capacity is expected.
    pub retry_after_s: u64,
}

/// The queued requests for one model, one queue per priority class. The head of each queue tries
/// independently, so a long prompt without capacity never blocks a lookup that would be placed.
/// A single lock guards all queues and is never held across an await or a placement.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    queues: Mutex<ClassQueues>,
}

/// A position in the queue. Dropping it removes the request, so a caller that disconnects while
/// waiting leaves the queue at once.
struct QueueTicket<'a> {
    queue: &'a AdmissionQueue,
    priority: Priority,
    ticket_id: u64,
    wake: Arc<Event>,
}

impl Drop for QueueTicket<'_> {
    fn drop(&mut self) {
        let mut queues = self.queue.lock();
        queues.for_priority(self.priority).remove(self.ticket_id);
        queues.wake_eligible();
    }
}

/// The restrictions under which a placement is tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementMode {
    /// Only on a server that has the prefix cached or is idle: recomputing the prefix on a busy
    /// server would take capacity from the other queued requests.
    CachedOrIdle,
    /// On any server, within the limits of the request's class.
    Normal,
    /// Also within the capacity reserved for urgent requests: for standard requests that urgent
    /// ones have bypassed many times in a row.
    UseReserve,
}

impl AdmissionQueue {
    /// Waits in queue order until `try_place` returns a placement, for at most `max_wait`.
    /// Rejects at once when the predicted wait is longer than that.
    pub async fn acquire<T>(
        &self,
        priority: Priority,
        max_wait: Duration,
        mut try_place: impl FnMut(PlacementMode) -> Option<T>,
    ) -> Result<T, QueueRejection> {
        self.check_predicted_wait(priority, max_wait)?;
        let ticket = self.enqueue(priority);
        let deadline = Instant::now() + max_wait;
        let mut head_since: Option<Instant> = None;
        loop {
            let wake_listener = ticket.wake.listen();
            let mode = self.placement_mode(&ticket, &mut head_since);
            if let Some(mode) = mode
                && let Some(placed) = try_place(mode)
            {
                self.record_placement(priority);
                return Ok(placed);
            }
            let now = Instant::now();
            if now >= deadline {
                return Err(self.rejection(priority, Duration::ZERO));
            }
            let until = if mode.is_some() { deadline.min(now + POLL_INTERVAL) } else { deadline };
            wake_listener
                .or(async {
                    smol::Timer::at(until).await;
                })
                .await;
        }
    }

    /// Wakes the requests that may be placed, after capacity may have become free.
    pub fn notify_capacity(&self) {
        self.lock().wake_eligible();
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        let queues = self.lock();
        queues.urgent.requests.len() + queues.standard.requests.len()
    }

    /// Returns true when no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, ClassQueues> {
        state_lock::lock(&self.queues)
    }

    fn enqueue(&self, priority: Priority) -> QueueTicket<'_> {
        let wake = Arc::new(Event::new());
        let mut queues = self.lock();
        queues.next_ticket_id += 1;
        let ticket_id = queues.next_ticket_id;
        queues.for_priority(priority).push(QueuedRequest { ticket_id, wake: Arc::clone(&wake) });
        QueueTicket { queue: self, priority, ticket_id, wake }
    }

    /// Returns how the request holding `ticket` may be placed now; `None` while it is too far
    /// back. `head_since` is set when it reaches the head of the queue.
    ///
    /// Prevents a steady stream of lookups from starving long requests: after [`MAX_BYPASSES`]
    /// bypasses the head of the standard queue may use the capacity reserved for urgent requests,
    /// so the standard queue gets at least one placement per [`MAX_BYPASSES`] urgent ones.
    fn placement_mode(
        &self,
        ticket: &QueueTicket<'_>,
        head_since: &mut Option<Instant>,
    ) -> Option<PlacementMode> {
        let mut queues = self.lock();
        let is_alone = queues.standard.requests.len() <= 1;
        let queue = queues.for_priority(ticket.priority);
        let mut ahead = queue.requests.iter().take(OUT_OF_ORDER_WINDOW);
        let position = ahead.position(|request| request.ticket_id == ticket.ticket_id)?;
        if ticket.priority == Priority::Urgent {
            return (position == 0).then_some(PlacementMode::Normal);
        }
        if position > 0 {
            return Some(PlacementMode::CachedOrIdle);
        }
        if queue.bypass_count >= MAX_BYPASSES {
            return Some(PlacementMode::UseReserve);
        }
        let since = head_since.get_or_insert_with(Instant::now);
        let waits_for_cache = !is_alone && since.elapsed() < CACHE_AFFINITY_WAIT;
        Some(if waits_for_cache { PlacementMode::CachedOrIdle } else { PlacementMode::Normal })
    }

    fn record_placement(&self, priority: Priority) {
        let mut queues = self.lock();
        queues.for_priority(priority).record_placement();
        if priority == Priority::Urgent {
            let standard = &mut queues.standard;
            // A bypass counts only while standard requests are queued.
            standard.bypass_count =
                if standard.requests.is_empty() { 0 } else { standard.bypass_count + 1 };
        }
    }

    fn check_predicted_wait(
        &self,
        priority: Priority,
        max_wait: Duration,
    ) -> Result<(), QueueRejection> {
        match self.predicted_wait(priority) {
            Some(wait) if wait > max_wait => Err(self.rejection(priority, max_wait)),
            _ => Ok(()),
        }
    }

    /// Predicts how long a new request of `priority` would wait for those ahead of it.
    fn predicted_wait(&self, priority: Priority) -> Option<Duration> {
        let mut queues = self.lock();
        let queue = queues.for_priority(priority);
        let ahead = queue.requests.len();
        if ahead == 0 {
            return None;
        }
        let rate = queue.rate()?;
        Some(Duration::from_secs_f64(ahead as f64 / rate))
    }

    fn rejection(&self, priority: Priority, max_wait: Duration) -> QueueRejection {
        let wait = self.predicted_wait(priority).unwrap_or_default();
        let retry_after_s = wait.saturating_sub(max_wait).as_secs_f64().ceil().max(1.0) as u64;
        QueueRejection { retry_after_s }
    }
}
