//! What is decided on requests of a content.

use std::time::Duration;

use strum::Display;

use crate::model::StoreVersion;

/// A content that is held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineStatus {
    /// Server crashes that are remembered of it.
    pub crashes: usize,
    /// Requests of it that were let through to find out more.
    pub probes: u32,
    /// The version of its row in the store; 0 while there is none.
    pub version: StoreVersion,
    /// For how long it has been held back, or since the last probe.
    pub age: Duration,
    /// From now until the next probe; zero when it is due.
    pub left: Duration,
    /// True while others are held back for the same server crashes and probes are
    /// about to tell which of them is fatal, and while this gateway has just begun
    /// and knows a row alone.
    pub is_undecided: bool,
}

/// May a request of a content be sent?
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineVerdict {
    Admitted,
    HeldBack(QuarantineStatus),
    /// One request may find out whether servers still crash under it, once its
    /// gateway has claimed that in the store.
    ProbeDue(QuarantineStatus),
    /// The same, and this gateway has claimed it already.
    Probe(QuarantineStatus),
}

/// What has changed for a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum QuarantineChange {
    /// It is held back from now on.
    HeldBack,
    /// It was held back, and is no longer.
    Cleared,
    /// It was held back, and nobody has asked for it for long.
    Forgotten,
}
