//! Requests that crash the servers that run them (poison requests): what this
//! gateway knows of them, and their rows in the store.
//!
//! The decisions are [`CrashDetector`](crate::cluster::CrashDetector)'s.

mod probe_claim;
mod quarantine_row;
mod quarantines;
mod row_keeper;

pub use self::probe_claim::claim_probe;
pub use self::quarantine_row::QuarantineRow;
pub use self::quarantine_row::content_key;
pub use self::quarantine_row::key_content;
pub use self::quarantines::Quarantines;
pub use self::row_keeper::keep_rows;
