//! What of a request may be the reason why servers crash while they run it.

use smallvec::SmallVec;

use super::RequestFingerprint;

/// Maximum number of parts of a prompt that are considered, of 8 bytes each. Callers may name any
/// number.
pub const MAX_PROMPT_PARTS: usize = 16;

/// Digests of the parts of a prompt that other requests may share, in their order.
pub type PromptParts = SmallVec<[RequestFingerprint; 4]>;

/// Returns the digest by which the part of a prompt named `id` is recognised.
pub fn prompt_part(id: &str) -> RequestFingerprint {
    umberglade_wire::digest_seeded(id.as_bytes(), umberglade_wire::digest(b"prompt part"))
}

/// What of a request may be the reason why servers crash: its content, whoever sends it again, or a
/// part of its prompt, whatever else the request contains.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CrashSuspects {
    /// Identical for all attempts of the same request.
    pub content: RequestFingerprint,
    /// In the order of the prompt. Invariant: at most [`MAX_PROMPT_PARTS`].
    pub parts: PromptParts,
}

impl CrashSuspects {
    /// Iterates over all suspects, from the one that the fewest requests share.
    pub fn iter(&self) -> impl Iterator<Item = RequestFingerprint> {
        std::iter::once(self.content).chain(self.parts.iter().rev().copied())
    }

    /// Returns the parts for logs.
    pub fn parts_text(&self) -> String {
        let parts = self.parts.iter().map(|part| format!("{part:016x}"));
        parts.collect::<Vec<_>>().join(",")
    }
}
