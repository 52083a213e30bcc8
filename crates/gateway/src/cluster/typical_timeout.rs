//! Estimates the timeout that callers of a route start with, and from it how long a caller has been
//! retrying.

use std::time::Duration;

/// The timeout stated by most requests of one route.
///
/// A caller states the time it has left, so its first request states the full timeout and a retry
/// states less. First requests are the majority in all but the worst retry storms, so a majority
/// vote (Boyer-Moore) finds their value.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TypicalTimeout {
    value: Duration,
    votes: u32,
}

/// Maximum number of votes, so that a change of the callers' timeout is adopted soon.
const MAX_VOTES: u32 = 20;

impl TypicalTimeout {
    /// Records a request's stated timeout; returns how long its caller has been retrying.
    pub fn record(&mut self, timeout: Duration) -> Duration {
        if timeout == self.value {
            self.votes = (self.votes + 1).min(MAX_VOTES);
        } else if self.votes == 0 {
            self.value = timeout;
            self.votes = 1;
        } else {
            self.votes -= 1;
        }
        self.value.saturating_sub(timeout)
    }
}
