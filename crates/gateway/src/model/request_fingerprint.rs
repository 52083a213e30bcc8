//! What makes two requests the same.

use super::RequestFingerprint;

/// The parts of a request that come again when its caller repeats it. Its id,
/// its deadline and where it resumes are each try's own.
#[derive(Debug, Clone, Copy)]
pub struct FingerprintParts<'a> {
    pub method: &'a str,
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Who calls, where the request says so: its credentials.
    pub credentials: &'a [u8],
    pub body: &'a [u8],
}

impl FingerprintParts<'_> {
    /// The same for requests that are the same. Each part's digest seeds the
    /// next, so that no part's end can pass for the beginning of another.
    pub fn digest(&self) -> RequestFingerprint {
        let parts = [
            self.method.as_bytes(),
            self.host.as_bytes(),
            self.target.as_bytes(),
            self.credentials,
            self.body,
        ];
        parts.iter().fold(0, |seed, part| umberglade_wire::digest_seeded(part, seed))
    }
}
