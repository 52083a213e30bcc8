//! Quotas of organisations, as this gateway process enforces them.

mod quota_peers;
mod quotas;

pub use self::quota_peers::QuotaPeers;
pub use self::quotas::Quotas;
