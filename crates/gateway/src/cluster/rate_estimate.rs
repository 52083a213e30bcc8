//! How many requests a line lets go a second.

use std::time::Duration;
use std::time::Instant;

/// Departures are averaged over about this long: a burst's own pace counts
/// after a second, and a clump of a few moves it by a tenth.
const AVERAGING_WINDOW: Duration = Duration::from_secs(3);
/// The least share of the average that has been filled since the first
/// departure: guards against a huge pace from a clump at the start.
const MIN_FILLED_FRACTION: f64 = 0.2;

/// A pace averaged over departures, each of which weighs the same.
///
/// Guards against clumps. Room comes free for several requests at once; with
/// the mean of the inverse gaps, two a millisecond apart counted as a
/// thousand a second. Lines of 70 were predicted to last a second and a half
/// at a site that places 24 a second, and callers waited in vain for three.
#[derive(Debug, Clone, Copy, Default)]
pub struct RateEstimate {
    /// Departures a second as of the last one, not yet corrected for how
    /// short a time it covers.
    uncorrected_rate: f64,
    first_at: Option<Instant>,
    last_at: Option<Instant>,
    count: u32,
}

impl RateEstimate {
    /// Notes a departure.
    pub fn record(&mut self, now: Instant) {
        let gap = self.last_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.uncorrected_rate =
            self.uncorrected_rate * decay_factor(gap) + 1.0 / AVERAGING_WINDOW.as_secs_f64();
        self.first_at.get_or_insert(now);
        self.last_at = Some(now);
        self.count = self.count.saturating_add(1);
    }

    /// Departures so far.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Departures a second, falling once the next is overdue.
    pub fn per_second(&self, now: Instant) -> f64 {
        let (Some(first), Some(last)) = (self.first_at, self.last_at) else { return 0.0 };
        if self.count < 2 {
            return 0.0;
        }
        let covered = last.saturating_duration_since(first).as_secs_f64();
        let covered = covered * f64::from(self.count) / f64::from(self.count - 1);
        let filled =
            (1.0 - decay_factor(Duration::from_secs_f64(covered))).max(MIN_FILLED_FRACTION);
        // Half of the last departure: the average between just before and
        // just after one.
        let rate = self.uncorrected_rate / filled - 0.5 / AVERAGING_WINDOW.as_secs_f64();
        let idle = now.saturating_duration_since(last).as_secs_f64();
        let overdue = (idle - 1.0 / rate).max(0.0);
        rate * decay_factor(Duration::from_secs_f64(overdue))
    }
}

fn decay_factor(time: Duration) -> f64 {
    (-time.as_secs_f64() / AVERAGING_WINDOW.as_secs_f64()).exp()
}
