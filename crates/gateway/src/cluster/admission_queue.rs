//! Admission queue: which requests wait for engine capacity, and which are rejected at once.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use super::PeerQueues;
use super::QueueUpdate;
use super::RateEstimate;
use super::UnreportedPlacements;

/// Identifies a request in the queue.
pub type Ticket = u64;

/// Minimum number of departures before the placement rate is used.
const MIN_DEPARTURES: u32 = 4;
/// Minimum placement rate at which an empty queue is reported: a request in ten seconds.
const MIN_REPORTED_RATE_MILLI: u32 = 100;
/// Minimum `retry_after` of a rejected caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Maximum `retry_after`: bursts last about 4 s, and a streaming caller whose wait was in vain has
/// about 10 s left, a third of which it is willing to wait.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(3500);
/// Minimum fraction of the placement rate that is assumed to remain for queued requests beside new
/// ones.
const MIN_SPARE_FRACTION: f64 = 0.1;

#[derive(Debug, Clone, Copy)]
struct QueuedRequest {
    /// See [`QueueRequest::occupancy`].
    occupancy: u64,
    /// When the caller sent its first request.
    first_requested_at: Instant,
    /// A request that is placed before this time is expected to be within its latency target.
    target_deadline: Instant,
    /// See [`AdmissionQueue::set_held`].
    is_held: bool,
}

/// A request that asks to be queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueRequest {
    /// The request's expected use of an engine: KV cache tokens times the milliseconds for which it
    /// is expected to hold them.
    pub occupancy: u64,
    /// A request that is placed before this time is expected to be within its latency target.
    pub target_deadline: Instant,
    /// How long the caller has been retrying, counted from its first request; zero for a new
    /// caller.
    pub retrying_for: Duration,
}

/// Why a request was rejected instead of queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueRejection {
    /// How long the wait is predicted to be.
    pub predicted: Duration,
    /// When the caller should retry.
    pub retry_after: Duration,
}

/// Requests of one service that wait for engine capacity.
///
/// Requests that can still be within their latency target go first, those of least occupancy before
/// those of greater: when capacity does not suffice for all, this order serves the most callers
/// within target. Requests past their target share the remaining capacity in the order of their
/// callers' first requests, because a caller that has been rejected once does not retry a second
/// time. In a burst longer than the target, first-come-first-served would make every response miss
/// its target; with this order, requests past their target do not delay the others past theirs.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    queued: BTreeMap<Ticket, QueuedRequest>,
    next_ticket: Ticket,
    placement_rate: RateEstimate,
    /// All new requests, queued or not.
    arrival_rate: RateEstimate,
    /// True when the last attempt to place the head of the queue found no capacity.
    is_blocked: bool,
    /// The head of the queue at the last check, and since when.
    last_head: Option<(Ticket, Instant)>,
    /// Placements of this gateway, queued before or not, that peers may not know of yet.
    pub unreported: UnreportedPlacements,
}

impl AdmissionQueue {
    /// Queues a request, or rejects it at once when it is predicted to wait longer than `max_wait`
    /// behind the local queue and those of the peers.
    ///
    /// Queues and rates of all gateways are added up because they share the engines. One of 79
    /// gateways places a request every 3 s; on its own rate alone it would reject half of the
    /// callers that have to wait (542 of 1,112) while half of the engines' slots are free.
    pub fn join(
        &mut self,
        request: QueueRequest,
        max_wait: Duration,
        peers: PeerQueues,
        now: Instant,
    ) -> Result<Ticket, QueueRejection> {
        let QueueRequest { occupancy, target_deadline, retrying_for } = request;
        if retrying_for.is_zero() {
            self.arrival_rate.record(now);
        }
        let predicted = self.new_request_wait(target_deadline, peers, now);
        if predicted > max_wait {
            return Err(QueueRejection { predicted, retry_after: self.retry_after(peers, now) });
        }
        self.next_ticket += 1;
        let first_requested_at = now.checked_sub(retrying_for).unwrap_or(now);
        self.queued.insert(
            self.next_ticket,
            QueuedRequest { occupancy, first_requested_at, target_deadline, is_held: false },
        );
        Ok(self.next_ticket)
    }

    /// Sets whether the holder of `ticket` may not be placed yet, whatever capacity there is. Others go
    /// before it meanwhile. Returns true if it was not held until now, so that another may be the head.
    pub fn set_held(&mut self, ticket: Ticket, is_held: bool) -> bool {
        let Some(request) = self.queued.get_mut(&ticket) else { return false };
        let was_held = std::mem::replace(&mut request.is_held, is_held);
        is_held && !was_held
    }

    /// Returns since when the holder of `ticket` has been the head of the queue, and so the one to
    /// try for capacity; `None` while it is not the head.
    pub fn head_since(&mut self, ticket: Ticket, now: Instant) -> Option<Instant> {
        let (head, _) = self.head(now)?;
        if self.last_head.is_none_or(|(last_head, _)| last_head != head) {
            self.last_head = Some((head, now));
        }
        self.last_head.filter(|(last_head, _)| *last_head == ticket).map(|(_, since)| since)
    }

