//! Outcomes that this gateway has seen and still reports to peers.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use super::AttemptOutcome;
use super::CrashId;
use super::OutcomeUpdate;
use crate::model::RequestFingerprint;

/// Every report contains an outcome for this long: one report at the longest report
/// interval, a few at a small site.
const FRESH_WINDOW: Duration = Duration::from_millis(400);
/// Reports that also contain what changes slowly, one every two seconds, contain an outcome
/// for this long: a datagram may be lost, and a gateway may be suspended.
const REPORT_RETENTION: Duration = Duration::from_secs(10);
/// Maximum number of outcomes to report, some 25 bytes each in a report. A gateway has only
/// a few attempts at a server that crashes, and the newest outcomes are the most
/// informative.
const MAX_OUTCOMES: usize = 32;

/// Outcomes to report, oldest first. Each is reported several times to make up for lost
/// datagrams; receiving one again changes nothing.
#[derive(Debug, Default)]
pub(super) struct OutcomeLog {
    /// Invariant: at most [`MAX_OUTCOMES`].
    outcomes: VecDeque<(Instant, RequestFingerprint, AttemptOutcome)>,
}

impl OutcomeLog {
    pub fn push(&mut self, fingerprint: RequestFingerprint, outcome: AttemptOutcome, now: Instant) {
        if self.outcomes.len() == MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((now, fingerprint, outcome));
    }

    /// Returns true if this gateway saw a request of `fingerprint` complete within the last
    /// `span`.
    pub fn has_completion(
        &self,
        fingerprint: RequestFingerprint,
        span: Duration,
        now: Instant,
    ) -> bool {
        self.outcomes.iter().any(|(at, reported, outcome)| {
            let is_completion = *reported == fingerprint && *outcome == AttemptOutcome::Whole;
            is_completion && now.saturating_duration_since(*at) < span
        })
    }

    /// Keeps only the server crashes for which `is_kept` returns true.
    pub fn retain_crashes(&mut self, is_kept: impl Fn(RequestFingerprint, CrashId) -> bool) {
        self.outcomes.retain(|(_, fingerprint, outcome)| match outcome {
            AttemptOutcome::Crashed(id) => is_kept(*fingerprint, *id),
            AttemptOutcome::Lived(_) | AttemptOutcome::Cleared(_) | AttemptOutcome::Whole => true,
        });
    }

    /// Returns the outcomes for a report: fresh ones, or with `reports_all` older ones too.
    pub fn updates(&mut self, reports_all: bool, now: Instant) -> Vec<OutcomeUpdate> {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.outcomes.retain(|(at, ..)| age(*at) < REPORT_RETENTION);
        let due = self.outcomes.iter().filter(|(at, ..)| reports_all || age(*at) < FRESH_WINDOW);
        due.map(|(at, fingerprint, outcome)| OutcomeUpdate {
            content: *fingerprint,
            outcome: *outcome,
            age_ms: age(*at).as_millis() as u32,
        })
        .collect()
    }
}
