//! What a server is told of who calls.

use super::OrganisationName;

/// How a request is marked before it is sent on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerIdentity {
    /// Whose key it was sent with, if anyone's.
    pub organisation: Option<OrganisationName>,
    /// True where keys are the gateway's to check, and no server sees them.
    pub strips_key: bool,
}
