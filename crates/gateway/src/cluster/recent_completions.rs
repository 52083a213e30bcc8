//! Fingerprints of recently completed requests.

use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashSet;

use crate::model::RequestFingerprint;

/// Minimum time for which a fingerprint is kept.
const MIN_RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of fingerprints in each generation: 32 KB of digests. Beyond it, new ones
/// are dropped until the next generation begins; frequent ones are recorded early in each
/// generation.
const MAX_PER_GENERATION: usize = 4096;

/// Fingerprints of requests completed within the last 30 to 60 seconds.
#[derive(Debug, Default)]
pub(super) struct RecentCompletions {
    current: FxHashSet<RequestFingerprint>,
    previous: FxHashSet<RequestFingerprint>,
    /// When the generation `current` began.
    started_at: Option<Instant>,
}

impl RecentCompletions {
    /// Records a completed request.
    pub fn record(&mut self, fingerprint: RequestFingerprint, now: Instant) {
        self.rotate(now);
        if self.current.len() < MAX_PER_GENERATION {
            self.current.insert(fingerprint);
        }
    }

    /// Returns true if a request of `fingerprint` completed recently.
    pub fn contains(&mut self, fingerprint: RequestFingerprint, now: Instant) -> bool {
        self.rotate(now);
        self.current.contains(&fingerprint) || self.previous.contains(&fingerprint)
    }

    fn rotate(&mut self, now: Instant) {
        let started_at = *self.started_at.get_or_insert(now);
        let age = now.saturating_duration_since(started_at);
        if age < MIN_RETENTION {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        if age >= MIN_RETENTION * 2 {
            self.previous.clear();
        }
        self.started_at = Some(now);
    }
}
