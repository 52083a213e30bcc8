//! Poison requests, which crash the servers that run them: what this gateway knows of them,
//! and their rows in the store.
//!
//! The decisions are made by [`CrashDetector`](crate::cluster::CrashDetector).

mod probe_claim;
mod quarantine_row;
mod quarantines;
mod row_writer;

pub use self::probe_claim::claim_probe;
pub use self::quarantine_row::QuarantineRow;
pub use self::quarantine_row::fingerprint_from_key;
pub use self::quarantine_row::fingerprint_key;
pub use self::quarantines::Quarantines;
pub use self::quarantines::suspect_kind;
pub use self::row_writer::run_row_writer;
