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
const MIN_PACE_MILLI: u32 = 100;
/// The least time told to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// The longest: a burst lasts some four seconds, and a caller of a stream that
/// has waited in vain has some ten left, of which it gives a third.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(3500);
/// The least part of the pace that is taken to be left beside new callers.
const MIN_SPARE: f64 = 0.1;

#[derive(Debug, Clone, Copy)]
struct QueuedRequest {
    /// See [`QueueRequest::occupancy`].
    occupancy: u64,
    /// When its caller first tried.
    tried_at: Instant,
    /// Until then an answer begun now is still on time.
    on_time_until: Instant,
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
    pub on_time: u32,
    /// Requests placed a second.
    pub pace: f64,
    /// New requests a second.
    pub arrivals: f64,
}

/// Who asks for a place in line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueRequest {
    /// What it takes of an engine: tokens of memory times the milliseconds for
    /// which it is expected to hold them.
    pub occupancy: u64,
    /// Until then an answer begun is still on time.
    pub on_time_until: Instant,
    /// How long its caller has been trying with earlier requests.
    pub tried_for: Duration,
}

impl QueueUpdate {
    /// True when this line's first goes before `other`'s, wherever they wait.
    pub fn goes_before(&self, other: &QueueUpdate) -> bool {
        let key = |line: &QueueUpdate| match line.is_first_late {
            false => (false, line.first_occupancy, Reverse(0)),
            true => (true, 0, Reverse(line.first_age_ms)),
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
    waiters: BTreeMap<Ticket, QueuedRequest>,
    next_ticket: Ticket,
    pace: RateEstimate,
    /// New requests, whether they had to wait or not.
    arrivals: RateEstimate,
    /// True when whoever was first in line last found no room.
    is_blocked: bool,
    /// The first in line as last seen, and since when.
    leader: Option<(Ticket, Instant)>,
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
        asker: QueueRequest,
        patience: Duration,
        others: PeerQueues,
        now: Instant,
    ) -> Result<Ticket, QueueRejection> {
        let QueueRequest { occupancy, on_time_until, tried_for } = asker;
        if tried_for.is_zero() {
            self.arrivals.note(now);
        }
        let predicted = self.newcomer_wait(on_time_until, others, now);
        if predicted > patience {
            return Err(QueueRejection { predicted, retry_after: self.retry_after(others, now) });
        }
        self.next_ticket += 1;
        let tried_at = now.checked_sub(tried_for).unwrap_or(now);
        self.waiters.insert(self.next_ticket, QueuedRequest { occupancy, tried_at, on_time_until });
        Ok(self.next_ticket)
    }

    /// Since when the holder of `ticket` has been the first here, and so the one
    /// to try for room; `None` while another is.
    pub fn leads_since(&mut self, ticket: Ticket, now: Instant) -> Option<Instant> {
        let (first, _) = self.first(now)?;
        if self.leader.is_none_or(|(leader, _)| leader != first) {
            self.leader = Some((first, now));
        }
        self.leader.filter(|(leader, _)| *leader == ticket).map(|(_, since)| since)
    }

    /// What the other gateways are told; `None` when nobody waits, and none
    /// has been placed for long.
    pub fn news(&self, now: Instant) -> Option<QueueUpdate> {
        let pace_milli = (self.pace.per_second(now) * 1000.0) as u32;
        let arrivals_milli = (self.arrivals.per_second(now) * 1000.0) as u32;
        let Some((_, first)) = self.first(now) else {
            let idle = QueueUpdate {
                waiting: 0,
                on_time: 0,
                first_age_ms: 0,
                is_first_late: true,
                first_occupancy: 0,
                pace_milli,
                arrivals_milli,
            };
            return (pace_milli > MIN_PACE_MILLI).then_some(idle);
        };
        let age = now.saturating_duration_since(first.tried_at);
        Some(QueueUpdate {
            waiting: self.waiters.len() as u32,
            on_time: self.on_time(now) as u32,
            first_age_ms: age.as_millis().min(u128::from(u32::MAX)) as u32,
            is_first_late: now >= first.on_time_until,
            first_occupancy: first.occupancy,
            pace_milli,
            arrivals_milli,
        })
    }

    fn first(&self, now: Instant) -> Option<(Ticket, QueuedRequest)> {
        let on_time = self
            .waiters
            .iter()
            .filter(|(_, waiter)| now < waiter.on_time_until)
            .min_by_key(|(_, waiter)| waiter.occupancy);
        let oldest = || self.waiters.iter().min_by_key(|(_, waiter)| waiter.tried_at);
        let first = on_time.or_else(oldest);
        first.map(|(ticket, waiter)| (*ticket, *waiter))
    }

    /// Leaves the line; `placed` when room was found.
    pub fn leave(&mut self, ticket: Ticket, placed: bool, now: Instant) {
        if self.waiters.remove(&ticket).is_some() && placed {
            self.pace.note(now);
            self.is_blocked = false;
        }
    }

    /// The first in line has found no room.
    pub fn note_no_room(&mut self) {
        self.is_blocked = true;
    }

    /// When a caller refused for lack of room should come back: once those who
    /// wait have been placed, by what is left beside new callers, who go
    /// before late ones.
    ///
    /// Guards against callers who come back into the same burst, are refused a
    /// second time and then stay away: by the pace alone they were told 0.3 to
    /// 2 s in bursts of four.
    pub fn retry_after(&self, others: PeerQueues, now: Instant) -> Duration {
        let pace = self.pace.per_second(now) + others.pace;
        let arrivals = self.arrivals.per_second(now) + others.arrivals;
        let waiting = self.waiters.len() as f64 + f64::from(others.waiting);
        let spare = (pace - arrivals).max(pace * MIN_SPARE);
        if waiting == 0.0 || spare <= 0.0 {
            return MIN_RETRY_AFTER;
        }
        let wait = Duration::from_secs_f64((waiting / spare).min(60.0));
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Requests waiting.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// True when nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Waiters that can still be on time.
    fn on_time(&self, now: Instant) -> usize {
        self.waiters.values().filter(|waiter| now < waiter.on_time_until).count()
    }

    /// How long a newcomer would wait. One that can be on time stands behind
    /// those who can be, too; if they are too many it will be late, and stand
    /// behind all.
    fn newcomer_wait(&self, on_time_until: Instant, others: PeerQueues, now: Instant) -> Duration {
        let on_time = self.on_time(now) + others.on_time as usize;
        let among_on_time = self.time_for(on_time, others, now);
        if now + among_on_time < on_time_until {
            return among_on_time;
        }
        self.predicted_wait(others, now)
    }

    fn predicted_wait(&self, others: PeerQueues, now: Instant) -> Duration {
        self.time_for(self.waiters.len() + others.waiting as usize, others, now)
    }

    /// How long `count` requests take to be placed; no time while room is found.
    ///
    /// Guards against a burst that is refused before the engines are full: the
    /// pace so far is that of the callers, not of the engines. 80 callers at
    /// once had 16 refused after four placements, with room for 25 more free.
    fn time_for(&self, count: usize, others: PeerQueues, now: Instant) -> Duration {
        let pace = self.pace.per_second(now) + others.pace;
        let is_known = self.pace.count() >= MIN_DEPARTURES || others.pace > 0.0;
        let is_free = !self.is_blocked && others.waiting == 0;
        if count == 0 || is_free || !is_known || pace <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((count as f64 / pace).min(60.0))
    }
}
