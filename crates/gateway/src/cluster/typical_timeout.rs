//! How long callers of a route usually wait, and so how long one of them has
//! been trying.

use std::time::Duration;

/// The patience that most requests of one route state.
///
/// A caller states what it has left, so its first request states all of it
/// and a later one less. First requests are the majority in all but the
/// worst storms; one vote for or against each makes out their value.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TypicalTimeout {
    value: Duration,
    votes: u32,
}

/// The most votes kept, so that a change of the callers shows soon.
const MAX_VOTES: u32 = 20;

impl TypicalTimeout {
    /// Takes in a request's patience; how long its caller has been trying.
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
