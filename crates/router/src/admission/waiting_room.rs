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

use super::class_line::EARLY_TRIERS;
use super::class_line::RoomLines;
use super::class_line::Waiter;

/// How often the first in line looks again by itself: other daemons free
/// room too, which no event of ours tells.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// How long the first in line holds out for a server that has its prefix,
/// while servers are busy.
const HOLD_OUT: Duration = Duration::from_millis(150);
/// Urgent placements in a row after which waiting standard work may take
/// the room kept for urgent work.
const PASSED_OVER_BOUND: u32 = 32;

/// Why a request left the room without a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoomRefusal {
    /// Seconds after which there should be room.
    pub retry_after_s: u64,
}

/// The requests for one model that wait, a line for each class. The first
/// of each line tries for itself, so a long prompt that finds no room
/// never holds up a lookup that would. One lock, never held across an
/// await or a placement.
#[derive(Debug, Default)]
pub struct WaitingRoom {
    lines: Mutex<RoomLines>,
}

/// A place in line, given up when dropped: a caller that hangs up while
/// waiting leaves at once.
struct LinePlace<'a> {
    room: &'a WaitingRoom,
    priority: Priority,
    ticket: u64,
    wake: Arc<Event>,
}

impl Drop for LinePlace<'_> {
    fn drop(&mut self) {
        let mut lines = self.room.lock();
        lines.of(self.priority).leave(self.ticket);
        lines.wake_firsts();
    }
}

/// How a placement is tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoomTurn {
    /// Only where the request's prefix is cached, or where a server idles:
    /// what it must compute anew, it would take from the others in line.
    Picky,
    /// Anywhere within the class's own bounds.
    Ordinary,
    /// Standard work passed over many times in a row by urgent work: it
    /// may take the room kept free for that.
    PassedOver,
}

impl WaitingRoom {
    /// Waits until `place` yields something, first in line first, for at
    /// most `patience`; refuses at once when the line ahead is predicted
    /// to outlast it.
    pub async fn enter<T>(
        &self,
        priority: Priority,
        patience: Duration,
        mut place: impl FnMut(RoomTurn) -> Option<T>,
    ) -> Result<T, RoomRefusal> {
        self.check_prediction(priority, patience)?;
        let position = self.join(priority);
        let deadline = Instant::now() + patience;
        let mut first_since: Option<Instant> = None;
        loop {
            let woken = position.wake.listen();
            let turn = self.turn(&position, &mut first_since);
            if let Some(turn) = turn
                && let Some(placed) = place(turn)
            {
                self.note_placement(priority);
                return Ok(placed);
            }
            let now = Instant::now();
            if now >= deadline {
                return Err(self.refusal(priority, Duration::ZERO));
            }
            let until = if turn.is_some() { deadline.min(now + LOOK_AGAIN) } else { deadline };
            woken
                .or(async {
                    smol::Timer::at(until).await;
                })
                .await;
        }
    }

    /// Room may have come free: the first of each line looks.
    pub fn wake_first(&self) {
        self.lock().wake_firsts();
    }

    /// Requests waiting now.
    pub fn len(&self) -> usize {
        let lines = self.lock();
        lines.urgent.waiters.len() + lines.standard.waiters.len()
    }

    /// True when nobody waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, RoomLines> {
        self.lines.lock().expect("waiting room lock")
    }

    fn join(&self, priority: Priority) -> LinePlace<'_> {
        let wake = Arc::new(Event::new());
        let mut lines = self.lock();
        lines.next_ticket += 1;
        let ticket = lines.next_ticket;
        lines.of(priority).join(Waiter { ticket, wake: Arc::clone(&wake) });
        LinePlace { room: self, priority, ticket, wake }
    }

    /// How the holder of `position` may try now; `None` while it is too far
    /// back. `first_since` is when it came to the front.
    ///
    /// Guards against long work starved by a steady stream of lookups: once
    /// passed over often enough, its first in line may take the room kept
    /// for urgent work, so it gets at least one placement in so many.
    fn turn(
        &self,
        position: &LinePlace<'_>,
        first_since: &mut Option<Instant>,
    ) -> Option<RoomTurn> {
        let mut lines = self.lock();
        let is_alone = lines.standard.waiters.len() <= 1;
        let line = lines.of(position.priority);
        let mut ahead = line.waiters.iter().take(EARLY_TRIERS);
        let place = ahead.position(|waiter| waiter.ticket == position.ticket)?;
        if position.priority == Priority::Urgent {
            return (place == 0).then_some(RoomTurn::Ordinary);
        }
        if place > 0 {
            return Some(RoomTurn::Picky);
        }
        if line.passed_over >= PASSED_OVER_BOUND {
            return Some(RoomTurn::PassedOver);
        }
        let since = first_since.get_or_insert_with(Instant::now);
        let holds_out = !is_alone && since.elapsed() < HOLD_OUT;
        Some(if holds_out { RoomTurn::Picky } else { RoomTurn::Ordinary })
    }

    fn note_placement(&self, priority: Priority) {
        let mut lines = self.lock();
        lines.of(priority).note_placement();
        if priority == Priority::Urgent {
            let standard = &mut lines.standard;
            // Only work that waits is passed over.
            standard.passed_over =
                if standard.waiters.is_empty() { 0 } else { standard.passed_over + 1 };
        }
    }

    fn check_prediction(&self, priority: Priority, patience: Duration) -> Result<(), RoomRefusal> {
        match self.predicted_wait(priority) {
            Some(wait) if wait > patience => Err(self.refusal(priority, patience)),
            _ => Ok(()),
        }
    }

    /// How long the line ahead of a newcomer of `priority` should take.
    fn predicted_wait(&self, priority: Priority) -> Option<Duration> {
        let mut lines = self.lock();
        let line = lines.of(priority);
        let ahead = line.waiters.len();
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
