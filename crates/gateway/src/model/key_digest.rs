//! A caller's key, as far as the gateway keeps it.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// Bytes kept of a key's hash: enough that no two keys meet.
const DIGEST_LEN: usize = 16;

/// The digest of a key (SHA-256, its first half). Keys are long and random, so it
/// tells nothing of the key, and looking one up takes the same time whether it is
/// known.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; DIGEST_LEN]);

impl KeyDigest {
    /// That of `key`.
    pub fn of(key: &[u8]) -> Self {
        let hash = Sha256::digest(key);
        let mut bytes = [0; DIGEST_LEN];
        bytes.copy_from_slice(&hash[..DIGEST_LEN]);
        KeyDigest(bytes)
    }

    /// Its bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

/// As logs name it: its first four bytes.
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
