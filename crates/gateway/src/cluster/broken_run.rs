//! What a gateway observes when an attempt breaks off, and what that changes.

use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;

use super::QuarantineChange;
use crate::model::RequestFingerprint;

/// An attempt that broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrokenRun {
    pub sent_at: Instant,
    /// Time from the start of the attempt until its last event; zero if there was none.
    pub duration: Duration,
    /// Time from its first event until its last one.
    pub sent_events_for: Duration,
}

/// Changes of quarantines, with the content or part that each concerns.
pub type SuspectChanges = SmallVec<[(RequestFingerprint, QuarantineChange); 1]>;
