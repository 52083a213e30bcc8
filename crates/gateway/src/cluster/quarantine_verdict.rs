//! Quarantine decisions on requests.

use std::time::Duration;

use strum::Display;

use crate::model::RequestFingerprint;
use crate::model::StoreStamp;

/// The status of a quarantined fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineStatus {
    /// The content, or the part of prompts, that is quarantined.
    pub fingerprint: RequestFingerprint,
    /// Number of server crashes on record.
    pub crashes: usize,
    /// Number of requests admitted as probes.
    pub probes: u32,
    /// The version of the row in the store; 0 while there is none.
    pub stamp: StoreStamp,
    /// Time since the quarantine began, or since the last probe.
    pub age: Duration,
    /// Time until the next probe; zero when it is due.
    pub until_probe: Duration,
    /// True while others are quarantined for the same server crashes and probes are about to
    /// show which of them is the poison request, and while this gateway has just started and
    /// knows only a row.
    pub is_provisional: bool,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineVerdict {
    Admitted,
    Quarantined(QuarantineStatus),
    /// One request may show whether servers still crash under it, once its gateway has claimed
    /// the probe in the store.
    ProbeDue(QuarantineStatus),
    /// Like `ProbeDue`, and this gateway has already claimed the probe.
    Probe(QuarantineStatus),
}

/// A change of the quarantine of a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum QuarantineChange {
    /// The quarantine has started.
    HeldBack,
    /// The quarantine has ended.
    Cleared,
    /// The quarantine has expired, as no request has arrived for long.
    Forgotten,
}
