//! Who waits for an engine's room, and who is refused at once.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::RateEstimate;

/// A place in the line.
pub type Ticket = u64;

/// Departures needed before the pace is believed.
const MIN_DEPARTURES: u32 = 4;
/// A pace not worth telling: less than a request in ten seconds.
const MIN_REPORTED_RATE_MILLI: u32 = 100;
/// The least time told to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// The longest: a burst lasts some four seconds, and a caller of a stream that
/// has waited in vain has some ten left, of which it gives a third.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(3500);
/// The least part of the pace that is taken to be left beside new callers.
const MIN_SPARE_FRACTION: f64 = 0.1;

#[derive(Debug, Clone, Copy)]
struct QueuedRequest {
    /// See [`QueueRequest::occupancy`].
    occupancy: u64,
    /// When its caller first tried.
    first_requested_at: Instant,
    /// Until then an answer begun now is still on time.
    target_deadline: Instant,
}

/// A line as the other gateways hear of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueUpdate {
    pub waiting: u32,
    /// Those of them that can still be on time.
    pub on_time: u32,
    /// How long the first in line has waited.
    pub first_age_ms: u32,
    /// True when it can no longer be on time.
    pub is_first_late: bool,
    /// See [`QueueRequest::occupancy`].
    pub first_occupancy: u64,
    /// Requests placed in a thousand seconds.
    pub pace_milli: u32,
    /// New requests in a thousand seconds.
    pub arrivals_milli: u32,
}

/// The lines at all other gateways together.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PeerQueues {
    pub waiting: u32,
    /// Those of them that can still be on time.
    pub within_target: u32,
    /// Requests placed a second.
    pub placement_rate: f64,
    /// New requests a second.
    pub arrival_rate: f64,
}

/// Who asks for a place in line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueRequest {
    /// What it takes of an engine: tokens of memory times the milliseconds for
    /// which it is expected to hold them.
    pub occupancy: u64,
    /// Until then an answer begun is still on time.
    pub target_deadline: Instant,
    /// How long its caller has been trying with earlier requests.
    pub retrying_for: Duration,
}

impl QueueUpdate {
    /// True when this line's first goes before `other`'s, wherever they wait.
    pub fn precedes(&self, other: &QueueUpdate) -> bool {
        let key = |update: &QueueUpdate| match update.is_first_late {
            false => (false, update.first_occupancy, Reverse(0)),
            true => (true, 0, Reverse(update.first_age_ms)),
        };
        key(self) < key(other)
    }
}

/// Why a request was refused instead of waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueRejection {
    /// How long the line ahead is predicted to take.
    pub predicted: Duration,
    /// When the caller should come back.
    pub retry_after: Duration,
}

/// The requests of one service that wait for room.
///
/// Those that can still be on time go first, those that take least of an engine
/// before the others: when not all can be on time, most callers are served so.
/// Those already late share what is left, in the order in which their
/// callers first tried: one that was refused once does not come back again. In a burst that
/// outlasts the target, first-come-first-served would make every answer
/// late; this way the late ones stay late and the others don't become so.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    queued: BTreeMap<Ticket, QueuedRequest>,
    next_ticket: Ticket,
    placement_rate: RateEstimate,
    /// New requests, whether they had to wait or not.
    arrival_rate: RateEstimate,
    /// True when whoever was first in line last found no room.
    is_blocked: bool,
    /// The first in line as last seen, and since when.
    last_head: Option<(Ticket, Instant)>,
}

impl AdmissionQueue {
    /// Takes a place in line, or refuses at once when the lines here and
    /// elsewhere are predicted to outlast `patience`.
    ///
    /// The lines are taken together because room is: one of 79 gateways
    /// places a request each three seconds, and by its own pace it refused
    /// every second caller that had to wait at all (542 refused at once of
    /// 1,112 asked, with half of the engines' places free).
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
            QueuedRequest { occupancy, first_requested_at, target_deadline },
        );
        Ok(self.next_ticket)
    }

    /// Since when the holder of `ticket` has been the first here, and so the one
    /// to try for room; `None` while another is.
    pub fn head_since(&mut self, ticket: Ticket, now: Instant) -> Option<Instant> {
        let (head, _) = self.head(now)?;
        if self.last_head.is_none_or(|(last_head, _)| last_head != head) {
            self.last_head = Some((head, now));
        }
        self.last_head.filter(|(last_head, _)| *last_head == ticket).map(|(_, since)| since)
    }

    /// What the other gateways are told; `None` when nobody waits, and none
    /// has been placed for long.
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
        let within_target = self
            .queued
            .iter()
            .filter(|(_, request)| now < request.target_deadline)
            .min_by_key(|(_, request)| request.occupancy);
        let oldest = || self.queued.iter().min_by_key(|(_, request)| request.first_requested_at);
        let head = within_target.or_else(oldest);
        head.map(|(ticket, request)| (*ticket, *request))
    }

    /// Leaves the line; `placed` when room was found.
    pub fn leave(&mut self, ticket: Ticket, placed: bool, now: Instant) {
        if self.queued.remove(&ticket).is_some() && placed {
            self.placement_rate.record(now);
            self.is_blocked = false;
        }
    }

    /// The first in line has found no room.
    pub fn record_no_capacity(&mut self) {
        self.is_blocked = true;
    }

    /// When a caller refused for lack of room should come back: once those who
    /// wait have been placed, by what is left beside new callers, who go
    /// before late ones.
    ///
    /// Guards against callers who come back into the same burst, are refused a
    /// second time and then stay away: by the pace alone they were told 0.3 to
    /// 2 s in bursts of four.
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

    /// Requests waiting.
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// True when nobody waits.
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Waiters that can still be on time.
    fn within_target(&self, now: Instant) -> usize {
        self.queued.values().filter(|request| now < request.target_deadline).count()
    }

    /// How long a newcomer would wait. One that can be on time stands behind
    /// those who can be, too; if they are too many it will be late, and stand
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

    /// How long `count` requests take to be placed; no time while room is found.
    ///
    /// Guards against a burst that is refused before the engines are full: the
    /// pace so far is that of the callers, not of the engines. 80 callers at
    /// once had 16 refused after four placements, with room for 25 more free.
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
