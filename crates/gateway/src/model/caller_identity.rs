//! The caller's identity as it is forwarded to a server.

use super::OrganisationName;

/// The identity that is set on a request before it is forwarded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerIdentity {
    /// The organisation whose key the request was sent with, if any.
    pub organisation: Option<OrganisationName>,
    /// True when the gateway checks keys, and servers do not receive them.
    pub strips_key: bool,
}
