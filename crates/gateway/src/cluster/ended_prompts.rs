//! Prompts with many parts whose servers have crashed.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use super::CrashId;
use super::crash_record::SAME_CRASH_WINDOW;
use crate::model::PromptParts;
use crate::model::RequestFingerprint;

/// Maximum number of parts that are kept, of 8 bytes each.
const MAX_PARTS: usize = 32 * 1024;
/// How long a prompt is kept.
const RETENTION: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct EndedPrompt {
    crash: CrashId,
    at: Instant,
    parts: PromptParts,
}

/// Prompts whose servers crashed before they were known to have survived them, oldest first. Only
/// some of their parts have records of their own; this keeps the others.
///
/// Where there is no room for all, the prompts with the most parts go first, so that callers who
/// invent parts displace their own prompts.
#[derive(Debug, Default)]
pub(super) struct EndedPrompts {
    prompts: VecDeque<EndedPrompt>,
    /// Invariant: the number of parts of all prompts, at most [`MAX_PARTS`].
    part_count: usize,
}

impl EndedPrompts {
    /// Adds the prompt with `parts` at whose server there was a `crash` at `at`.
    pub fn add(&mut self, crash: CrashId, at: Instant, parts: &PromptParts) {
        self.part_count += parts.len();
        self.prompts.push_back(EndedPrompt { crash, at, parts: parts.clone() });
        while self.part_count > MAX_PARTS {
            self.remove_largest();
        }
    }

    fn remove_largest(&mut self) {
        let sizes = self.prompts.iter().map(|prompt| prompt.parts.len()).enumerate();
        // Of equal ones the oldest.
        let Some((index, _)) = sizes.rev().max_by_key(|(_, size)| *size) else { return };
        if let Some(prompt) = self.prompts.remove(index) {
            self.part_count -= prompt.parts.len();
        }
    }

    /// Returns the crashes at which a prompt with `part` was later than `since`.
    pub fn crashes_with(
        &self,
        part: RequestFingerprint,
        since: Option<Instant>,
    ) -> SmallVec<[(CrashId, Instant); 4]> {
        let is_later = |prompt: &&EndedPrompt| since.is_none_or(|since| prompt.at > since);
        let with_part = self.prompts.iter().filter(|prompt| prompt.parts.contains(&part));
        with_part.filter(is_later).map(|prompt| (prompt.crash, prompt.at)).collect()
    }

    /// Counts for each of `parts` the prompts with it whose crash was later than the last answer
    /// that `answered_at` returns.
    pub fn count_crashes(
        &self,
        parts: &PromptParts,
        answered_at: impl Fn(RequestFingerprint) -> Option<Instant>,
    ) -> FxHashMap<RequestFingerprint, usize> {
        let mut counts: FxHashMap<RequestFingerprint, usize> =
            parts.iter().map(|part| (*part, 0)).collect();
        for prompt in &self.prompts {
            for part in &prompt.parts {
                let Some(count) = counts.get_mut(part) else { continue };
                let is_later = answered_at(*part).is_none_or(|at| prompt.at > at);
                *count += usize::from(is_later);
            }
        }
        counts
    }

    /// Removes the `crash` in the last second before `until`, which was none.
    pub fn remove_crash(&mut self, crash: CrashId, until: Instant) {
        self.retain(|prompt| {
            let is_in_time =
                prompt.at <= until && until.duration_since(prompt.at) < SAME_CRASH_WINDOW;
            prompt.crash != crash || !is_in_time
        });
    }

    /// Removes what is older than [`RETENTION`].
    pub fn tick(&mut self, now: Instant) {
        self.retain(|prompt| now.saturating_duration_since(prompt.at) < RETENTION);
    }

    fn retain(&mut self, is_kept: impl Fn(&EndedPrompt) -> bool) {
        self.prompts.retain(|prompt| is_kept(prompt));
        self.part_count = self.prompts.iter().map(|prompt| prompt.parts.len()).sum();
    }
}
