//! A request rate.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Requests per second, stored as an integer number of thousandths so that comparison
/// and encoding are exact.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestRate {
    milli: u32,
}

impl RequestRate {
    /// Returns `None` if `per_second` is negative or not finite. Rates that are too
    /// large saturate at the maximum.
    pub fn new(per_second: f64) -> Option<Self> {
        let is_rate = per_second.is_finite() && per_second >= 0.0;
        is_rate.then(|| RequestRate { milli: (per_second * 1000.0).round() as u32 })
    }

    /// Returns the rate in requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.milli) / 1000.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.per_second().fmt(formatter)
    }
}
