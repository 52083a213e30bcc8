//! Questions to servers whether their processes live on, shared by all answers that have ended.

use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashMap;

use super::ProcessLife;
use crate::model::ServerIncarnation;

/// A question that has no answer after this time has been lost.
const MAX_CHECK_DURATION: Duration = Duration::from_secs(2);

/// What a caller of [`LifeChecks::begin`] is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifeStep {
    /// Ask, and record the end of the question.
    Begin,
    /// Wait for the question in progress.
    Wait,
    /// A question asked since then has been answered.
    Known(ProcessLife),
}

#[derive(Debug, Clone, Copy)]
struct LifeCheck {
    asked_at: Instant,
    /// `None` while the question is in progress.
    life: Option<ProcessLife>,
}

/// The last question to each server.
///
/// One question serves all answers that ended before it was asked, so that a server whose answers
/// end together is asked twice at most.
#[derive(Debug, Default)]
pub struct LifeChecks {
    /// Invariant: none is older than [`MAX_CHECK_DURATION`] when another begins.
    checks: FxHashMap<ServerIncarnation, LifeCheck>,
}

impl LifeChecks {
    /// Begins a question to `incarnation`, unless one is in progress, or has been answered that was
    /// asked since `ended_at`.
    pub fn begin(
        &mut self,
        incarnation: ServerIncarnation,
        ended_at: Instant,
        now: Instant,
    ) -> LifeStep {
        let is_recent =
            |check: &LifeCheck| now.saturating_duration_since(check.asked_at) < MAX_CHECK_DURATION;
        match self.checks.get(&incarnation).filter(|check| is_recent(check)) {
            Some(LifeCheck { life: None, .. }) => LifeStep::Wait,
            Some(LifeCheck { life: Some(life), asked_at }) if *asked_at >= ended_at => {
                LifeStep::Known(*life)
            }
            _ => {
                self.checks.retain(|_, check| is_recent(check));
                self.checks.insert(incarnation, LifeCheck { asked_at: now, life: None });
                LifeStep::Begin
            }
        }
    }

    /// Records what the question in progress has found; without `life` the next caller asks again.
    pub fn end(&mut self, incarnation: ServerIncarnation, life: Option<ProcessLife>) {
        if life.is_none() {
            self.checks.remove(&incarnation);
        } else if let Some(check) = self.checks.get_mut(&incarnation) {
            check.life = life;
        }
    }
}
