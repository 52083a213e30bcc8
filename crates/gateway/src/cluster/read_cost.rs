//! How long reading a table of the store takes on a gateway's link.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// A read that takes more than this fraction of the interval between reads loads the link.
const HEAVY_FRACTION: f64 = 0.1;
/// Shortest interval assumed between reads when their load on the link is computed.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(500);
/// Read time from which on costs differ.
const BASE_READ_TIME: Duration = Duration::from_millis(50);
/// Cost of reads that take 400 ms.
const LONG_COST: u8 = 4;

/// The time that reading a table takes on a gateway's link, as a level: 0 if it hardly loads the
/// link, and one more for each doubling from 50 ms on.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ReadCost(u8);

impl ReadCost {
    /// Hardly any load.
    pub const LIGHT: ReadCost = ReadCost(0);
    /// The load reported by gateways that state no level.
    pub const HEAVY: ReadCost = ReadCost(1);

    /// Returns the cost of reading `bytes` once per `interval` on a link of `link_bytes_per_s`.
    pub fn of(bytes: usize, interval: Duration, link_bytes_per_s: f64) -> Self {
        let read_time = bytes as f64 / link_bytes_per_s.max(1.0);
        if read_time <= interval.max(MIN_READ_INTERVAL).as_secs_f64() * HEAVY_FRACTION {
            return ReadCost::LIGHT;
        }
        let doublings = (read_time / BASE_READ_TIME.as_secs_f64()).log2();
        ReadCost(1 + doublings.clamp(0.0, 14.0) as u8)
    }

    /// Returns true unless reading hardly loads the link.
    pub fn is_heavy(self) -> bool {
        self > ReadCost::LIGHT
    }

    /// Returns true if a read takes so long that a peer's copy is worth waiting for.
    pub fn is_long(self) -> bool {
        self.0 >= LONG_COST
    }
}
