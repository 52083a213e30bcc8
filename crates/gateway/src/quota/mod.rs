//! Quotas of organisations at this process.

mod quotas;

pub use self::quotas::Quotas;
