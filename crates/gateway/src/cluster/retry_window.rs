//! Requests and retries for one service in the last window, over all gateways.

use std::collections::VecDeque;
use std::ops::AddAssign;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// Number of slots that a window is divided into.
const SLOTS: u32 = 100;
/// Number of slots over which requests are distributed of which only the sum is known.
const PRIOR_SLOTS: u32 = 10;

/// Numbers of requests and retries for one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryCount {
    pub requests: u32,
    pub repeats: u32,
}

impl AddAssign for RetryCount {
    fn add_assign(&mut self, other: Self) {
        self.requests = self.requests.wrapping_add(other.requests);
        self.repeats = self.repeats.wrapping_add(other.repeats);
    }
}

/// Requests and retries for one service that one process has counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryUsage {
    /// Since the process started. Wraps around.
    pub total: RetryCount,
    /// Within the last window.
    pub recent: RetryCount,
}

impl RetryUsage {
    /// Returns true if the process counted this before `newer`.
    pub fn is_before(self, newer: RetryUsage) -> bool {
        let is_less = |before: u32, after: u32| (after.wrapping_sub(before) as i32) > 0;
        is_less(self.total.requests, newer.total.requests)
            || is_less(self.total.repeats, newer.total.repeats)
    }

    /// Returns what was counted since `previous`, as far as it is within the window.
    pub fn since(self, previous: RetryUsage) -> RetryCount {
        let added = |total: u32, before: u32, recent: u32| total.wrapping_sub(before).min(recent);
        RetryCount {
            requests: added(self.total.requests, previous.total.requests, self.recent.requests),
            repeats: added(self.total.repeats, previous.total.repeats, self.recent.repeats),
        }
    }
}

#[derive(Debug)]
struct Slot {
    started_at: Instant,
    /// Counted by all processes, this one included.
    all: RetryCount,
    /// Counted by this process.
    local: RetryCount,
}

/// Counts in slots of a sliding window.
#[derive(Debug)]
pub struct RetryWindow {
    length: Duration,
    /// Oldest first.
    slots: VecDeque<Slot>,
}

impl RetryWindow {
    pub fn new(length: Duration) -> Self {
        RetryWindow { length, slots: VecDeque::new() }
    }

    /// Adds what this process counts.
    pub fn add_local(&mut self, count: RetryCount, now: Instant) {
        let slot = self.slot(now);
        slot.local += count;
        slot.all += count;
    }

    /// Adds what another process has counted just before `at`.
    pub fn add(&mut self, count: RetryCount, at: Instant) {
        if count != RetryCount::default() {
            self.slot(at).all += count;
        }
    }

    /// Adds what another process has counted within the window before `end`.
    ///
    /// When is not known: retries count as made at its end, and requests as arrived evenly, so that
    /// neither allows more retries than there may be.
    pub fn add_prior(&mut self, count: RetryCount, end: Instant) {
        self.add(RetryCount { requests: 0, ..count }, end);
        let mut left = count.requests;
        for number in 0..PRIOR_SLOTS {
            let share = left / (PRIOR_SLOTS - number);
            left -= share;
            if let Some(at) = end.checked_sub(self.length / PRIOR_SLOTS * number) {
                self.add(RetryCount { requests: share, repeats: 0 }, at);
            }
        }
    }

    /// Returns what all processes have counted in the window before `now`.
    pub fn sum(&mut self, now: Instant) -> RetryCount {
        self.expire(now);
        sum(self.slots.iter().map(|slot| slot.all))
    }

    /// Returns what this process has counted in the window before `now`.
    pub fn local_sum(&mut self, now: Instant) -> RetryCount {
        self.expire(now);
        sum(self.slots.iter().map(|slot| slot.local))
    }

    /// Returns the retries that this process has made within the last `span`.
    pub fn local_retries_within(&self, span: Duration, now: Instant) -> u32 {
        let is_recent = |slot: &&Slot| now.saturating_duration_since(slot.started_at) < span;
        self.slots.iter().filter(is_recent).map(|slot| slot.local.repeats).sum()
    }

    fn expire(&mut self, now: Instant) {
        let length = self.length;
        self.slots.retain(|slot| now.saturating_duration_since(slot.started_at) <= length);
    }

    /// Returns the slot that covers `at`.
    fn slot(&mut self, at: Instant) -> &mut Slot {
        let slot_length = self.length / SLOTS;
        let after = self.slots.partition_point(|slot| slot.started_at <= at);
        let covers = |slot: &Slot| at.saturating_duration_since(slot.started_at) < slot_length;
        if after > 0 && covers(&self.slots[after - 1]) {
            return &mut self.slots[after - 1];
        }
        let empty = RetryCount::default();
        self.slots.insert(after, Slot { started_at: at, all: empty, local: empty });
        &mut self.slots[after]
    }
}

fn sum(counts: impl Iterator<Item = RetryCount>) -> RetryCount {
    counts.fold(RetryCount::default(), |mut sum, count| {
        sum += count;
        sum
    })
}
