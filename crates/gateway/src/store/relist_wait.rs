//! How long a gateway waits for its peers before it lists a table of the store again.

use std::time::Duration;
use std::time::Instant;

/// Delay after a first failed call, doubled with each further failure in a row.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay between failed calls: short compared with the time in which a configuration must
/// be in force once the store is available again.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(700);
/// Shortest delay before a table that peers may read is listed again: reads are known everywhere
/// within about half a second.
const RELIST_DELAY: Duration = Duration::from_millis(400);
/// Fraction of a table's bound over which gateways that have relied on their peers spread.
const RELIST_SPREAD: f64 = 0.35;
/// Interval at which rows of peers are looked for during the wait.
pub const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Returns the delay after `failures` failed calls in a row. `draw` is a random number from 0 to 1.
pub fn retry_delay(failures: u32, draw: f64) -> Duration {
    let doubled = INITIAL_RETRY_DELAY * 2u32.pow(failures.saturating_sub(1).min(4));
    doubled.min(MAX_RETRY_DELAY).mul_f64(0.75 + draw * 0.5)
}

/// The wait of one gateway before it lists a table that its peers may list for it.
#[derive(Debug, Clone, Copy)]
pub struct RelistWait {
    /// Time within which a change of the table must be known.
    pub bound: Duration,
    /// The fraction of the peers that precede this gateway; `None` if it has not relied on them.
    pub rank_fraction: Option<f64>,
    /// When the last call to the store failed, if one did since the last response.
    pub failed_at: Option<Instant>,
}

impl RelistWait {
    /// Returns when the table is listed unless peers have read it by then. `draw` is a random number
    /// from 0 to 1.
    ///
    /// The delay after a failed call is part of the wait: one after the other, they would be longer
    /// than the bound.
    pub fn ends_at(&self, draw: f64, now: Instant) -> Instant {
        let spread = self.bound.mul_f64(RELIST_SPREAD * self.rank_fraction.unwrap_or_default());
        let delay = RELIST_DELAY.mul_f64(1.0 + draw) + spread;
        self.failed_at.unwrap_or(now) + delay
    }
}
