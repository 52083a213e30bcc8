//! The digest of a caller's key, which the gateway stores instead of the key.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// Number of bytes kept of a key's hash, enough to rule out collisions in practice.
const DIGEST_LEN: usize = 16;

/// The digest of a key: the first half of its SHA-256 hash. Keys are long and random, so the digest
/// reveals nothing about the key, and a lookup takes the same time whether or not the key is known.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; DIGEST_LEN]);

impl KeyDigest {
    /// Computes the digest of `key`.
    pub fn of(key: &[u8]) -> Self {
        let hash = Sha256::digest(key);
        let mut bytes = [0; DIGEST_LEN];
        bytes.copy_from_slice(&hash[..DIGEST_LEN]);
        KeyDigest(bytes)
    }

    /// Returns the bytes of the digest.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// Writes the first four bytes in hexadecimal, as used in logs.
impl fmt::Display for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..4].iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}
