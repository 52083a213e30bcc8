//! The fingerprint by which a request that is sent again is recognised.

use super::RequestFingerprint;

/// The parts of a request that are the same when its caller sends it again. The id, the deadline
/// and the resume position differ between attempts and are not included.
#[derive(Debug, Clone, Copy)]
pub struct FingerprintParts<'a> {
    pub method: &'a str,
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Who calls: the name of the organisation, whichever of its keys the request names, or where none
    /// is known the key's digest; empty without a key.
    pub caller: &'a [u8],
    pub body: &'a [u8],
}

impl FingerprintParts<'_> {
    /// Computes the fingerprint. Each part's digest seeds the next, so that moving bytes from the
    /// end of one part to the start of the next changes the fingerprint.
    pub fn fingerprint(&self) -> RequestFingerprint {
        let parts = [
            self.method.as_bytes(),
            self.host.as_bytes(),
            self.target.as_bytes(),
            self.caller,
            self.body,
        ];
        parts.iter().fold(0, |seed, part| umberglade_wire::digest_seeded(part, seed))
    }
}
