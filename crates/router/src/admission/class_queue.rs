//! The lines of the waiting room, one for each class.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use event_listener::Event;
use umberglade_wire::engine::Priority;

/// Waiters of the standard line, from the front, who may try before their
/// turn where their prefix is cached.
pub(super) const OUT_OF_ORDER_WINDOW: usize = 32;
/// The span over which the rate of placements is measured.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// The shortest span that tells a rate.
const MIN_RATE_SPAN: Duration = Duration::from_millis(250);
/// Placements in the window below which no rate is known.
const MIN_RATE_SAMPLES: usize = 4;
/// Placements remembered at most.
const MAX_PLACEMENTS: usize = 4096;

#[derive(Debug)]
pub(super) struct QueuedRequest {
    pub ticket_id: u64,
    pub wake: Arc<Event>,
}

/// The line of one class, first come first served.
#[derive(Debug, Default)]
pub(super) struct ClassQueue {
    /// Invariant: tickets grow from front to back.
    pub requests: VecDeque<QueuedRequest>,
    /// Since when somebody has waited without a break.
    pub nonempty_since: Option<Instant>,
    /// When the latest placements were made, oldest first.
    placements: VecDeque<Instant>,
    /// Placements of the other class since the last of this one.
    pub bypass_count: u32,
}

impl ClassQueue {
    /// Counts a placement of this class.
    pub fn record_placement(&mut self) {
        self.placements.push_back(Instant::now());
        if self.placements.len() > MAX_PLACEMENTS {
            self.placements.pop_front();
        }
        self.bypass_count = 0;
    }

    /// Adds a waiter at the end.
    pub fn push(&mut self, request: QueuedRequest) {
        self.nonempty_since.get_or_insert_with(Instant::now);
        self.requests.push_back(request);
    }

    /// Takes the waiter with `ticket` out.
    pub fn remove(&mut self, ticket_id: u64) {
        self.requests.retain(|request| request.ticket_id != ticket_id);
        if self.requests.is_empty() {
            self.nonempty_since = None;
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
        let since = self.nonempty_since?.max(window_start);
        while self.placements.front().is_some_and(|at| *at < since) {
            self.placements.pop_front();
        }
        let span = now.duration_since(since);
        let has_enough_samples = span >= MIN_RATE_SPAN && self.placements.len() >= MIN_RATE_SAMPLES;
        has_enough_samples.then(|| self.placements.len() as f64 / span.as_secs_f64())
    }
}

#[derive(Debug, Default)]
pub(super) struct ClassQueues {
    pub next_ticket_id: u64,
    pub urgent: ClassQueue,
    pub standard: ClassQueue,
}

impl ClassQueues {
    pub fn for_priority(&mut self, priority: Priority) -> &mut ClassQueue {
        match priority {
            Priority::Urgent => &mut self.urgent,
            Priority::Standard => &mut self.standard,
        }
    }

    /// Wakes those who may try, the urgent one first.
    pub fn wake_eligible(&self) {
        let urgent = self.urgent.requests.iter().take(1);
        for request in urgent.chain(self.standard.requests.iter().take(OUT_OF_ORDER_WINDOW)) {
            request.wake.notify(1);
        }
    }
}
