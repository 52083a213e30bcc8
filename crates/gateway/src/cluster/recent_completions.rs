//! Fingerprints of recently completed requests.

use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashMap;

use crate::model::RequestFingerprint;

/// Minimum time for which a fingerprint is kept.
const MIN_RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of fingerprints in each generation, of 16 bytes each. Beyond it, new ones are
/// dropped until the next generation begins; frequent ones are recorded early in each generation.
const MAX_PER_GENERATION: usize = 8192;

/// Fingerprints of requests completed within the last 30 to 60 seconds.
#[derive(Debug, Default)]
pub(super) struct RecentCompletions {
    /// When a request of each was last completed.
    current: FxHashMap<RequestFingerprint, Instant>,
    previous: FxHashMap<RequestFingerprint, Instant>,
    /// When the generation `current` began.
    started_at: Option<Instant>,
}

impl RecentCompletions {
    /// Records a completed request.
    pub fn record(&mut self, fingerprint: RequestFingerprint, now: Instant) {
        self.rotate(now);
        if self.current.len() < MAX_PER_GENERATION || self.current.contains_key(&fingerprint) {
            self.current.insert(fingerprint, now);
        }
    }

    /// Returns true if a request of `fingerprint` completed recently.
    pub fn contains(&mut self, fingerprint: RequestFingerprint, now: Instant) -> bool {
        self.rotate(now);
        self.last(fingerprint).is_some()
    }

    /// Returns when a request of `fingerprint` last completed, if that was recently.
    pub fn last(&self, fingerprint: RequestFingerprint) -> Option<Instant> {
        self.current.get(&fingerprint).or_else(|| self.previous.get(&fingerprint)).copied()
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
