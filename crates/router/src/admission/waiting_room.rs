//! The waiting room: requests wait at the daemon, not at the engines,
//! until their servers have room; urgent ones first, none starved.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
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
/// Placements remembered at most.
const PLACEMENTS_KEPT: usize = 4096;
/// The shortest span that tells a rate.
const RATE_SPAN: Duration = Duration::from_millis(250);
/// Placements in the window below which no rate is known.
const RATE_SAMPLES: usize = 4;

/// Waiters of the standard line, from the front, who may try before their
/// turn where their prefix is cached.
const EARLY_TRIERS: usize = 32;
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

#[derive(Debug)]
struct Waiter {
    ticket: u64,
    wake: Arc<Event>,
}

/// The line of one class, first come first served.
#[derive(Debug, Default)]
struct ClassLine {
    /// Invariant: tickets grow from front to back.
    waiters: VecDeque<Waiter>,
    /// Since when somebody has waited without a break.
    busy_since: Option<Instant>,
    /// When the latest placements were made, oldest first.
    placements: VecDeque<Instant>,
    /// Placements of the other class since the last of this one.
    passed_over: u32,
}

impl ClassLine {
    /// Placements a second while somebody waited all along; `None` before
    /// that has lasted long enough to tell.
    ///
    /// Guards against refusing at a quiet site: there placements are few
    /// because arrivals are, and their rate says nothing of the room.
    fn rate(&mut self) -> Option<f64> {
        let now = Instant::now();
        let window_start = now.checked_sub(RATE_WINDOW)?;
        let since = self.busy_since?.max(window_start);
        while self.placements.front().is_some_and(|at| *at < since) {
            self.placements.pop_front();
        }
        let span = now.duration_since(since);
        let can_tell = span >= RATE_SPAN && self.placements.len() >= RATE_SAMPLES;
        can_tell.then(|| self.placements.len() as f64 / span.as_secs_f64())
    }
}

#[derive(Debug, Default)]
struct RoomLines {
    next_ticket: u64,
    urgent: ClassLine,
    standard: ClassLine,
}

impl RoomLines {
    fn of(&mut self, priority: Priority) -> &mut ClassLine {
        match priority {
            Priority::Urgent => &mut self.urgent,
            Priority::Standard => &mut self.standard,
        }
    }

    /// Wakes those who may try, the urgent one first.
    fn wake_firsts(&self) {
        let urgent = self.urgent.waiters.iter().take(1);
        for waiter in urgent.chain(self.standard.waiters.iter().take(EARLY_TRIERS)) {
            waiter.wake.notify(1);
        }
    }
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
        let line = lines.of(self.priority);
        line.waiters.retain(|waiter| waiter.ticket != self.ticket);
        if line.waiters.is_empty() {
            line.busy_since = None;
        }
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
        let line = lines.of(priority);
        line.busy_since.get_or_insert_with(Instant::now);
        line.waiters.push_back(Waiter { ticket, wake: Arc::clone(&wake) });
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
        let line = lines.of(priority);
        line.placements.push_back(Instant::now());
        if line.placements.len() > PLACEMENTS_KEPT {
            line.placements.pop_front();
        }
        line.passed_over = 0;
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
