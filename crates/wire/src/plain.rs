//! The plain-service protocol: calls to services such as booking-desk or organisation-desk, some
//! of which must not be retried.
//!
//! - `POST /v1/call` [`PlainCall`] → [`PlainResponse`]; not idempotent
//! - `GET /v1/lookup/{item}` → [`PlainResponse`]; idempotent, safe to retry
//! - `GET /v1/stats` → [`PlainStats`]
//! - `POST /v1/faults` [`PlainFaults`] → [`PlainFaults`] (stand-ins only)
//!
//! A 429 or 503 response guarantees that the call was not run; no other response does.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::OrganisationId;

/// The body of a call to a plain service.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct PlainCall {
    pub organisation: OrganisationId,
    /// The caller's key for this action; calls with the same key are the same action.
    pub idempotency_key: String,
    /// The caller's request body, passed through unchanged.
    pub payload: serde_json::Value,
}

/// The response of a plain service.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct PlainResponse {
    /// The receipt of the service, for example a booking number.
    pub confirmation: String,
}

/// How often the service ran its action, for tests.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq, Default)]
pub struct PlainStats {
    pub executions: u64,
    /// The highest number of runs of any single idempotency key.
    pub most_runs_of_one_key: u32,
}

/// Faults to inject into a plain-service stand-in.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq, Default)]
#[serde(default)]
pub struct PlainFaults {
    /// Reject every call and lookup with 503, without running it.
    pub refuse: bool,
    /// Run every call, then respond with 500.
    pub fail: bool,
    /// Run every call, then leave it without a response.
    pub lose_answers: bool,
}

/// The idempotency record of one action that is not idempotent, stored in the platform's
/// `idempotency` table under the key `"{organisation}/{key}"`.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum IdempotencyRecord {
    /// A daemon has claimed the action and may have sent it. The outcome is unknown until the
    /// record changes to another state.
    Started {
        /// The unique id of the claim: daemon, incarnation and a number.
        claim: String,
    },
    /// The action ran. Retries receive this stored response.
    Done { status: u16, body: String },
    /// The service rejected the action: it did not run and may be retried.
    NotRun { status: u16, body: String },
}

/// The table of [`IdempotencyRecord`]s.
pub const IDEMPOTENCY_TABLE: &str = "idempotency";
