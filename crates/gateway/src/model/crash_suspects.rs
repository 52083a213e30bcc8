//! What of a request may be the reason why servers crash while they run it.

use smallvec::SmallVec;

use super::RequestFingerprint;

/// Maximum number of parts of a prompt that are considered, of 8 bytes each. Callers may name any
/// number.
pub const MAX_PROMPT_PARTS: usize = 16;

/// Digests of the parts of a prompt that other requests may share, in their order.
pub type PromptParts = SmallVec<[RequestFingerprint; 4]>;

/// The low bits by which the digest of a part is told from that of a content. One content in 65,536
/// has them too, and is judged like a part.
const PART_TAG: u64 = 0x9a27;
const PART_TAG_MASK: u64 = 0xffff;

/// Returns the digest by which the part of a prompt named `id` is recognised.
pub fn prompt_part(id: &str) -> RequestFingerprint {
    let digest = umberglade_wire::digest_seeded(id.as_bytes(), PART_TAG);
    (digest & !PART_TAG_MASK) | PART_TAG
}

/// Returns true if `fingerprint` is that of a part of prompts.
pub fn is_prompt_part(fingerprint: RequestFingerprint) -> bool {
    fingerprint & PART_TAG_MASK == PART_TAG
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
