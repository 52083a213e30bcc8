//! Outcomes that this gateway has seen and still tells the others of.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use super::CrashId;
use super::OutcomeUpdate;
use super::SendOutcome;
use crate::model::RequestFingerprint;

/// For this long each report tells of an outcome: one report at the slowest
/// pace, and a few at a small site.
const FRESH_TIME: Duration = Duration::from_millis(400);
/// For this long those reports do that tell what changes slowly, one each two
/// seconds: a datagram may be lost, and a gateway may be suspended.
const TELL_TIME: Duration = Duration::from_secs(10);
/// Outcomes told at most: some 25 bytes each in a report. A gateway has a few
/// sends at a server that crashes, and the newest say most.
const MAX_TOLD: usize = 32;

/// Outcomes to tell, oldest first. Telling each several times makes up for
/// lost datagrams; hearing one again changes nothing.
#[derive(Debug, Default)]
pub(super) struct OutcomeLog {
    /// Invariant: at most [`MAX_TOLD`].
    seen: VecDeque<(Instant, RequestFingerprint, SendOutcome)>,
}

impl OutcomeLog {
    /// Notes an outcome.
    pub fn push(&mut self, content: RequestFingerprint, outcome: SendOutcome, now: Instant) {
        if self.seen.len() == MAX_TOLD {
            self.seen.pop_front();
        }
        self.seen.push_back((now, content, outcome));
    }

    /// True when this gateway saw `content` answered whole within `span`.
    pub fn saw_whole(&self, content: RequestFingerprint, span: Duration, now: Instant) -> bool {
        self.seen.iter().any(|(at, of, outcome)| {
            let is_whole = *of == content && *outcome == SendOutcome::Whole;
            is_whole && now.saturating_duration_since(*at) < span
        })
    }

    /// Keeps only those server crashes that `is_kept`.
    pub fn retain_crashes(&mut self, is_kept: impl Fn(RequestFingerprint, CrashId) -> bool) {
        self.seen.retain(|(_, content, outcome)| match outcome {
            SendOutcome::Crashed(id) => is_kept(*content, *id),
            SendOutcome::Lived(_) | SendOutcome::Cleared(_) | SendOutcome::Whole => true,
        });
    }

    /// What a report tells: fresh outcomes, or with `tells_all` older ones too.
    pub fn news(&mut self, tells_all: bool, now: Instant) -> Vec<OutcomeUpdate> {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.seen.retain(|(at, ..)| age(*at) < TELL_TIME);
        let told = self.seen.iter().filter(|(at, ..)| tells_all || age(*at) < FRESH_TIME);
        told.map(|(at, content, outcome)| OutcomeUpdate {
            content: *content,
            outcome: *outcome,
            age_ms: age(*at).as_millis() as u32,
        })
        .collect()
    }
}
