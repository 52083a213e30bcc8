//! Quotas of organisations at this process.

mod quota_peers;
mod quotas;

pub use self::quotas::Quotas;
