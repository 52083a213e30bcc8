//! The queues of an [`AdmissionQueue`](super::AdmissionQueue), one per priority class.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use event_listener::Event;
use umberglade_wire::engine::Priority;

/// Requests at the front of the standard queue that may be placed out of order on a server that
/// has their prefix cached.
pub(super) const OUT_OF_ORDER_WINDOW: usize = 32;
/// The window over which the placement rate is measured.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// A placement rate is reported only after at least this much of the window has passed.
const MIN_RATE_SPAN: Duration = Duration::from_millis(250);
/// A placement rate is reported only from at least this many placements in the window.
const MIN_RATE_SAMPLES: usize = 4;
/// Upper bound on the placement times kept.
const MAX_PLACEMENTS: usize = 4096;

#[derive(Debug)]
pub(super) struct QueuedRequest {
    pub ticket_id: u64,
    pub wake: Arc<Event>,
}

/// The first-in, first-out queue of one priority class.
#[derive(Debug, Default)]
pub(super) struct ClassQueue {
    /// Invariant: ticket ids increase from front to back.
    pub requests: VecDeque<QueuedRequest>,
    /// Since when the queue has been non-empty without interruption.
    pub nonempty_since: Option<Instant>,
    /// Times of the latest placements, oldest first.
    placements: VecDeque<Instant>,
    /// Urgent placements since the last placement of this class; an urgent placement while its
    /// queue is empty resets the count. Counted only for the standard class.
    pub bypass_count: u32,
}

impl ClassQueue {
    /// Records a placement of this class and resets its bypass count.
    pub fn record_placement(&mut self) {
        self.placements.push_back(Instant::now());
        if self.placements.len() > MAX_PLACEMENTS {
            self.placements.pop_front();
        }
        self.bypass_count = 0;
    }

    pub fn push(&mut self, request: QueuedRequest) {
        self.nonempty_since.get_or_insert_with(Instant::now);
        self.requests.push_back(request);
    }

    pub fn remove(&mut self, ticket_id: u64) {
        self.requests.retain(|request| request.ticket_id != ticket_id);
        if self.requests.is_empty() {
            self.nonempty_since = None;
        }
    }

    /// Returns the placements per second, counting only the time since the queue was last empty;
    /// `None` while there are too few samples.
    ///
    /// Prevents rejections at a site with little traffic: there, few placements mean few arrivals
    /// and say nothing about the available capacity.
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

    /// Wakes the requests that may be placed now, the urgent one first.
    pub fn wake_eligible(&self) {
        let urgent = self.urgent.requests.iter().take(1);
        for request in urgent.chain(self.standard.requests.iter().take(OUT_OF_ORDER_WINDOW)) {
            request.wake.notify(1);
        }
    }
}
