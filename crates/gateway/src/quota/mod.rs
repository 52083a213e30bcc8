//! Quotas of organisations at this process.

mod quota_peers;
mod quotas;

pub use self::quota_peers::QuotaPeers;
pub use self::quotas::Quotas;
