//! Which parts of a prompt are followed when its server crashes.

use std::cmp::Reverse;
use std::time::Instant;

use crate::model::RequestFingerprint;

/// Maximum number of parts of one prompt that get a record of their own and are reported to other
/// gateways.
pub const MAX_FOLLOWED_PARTS: usize = 16;

/// What is known of one part of a prompt whose server has crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartHistory {
    pub part: RequestFingerprint,
    /// Crashes at prompts with the part since it was last answered.
    pub crashes: usize,
    /// When a prompt with the part was last answered, if that was lately.
    pub answered_at: Option<Instant>,
}

/// Returns the parts to follow of a prompt with the parts `histories` in their order: those that may
/// have been at an earlier crash before others, then those that have not been answered for longest,
/// then the last ones, which the fewest prompts share. The most suspect one comes first.
///
/// Prevents a part that crashes servers from being hidden by others, sound or invented, wherever it
/// stands: sound ones are answered again and again, and invented ones are at one crash only.
pub fn followed_parts(histories: &[PartHistory]) -> Vec<RequestFingerprint> {
    let mut ranked: Vec<(usize, &PartHistory)> = histories.iter().enumerate().collect();
    ranked.sort_by_key(|(position, history)| {
        let is_first_crash = history.crashes == 0;
        (is_first_crash, history.answered_at, Reverse(history.crashes), Reverse(*position))
    });
    let followed = ranked.into_iter().take(MAX_FOLLOWED_PARTS);
    followed.map(|(_, history)| history.part).collect()
}
