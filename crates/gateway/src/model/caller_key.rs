//! The key sent with a request.

use super::KeyDigest;

/// The key in a request's credentials.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CallerKey {
    #[default]
    None,
    Sent(KeyDigest),
    /// Credentials without a usable key: of another scheme, more than one, or unreadable.
    Malformed,
}
