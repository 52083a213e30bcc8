//! What of a request may be the reason why servers crash while they run it.

use smallvec::SmallVec;

use super::RequestFingerprint;

/// Maximum number of parts in a log line.
const MAX_LOGGED_PARTS: usize = 16;

/// Digests of the parts of a prompt that other requests may share, in their order, of 8 bytes each.
/// Callers may name any number within the limit of their header.
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
    /// In the order of the prompt.
    pub parts: PromptParts,
}

impl CrashSuspects {
    /// Iterates over all suspects, from the one that the fewest requests share.
    pub fn iter(&self) -> impl Iterator<Item = RequestFingerprint> {
        std::iter::once(self.content).chain(self.parts.iter().rev().copied())
    }

    /// Returns true if `fingerprint` is one of the suspects.
    pub fn contains(&self, fingerprint: RequestFingerprint) -> bool {
        self.content == fingerprint || self.parts.contains(&fingerprint)
    }

    /// Returns the parts for logs; of too many, the last ones behind the number of the others.
    pub fn parts_text(&self) -> String {
        let others = self.parts.len().saturating_sub(MAX_LOGGED_PARTS);
        let count = (others > 0).then(|| format!("+{others}"));
        let parts = self.parts[others..].iter().map(|part| format!("{part:016x}"));
        count.into_iter().chain(parts).collect::<Vec<_>>().join(",")
    }
}
