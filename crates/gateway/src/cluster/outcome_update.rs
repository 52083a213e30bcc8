//! What became of sends of one content, as gateways tell each other.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;

use crate::model::RequestFingerprint;
use crate::model::StoreVersion;

/// One crash of one start of a server. Gateways that saw the same crash name it
/// alike, so that it counts once.
pub type CrashId = u64;

/// What became of one send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum SendOutcome {
    /// The connection broke while a server was at work on it.
    Crashed(CrashId),
    /// Before its server crashed, a run of it gave events for so many milliseconds,
    /// longer than any before.
    Lived(u32),
    /// It was held back and is no longer: its row in the store, up to this
    /// version, is about to be removed.
    Cleared(StoreVersion),
    /// The server answered it whole, and lived.
    Whole,
}

/// An outcome that the other gateways are told of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeUpdate {
    pub content: RequestFingerprint,
    pub outcome: SendOutcome,
    /// Milliseconds since it was seen.
    pub age_ms: u32,
}
