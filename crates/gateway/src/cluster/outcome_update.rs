//! Outcomes of attempts of one fingerprint, as gateways report them to each other.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;

use crate::model::RequestFingerprint;
use crate::model::StoreStamp;
use crate::model::version_only;

/// Identifies one crash of one server incarnation. Gateways that saw the same crash use the
/// same id, so that it counts once.
pub type CrashId = u64;

/// The outcome of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptOutcome {
    /// The connection broke while a server was processing the request.
    Crashed(CrashId),
    /// Before its server crashed, a run sent events for this many milliseconds, longer than any
    /// before.
    Lived(u32),
    /// The quarantine has ended: the row in the store, up to this version, is about to be
    /// removed.
    Cleared(#[serde(with = "version_only")] StoreStamp),
    /// The server completed the response and kept running.
    Whole,
}

impl AttemptOutcome {
    /// Returns the stamp that the outcome contains, if any.
    pub fn stamp(&mut self) -> Option<&mut StoreStamp> {
        match self {
            AttemptOutcome::Cleared(stamp) => Some(stamp),
            AttemptOutcome::Crashed(_) | AttemptOutcome::Lived(_) | AttemptOutcome::Whole => None,
        }
    }
}

/// An outcome that is reported to peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeUpdate {
    pub content: RequestFingerprint,
    pub outcome: AttemptOutcome,
    /// Milliseconds since the outcome was seen.
    pub age_ms: u32,
}
