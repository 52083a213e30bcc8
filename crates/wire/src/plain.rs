//! The plain-service protocol: calls to booking-desk or organisation-desk
//! style services, some of which must not be repeated.
//!
//! - `POST /v1/call` [`PlainCall`] → [`PlainAnswer`]; not idempotent
//! - `GET /v1/lookup/{what}` → [`PlainAnswer`]; safe to repeat
//! - `GET /v1/stats` → [`PlainStats`]
//! - `POST /v1/faults` [`PlainFaults`] → [`PlainFaults`] (stand-ins only)
//!
//! 429 and 503 promise that a call was not run; no other answer does.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::OrganisationId;

/// One call to a plain service.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct PlainCall {
    pub organisation: OrganisationId,
    /// The caller's key for this action; the same key is the same action.
    pub idempotency_key: String,
    /// The caller's request body, passed through.
    pub payload: serde_json::Value,
}

/// What the service did.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct PlainResponse {
    /// The service's receipt, e.g. a booking number.
    pub confirmation: String,
}

/// How often the service ran each action, for tests.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq, Default)]
pub struct PlainStats {
    pub executions: u64,
    /// The most times any one idempotency key ran.
    pub most_runs_of_one_key: u32,
}

/// Faults to inject into a plain-service stand-in.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq, Default)]
#[serde(default)]
pub struct PlainFaults {
    /// Refuse every call with 503, not run.
    pub refuse: bool,
    /// Run every call, then answer 500.
    pub fail: bool,
    /// Run every call, then never answer.
    pub lose_answers: bool,
}

/// The idempotency record of one non-idempotent action, kept in the
/// platform's `idempotency` table under `"{organisation}/{key}"`.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum IdempotencyRecord {
    /// A daemon claimed the action and may have sent it; its outcome is
    /// not known until the record moves on.
    Started {
        /// Daemon, incarnation and number: no two claims are alike.
        claim: String,
    },
    /// The action ran; this is its answer, given again to a retry.
    Done { status: u16, body: String },
    /// The service refused it: it did not run, and may be tried again.
    NotRun { status: u16, body: String },
}

/// The table of idempotency records.
pub const IDEMPOTENCY_TABLE: &str = "idempotency";
