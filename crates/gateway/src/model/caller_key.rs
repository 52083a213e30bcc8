//! The key that a request was sent with.

use super::KeyDigest;

/// What a request's credentials hold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CallerKey {
    #[default]
    None,
    Sent(KeyDigest),
    /// Credentials that hold no key: of another kind, several, or not readable.
    Malformed,
}
