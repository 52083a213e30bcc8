//! The waiting room: requests wait at the daemon, not at the engines,
//! until their servers have room; urgent ones first, none starved.

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

/// How often the first in line looks again by itself: other daemons free
/// room too, which no event of ours tells.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long the first in line holds out for a server that has its prefix,
/// while servers are busy.
const CACHE_AFFINITY_WAIT: Duration = Duration::from_millis(150);
/// Urgent placements in a row after which waiting standard work may take
/// the room kept for urgent work.
const MAX_BYPASSES: u32 = 32;

/// Why a request left the room without a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueRejection {
    /// Seconds after which there should be room.
    pub retry_after_s: u64,
}

/// The requests for one model that wait, a line for each class. The first
/// of each line tries for itself, so a long prompt that finds no room
/// never holds up a lookup that would. One lock, never held across an
/// await or a placement.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    queues: Mutex<ClassQueues>,
}

/// A place in line, given up when dropped: a caller that hangs up while
/// waiting leaves at once.
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

/// How a placement is tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementMode {
    /// Only where the request's prefix is cached, or where a server idles:
    /// what it must compute anew, it would take from the others in line.
    CachedOrIdle,
    /// Anywhere within the class's own bounds.
    Normal,
    /// Standard work passed over many times in a row by urgent work: it
    /// may take the room kept free for that.
    UseReserve,
}

impl AdmissionQueue {
    /// Waits until `place` yields something, first in line first, for at
    /// most `patience`; refuses at once when the line ahead is predicted
    /// to outlast it.
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

    /// Room may have come free: the first of each line looks.
    pub fn notify_capacity(&self) {
        self.lock().wake_eligible();
    }

    /// Requests waiting now.
    pub fn len(&self) -> usize {
        let queues = self.lock();
        queues.urgent.requests.len() + queues.standard.requests.len()
    }

    /// True when nobody waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, ClassQueues> {
        self.queues.lock().expect("waiting room lock")
    }

    fn enqueue(&self, priority: Priority) -> QueueTicket<'_> {
        let wake = Arc::new(Event::new());
        let mut queues = self.lock();
        queues.next_ticket_id += 1;
        let ticket_id = queues.next_ticket_id;
        queues.for_priority(priority).push(QueuedRequest { ticket_id, wake: Arc::clone(&wake) });
        QueueTicket { queue: self, priority, ticket_id, wake }
    }

    /// How the holder of `ticket` may try now; `None` while it is too far
    /// back. `first_since` is when it came to the front.
    ///
    /// Guards against long work starved by a steady stream of lookups: once
    /// passed over often enough, its first in line may take the room kept
    /// for urgent work, so it gets at least one placement in so many.
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
            // Only work that waits is passed over.
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

    /// How long the line ahead of a newcomer of `priority` should take.
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
