//! Whether a part of prompts crashes the servers that answer them.

/// Number of crashes, with no answer since the first, at which a part is suspect.
const SUSPECT_CRASHES: usize = 3;
/// Number of crashes at which a part that has been answered lately is suspect.
const TRUSTED_CRASHES: usize = 4;
/// Number of moments, a second apart, at which a part is suspect that has been answered lately, or
/// that was at few of the crashes.
const TRUSTED_MOMENTS: usize = 3;
const SUSPECT_MOMENTS: usize = 2;
/// Fraction of all crashes at which the part was, among crashes at one moment.
const COVERAGE: f64 = 0.6;
const TRUSTED_COVERAGE: f64 = 0.8;
/// Number of crashes that nothing else explains, where something else explains the others.
const UNEXPLAINED_CRASHES: usize = SUSPECT_CRASHES;
/// Number of crashes by which a fatal part must be known, and of those among them that nothing else
/// explains.
const KNOWN_CRASHES: usize = 5;
const UNEXPLAINED_OF_KNOWN: usize = 2;

/// What speaks for and against one part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartEvidence {
    /// Servers that crashed when they were about to answer a prompt with the part, since it was
    /// last answered.
    pub crashes: usize,
    /// Moments of these crashes, a second apart.
    pub moments: usize,
    /// Crashes that no quarantined request and no other quarantined part explains.
    pub unexplained: usize,
    /// All crashes known between the first and the last of `crashes`.
    pub all_crashes: usize,
    /// Whether the part was answered in the last minute.
    pub is_trusted: bool,
}

impl PartEvidence {
    /// Returns true if, as far as known, servers crash because of the part.
    ///
    /// A fatal part is at each crash that it causes; a sound one, however popular, only at those of
    /// servers that were about to answer it. Prevents parts that most prompts share from being held
    /// back when servers lose power, and where another part or request explains the crashes.
    pub fn is_suspect(&self) -> bool {
        let is_explained = self.unexplained < self.crashes;
        if is_explained && !self.has_enough_unexplained() {
            return false;
        }
        let coverage = self.crashes as f64 / self.all_crashes.max(self.crashes).max(1) as f64;
        if self.is_trusted {
            let is_at_all = self.crashes >= TRUSTED_CRASHES && coverage >= TRUSTED_COVERAGE;
            return self.moments >= TRUSTED_MOMENTS || is_at_all;
        }
        let is_repeated = self.moments >= SUSPECT_MOMENTS || coverage >= COVERAGE;
        self.crashes >= SUSPECT_CRASHES && is_repeated
    }

    fn has_enough_unexplained(&self) -> bool {
        let is_overdue = self.crashes >= KNOWN_CRASHES && self.unexplained >= UNEXPLAINED_OF_KNOWN;
        self.unexplained >= UNEXPLAINED_CRASHES || is_overdue
    }
}
