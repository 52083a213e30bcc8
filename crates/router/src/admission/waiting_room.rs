//! The waiting room: requests wait at the daemon, not at the engines,
//! until their servers have room; urgent ones first, none starved.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use event_listener::Event;
use futures_lite::FutureExt;
use umberglade_wire::engine::Priority;

/// How often the first in line looks again by itself: other daemons free
/// room too, which no event of ours tells.
const LOOK_AGAIN: Duration = Duration::from_millis(20);
/// The span over which the rate of placements is measured.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// Placements in the window below which no rate is known.
const RATE_SAMPLES: usize = 4;

/// Why a request left the room without a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoomRefusal {
    /// Seconds after which there should be room.
    pub retry_after_s: u64,
}

#[derive(Debug)]
struct Waiter {
    ticket: u64,
    priority: Priority,
    since: Instant,
    /// After this long a standard request counts as urgent, so that long
    /// work is never starved by a steady stream of lookups.
    promoted_after: Duration,
    wake: Arc<Event>,
}

impl Waiter {
    /// The order in line: class, then arrival.
    fn rank(&self, now: Instant) -> (Priority, u64) {
        let promoted = now.duration_since(self.since) >= self.promoted_after;
        (if promoted { Priority::Urgent } else { self.priority }, self.ticket)
    }
}

#[derive(Debug, Default)]
struct RoomLine {
    next_ticket: u64,
    waiters: Vec<Waiter>,
    /// When the latest placements were made, oldest first.
    placements: VecDeque<Instant>,
}

impl RoomLine {
    fn first(&self) -> Option<&Waiter> {
        let now = Instant::now();
        self.waiters.iter().min_by_key(|waiter| waiter.rank(now))
    }

    /// Placements a second over the window; `None` with too few to tell.
    fn rate(&mut self) -> Option<f64> {
        let now = Instant::now();
        while self.placements.front().is_some_and(|at| now.duration_since(*at) > RATE_WINDOW) {
            self.placements.pop_front();
        }
        (self.placements.len() >= RATE_SAMPLES)
            .then(|| self.placements.len() as f64 / RATE_WINDOW.as_secs_f64())
    }
}

/// The line of requests for one model. One lock, never held across an
/// await or a placement.
#[derive(Debug, Default)]
pub struct WaitingRoom {
    line: Mutex<RoomLine>,
}

/// A place in line, given up when dropped: a caller that hangs up while
/// waiting leaves at once.
struct LinePlace<'a> {
    room: &'a WaitingRoom,
    ticket: u64,
    wake: Arc<Event>,
}

impl Drop for LinePlace<'_> {
    fn drop(&mut self) {
        let mut line = self.room.line.lock().expect("waiting room lock");
        line.waiters.retain(|waiter| waiter.ticket != self.ticket);
        drop(line);
        self.room.wake_first();
    }
}

impl WaitingRoom {
    /// Waits until `place` yields something, first in line first, for at
    /// most `patience`; refuses at once when the line ahead is predicted
    /// to outlast it.
    pub async fn enter<T>(
        &self,
        priority: Priority,
        patience: Duration,
        mut place: impl FnMut() -> Option<T>,
    ) -> Result<T, RoomRefusal> {
        self.check_prediction(priority, patience)?;
        let position = self.join(priority, patience / 2);
        let deadline = Instant::now() + patience;
        loop {
            let woken = position.wake.listen();
            let first = self.is_first(position.ticket);
            if first && let Some(placed) = place() {
                self.note_placement();
                return Ok(placed);
            }
            let now = Instant::now();
            if now >= deadline {
                return Err(self.refusal(priority, Duration::ZERO));
            }
            let until = if first { deadline.min(now + LOOK_AGAIN) } else { deadline };
            woken
                .or(async {
                    smol::Timer::at(until).await;
                })
                .await;
        }
    }

    /// Room may have come free: the first in line looks.
    pub fn wake_first(&self) {
        let line = self.line.lock().expect("waiting room lock");
        if let Some(first) = line.first() {
            first.wake.notify(1);
        }
    }

    /// Requests waiting now.
    pub fn len(&self) -> usize {
        self.line.lock().expect("waiting room lock").waiters.len()
    }

    /// True when nobody waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn join(&self, priority: Priority, promoted_after: Duration) -> LinePlace<'_> {
        let wake = Arc::new(Event::new());
        let mut line = self.line.lock().expect("waiting room lock");
        line.next_ticket += 1;
        let ticket = line.next_ticket;
        line.waiters.push(Waiter {
            ticket,
            priority,
            since: Instant::now(),
            promoted_after,
            wake: Arc::clone(&wake),
        });
        LinePlace { room: self, ticket, wake }
    }

    fn is_first(&self, ticket: u64) -> bool {
        let line = self.line.lock().expect("waiting room lock");
        line.first().is_some_and(|first| first.ticket == ticket)
    }

    fn note_placement(&self) {
        let mut line = self.line.lock().expect("waiting room lock");
        line.placements.push_back(Instant::now());
    }

    fn check_prediction(&self, priority: Priority, patience: Duration) -> Result<(), RoomRefusal> {
        match self.predicted_wait(priority) {
            Some(wait) if wait > patience => Err(self.refusal(priority, patience)),
            _ => Ok(()),
        }
    }

    /// How long the line ahead of a newcomer of `priority` should take.
    fn predicted_wait(&self, priority: Priority) -> Option<Duration> {
        let mut line = self.line.lock().expect("waiting room lock");
        let now = Instant::now();
        let ahead = line.waiters.iter().filter(|waiter| waiter.rank(now).0 <= priority).count();
        if ahead == 0 {
            return None;
        }
        let rate = line.rate()?;
        Some(Duration::from_secs_f64(ahead as f64 / rate))
    }

    fn refusal(&self, priority: Priority, patience: Duration) -> RoomRefusal {
        let wait = self.predicted_wait(priority).unwrap_or_default();
        let retry_after_s = wait.saturating_sub(patience).as_secs_f64().ceil().max(1.0) as u64;
        RoomRefusal { retry_after_s }
    }
}
