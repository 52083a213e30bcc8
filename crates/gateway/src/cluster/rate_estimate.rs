//! Estimates a rate of events, such as how many requests a queue places per second.

use std::time::Duration;
use std::time::Instant;

/// Time constant of the average: the rate of a burst shows after a second, and a clump of a few
/// events changes it by a tenth.
const AVERAGING_WINDOW: Duration = Duration::from_secs(3);
/// Minimum fraction of the average that counts as filled since the first event: prevents a huge
/// rate from a clump at the start.
const MIN_FILLED_FRACTION: f64 = 0.2;

/// Exponentially decaying average rate in which all events have the same weight.
///
/// Prevents clumps from inflating the rate. Capacity is released for several requests at once; with
/// the mean of the inverse gaps, two events a millisecond apart count as a thousand per second.
/// Queues of 70 would be predicted to last 1.5 s at a site that places 24 requests per second, and
/// callers would wait 3 s in vain.
#[derive(Debug, Clone, Copy, Default)]
pub struct RateEstimate {
    /// Events per second as of the last event, not corrected for the short time that the average
    /// covers.
    uncorrected_rate: f64,
    first_at: Option<Instant>,
    last_at: Option<Instant>,
    count: u32,
}

impl RateEstimate {
    /// Records an event.
    pub fn record(&mut self, now: Instant) {
        let gap = self.last_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.uncorrected_rate =
            self.uncorrected_rate * decay_factor(gap) + 1.0 / AVERAGING_WINDOW.as_secs_f64();
        self.first_at.get_or_insert(now);
        self.last_at = Some(now);
        self.count = self.count.saturating_add(1);
    }

    /// Returns the number of events recorded.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns events per second, decaying once the next event is overdue.
    pub fn per_second(&self, now: Instant) -> f64 {
        let (Some(first), Some(last)) = (self.first_at, self.last_at) else { return 0.0 };
        if self.count < 2 {
            return 0.0;
        }
        let covered = last.saturating_duration_since(first).as_secs_f64();
        let covered = covered * f64::from(self.count) / f64::from(self.count - 1);
        let filled =
            (1.0 - decay_factor(Duration::from_secs_f64(covered))).max(MIN_FILLED_FRACTION);
        // The last event counts half: this is the average of the rates just before and just after
        // it.
        let rate = self.uncorrected_rate / filled - 0.5 / AVERAGING_WINDOW.as_secs_f64();
        let idle = now.saturating_duration_since(last).as_secs_f64();
        let overdue = (idle - 1.0 / rate).max(0.0);
        rate * decay_factor(Duration::from_secs_f64(overdue))
    }
}

fn decay_factor(time: Duration) -> f64 {
    (-time.as_secs_f64() / AVERAGING_WINDOW.as_secs_f64()).exp()
}
