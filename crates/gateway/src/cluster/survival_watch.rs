//! Answers whose end does not show whether their server survived them.

use std::collections::VecDeque;
use std::time::Instant;

use smallvec::SmallVec;

use super::crash_record::SAME_CRASH_WINDOW;
use crate::model::RequestFingerprint;
use crate::model::ServerIncarnation;

/// Maximum number of answers, of 24 bytes each; the oldest are dropped.
const MAX_ANSWERS: usize = 256;

#[derive(Debug)]
struct EndedAnswer {
    incarnation: ServerIncarnation,
    fingerprint: RequestFingerprint,
    ended_at: Instant,
}

/// Answers that had neither a length nor chunks and ended with their connections, oldest first.
///
/// A server that answers a request that was sent later, sooner than it could be back after a crash,
/// has survived them.
#[derive(Debug, Default)]
pub(super) struct SurvivalWatch {
    answers: VecDeque<EndedAnswer>,
}

impl SurvivalWatch {
    /// Adds an answer that ended at `ended_at`.
    pub fn add(
        &mut self,
        incarnation: ServerIncarnation,
        fingerprint: RequestFingerprint,
        ended_at: Instant,
    ) {
        if self.answers.len() == MAX_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back(EndedAnswer { incarnation, fingerprint, ended_at });
    }

    /// Takes the fingerprints whose answers the server has survived, as it answers a request that
    /// was sent at `sent_at`.
    pub fn take_survived(
        &mut self,
        incarnation: ServerIncarnation,
        sent_at: Instant,
        now: Instant,
    ) -> SmallVec<[RequestFingerprint; 4]> {
        let is_recent = |answer: &EndedAnswer| {
            now.saturating_duration_since(answer.ended_at) < SAME_CRASH_WINDOW
        };
        self.answers.retain(is_recent);
        let mut survived = SmallVec::new();
        self.answers.retain(|answer| {
            let has_survived = answer.incarnation == incarnation && answer.ended_at <= sent_at;
            if has_survived {
                survived.push(answer.fingerprint);
            }
            !has_survived
        });
        survived
    }
}
