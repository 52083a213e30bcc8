//! An organisation whose callers the gateway serves.

use serde::Deserialize;
use serde::Serialize;

use super::OrganisationName;
use super::QuotaLimit;

/// One organisation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    pub name: OrganisationName,
    /// Overrides the priority of the route; 0 is the most urgent.
    pub priority: Option<u32>,
    /// `None` for no limit.
    pub quota: Option<QuotaLimit>,
}
