//! The lines of the waiting room, one for each class.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use event_listener::Event;
use umberglade_wire::engine::Priority;

/// Waiters of the standard line, from the front, who may try before their
/// turn where their prefix is cached.
pub(super) const EARLY_TRIERS: usize = 32;
/// The span over which the rate of placements is measured.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// The shortest span that tells a rate.
const RATE_SPAN: Duration = Duration::from_millis(250);
/// Placements in the window below which no rate is known.
const RATE_SAMPLES: usize = 4;
/// Placements remembered at most.
const PLACEMENTS_KEPT: usize = 4096;

#[derive(Debug)]
pub(super) struct Waiter {
    pub ticket: u64,
    pub wake: Arc<Event>,
}

/// The line of one class, first come first served.
#[derive(Debug, Default)]
pub(super) struct ClassLine {
    /// Invariant: tickets grow from front to back.
    pub waiters: VecDeque<Waiter>,
    /// Since when somebody has waited without a break.
    pub busy_since: Option<Instant>,
    /// When the latest placements were made, oldest first.
    placements: VecDeque<Instant>,
    /// Placements of the other class since the last of this one.
    pub passed_over: u32,
}

impl ClassLine {
    /// Counts a placement of this class.
    pub fn note_placement(&mut self) {
        self.placements.push_back(Instant::now());
        if self.placements.len() > PLACEMENTS_KEPT {
            self.placements.pop_front();
        }
        self.passed_over = 0;
    }

    /// Adds a waiter at the end.
    pub fn join(&mut self, waiter: Waiter) {
        self.busy_since.get_or_insert_with(Instant::now);
        self.waiters.push_back(waiter);
    }

    /// Takes the waiter with `ticket` out.
    pub fn leave(&mut self, ticket: u64) {
        self.waiters.retain(|waiter| waiter.ticket != ticket);
        if self.waiters.is_empty() {
            self.busy_since = None;
        }
    }

    /// Placements a second while somebody waited all along; `None` before
    /// that has lasted long enough to tell.
    ///
    /// Guards against refusing at a quiet site: there placements are few
    /// because arrivals are, and their rate says nothing of the room.
    pub fn rate(&mut self) -> Option<f64> {
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
pub(super) struct RoomLines {
    pub next_ticket: u64,
    pub urgent: ClassLine,
    pub standard: ClassLine,
}

impl RoomLines {
    pub fn of(&mut self, priority: Priority) -> &mut ClassLine {
        match priority {
            Priority::Urgent => &mut self.urgent,
            Priority::Standard => &mut self.standard,
        }
    }

    /// Wakes those who may try, the urgent one first.
    pub fn wake_firsts(&self) {
        let urgent = self.urgent.waiters.iter().take(1);
        for waiter in urgent.chain(self.standard.waiters.iter().take(EARLY_TRIERS)) {
            waiter.wake.notify(1);
        }
    }
}
