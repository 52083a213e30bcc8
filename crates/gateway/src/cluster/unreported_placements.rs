//! Placements of this gateway that its peers may not know of yet.

use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;

use crate::model::ServerKey;

/// Time within which peers hear of a placement: a report of a sender with many other updates waits
/// up to this long for send budget.
const REPORT_TIME: Duration = Duration::from_millis(50);

/// The placements of the last [`REPORT_TIME`].
#[derive(Debug, Default)]
pub struct UnreportedPlacements {
    /// Oldest first.
    placed: SmallVec<[(Instant, ServerKey); 8]>,
}

impl UnreportedPlacements {
    pub fn record(&mut self, server: ServerKey, now: Instant) {
        self.forget_reported(now);
        self.placed.push((now, server));
    }

    /// Returns the server of each placement.
    pub fn servers(&mut self, now: Instant) -> SmallVec<[ServerKey; 8]> {
        self.forget_reported(now);
        self.placed.iter().map(|(_, server)| server.clone()).collect()
    }

    fn forget_reported(&mut self, now: Instant) {
        self.placed
            .retain(|(placed_at, _)| now.saturating_duration_since(*placed_at) < REPORT_TIME);
    }
}