    /// Returns the report for peers; `None` when the queue is empty and the placement rate is
    /// negligible.
    pub fn queue_update(&self, now: Instant) -> Option<QueueUpdate> {
        let pace_milli = (self.placement_rate.per_second(now) * 1000.0) as u32;
        let arrivals_milli = (self.arrival_rate.per_second(now) * 1000.0) as u32;
        let Some((_, head)) = self.head(now) else {
            let idle = QueueUpdate {
                waiting: 0,
                on_time: 0,
                first_age_ms: 0,
                is_first_late: true,
                first_occupancy: 0,
                pace_milli,
                arrivals_milli,
            };
            return (pace_milli > MIN_REPORTED_RATE_MILLI).then_some(idle);
        };
        let age = now.saturating_duration_since(head.first_requested_at);
        Some(QueueUpdate {
            waiting: self.queued.len() as u32,
            on_time: self.within_target(now) as u32,
            first_age_ms: age.as_millis().min(u128::from(u32::MAX)) as u32,
            is_first_late: now >= head.target_deadline,
            first_occupancy: head.occupancy,
            pace_milli,
            arrivals_milli,
        })
    }

    fn head(&self, now: Instant) -> Option<(Ticket, QueuedRequest)> {
        let ready = || self.queued.iter().filter(|(_, request)| !request.is_held);
        let within_target = ready()
            .filter(|(_, request)| now < request.target_deadline)
            .min_by_key(|(_, request)| request.occupancy);
        let oldest = || ready().min_by_key(|(_, request)| request.first_requested_at);
        let head = within_target.or_else(oldest);
        head.map(|(ticket, request)| (*ticket, *request))
    }

    /// Removes a request from the queue; `placed` is true when it was given capacity.
    pub fn leave(&mut self, ticket: Ticket, placed: bool, now: Instant) {
        if self.queued.remove(&ticket).is_some() && placed {
            self.placement_rate.record(now);
            self.is_blocked = false;
        }
    }

    /// Records that the head of the queue found no capacity.
    pub fn record_no_capacity(&mut self) {
        self.is_blocked = true;
    }

    /// Returns when a caller rejected for lack of capacity should retry: once the queued requests
    /// have been placed at the rate left beside new requests, which go before those past their
    /// target.
    ///
    /// Prevents callers from retrying into the same burst, after which they are rejected a second
    /// time and do not return: from the placement rate alone, the delay would be 0.3 to 2 s in
    /// bursts of 4 s.
    pub fn retry_after(&self, peers: PeerQueues, now: Instant) -> Duration {
        let placement_rate = self.placement_rate.per_second(now) + peers.placement_rate;
        let arrival_rate = self.arrival_rate.per_second(now) + peers.arrival_rate;
        let waiting = self.queued.len() as f64 + f64::from(peers.waiting);
        let spare_rate = (placement_rate - arrival_rate).max(placement_rate * MIN_SPARE_FRACTION);
        if waiting == 0.0 || spare_rate <= 0.0 {
            return MIN_RETRY_AFTER;
        }
        let wait = Duration::from_secs_f64((waiting / spare_rate).min(60.0));
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// Returns true if no request is queued.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Returns the number of queued requests that can still be within their latency target.
    fn within_target(&self, now: Instant) -> usize {
        self.queued.values().filter(|request| now < request.target_deadline).count()
    }

    /// Predicts how long a new request would wait. A request that can be within its target waits
    /// behind those that can be as well; if these are too many, it will miss its target and waits
    /// behind all.
    fn new_request_wait(
        &self,
        target_deadline: Instant,
        peers: PeerQueues,
        now: Instant,
    ) -> Duration {
        let within_target = self.within_target(now) + peers.within_target as usize;
        let wait_within_target = self.placement_time(within_target, peers, now);
        if now + wait_within_target < target_deadline {
            return wait_within_target;
        }
        self.predicted_wait(peers, now)
    }

    fn predicted_wait(&self, peers: PeerQueues, now: Instant) -> Duration {
        self.placement_time(self.queued.len() + peers.waiting as usize, peers, now)
    }

    /// Predicts how long placing `count` requests takes; zero while there is capacity or the rate
    /// is unknown.
    ///
    /// Prevents rejections before the engines are full: until then, the placement rate shows how
    /// fast requests arrive, not how fast engines can take them. Without this condition, of 80
    /// simultaneous callers 16 are rejected after four placements, while the engines have capacity
    /// for 25 more.
    fn placement_time(&self, count: usize, peers: PeerQueues, now: Instant) -> Duration {
        let placement_rate = self.placement_rate.per_second(now) + peers.placement_rate;
        let is_rate_known =
            self.placement_rate.count() >= MIN_DEPARTURES || peers.placement_rate > 0.0;
        let has_capacity = !self.is_blocked && peers.waiting == 0;
        if count == 0 || has_capacity || !is_rate_known || placement_rate <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((count as f64 / placement_rate).min(60.0))
    }
}
