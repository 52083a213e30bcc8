//! The engine protocol: orders from a daemon to prefill and decode servers.
//!
//! Project-designed, HTTP/JSON. Routes on an engine:
//! - `POST /v1/prefill` [`PrefillOrder`] → [`PrefillReply`]
//! - `POST /v1/decode` [`DecodeOrder`] → newline-delimited [`DecodeEvent`]s
//! - `GET /v1/kv/{handle}` → the exported KV cache bytes (prefill servers)
//! - `POST /v1/cancel` [`CancelOrder`] → [`CancelReply`]
//! - `GET /v1/load` → [`LoadReport`] (lags behind the truth)
//! - `GET /v1/stats` → [`EngineStats`] (exact, for tests)
//!
//! Refusals are 503 with `Retry-After`; an old fencing number is 409 on
//! engines that check fencing.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Fence;
use crate::ids::KvHandle;
use crate::ids::ModelName;
use crate::ids::OrganisationId;
use crate::ids::RequestId;
use crate::ids::ServerId;

/// The service class of a request; engines serve higher classes first.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Priority {
    /// Short lookups with a caller on the phone.
    Urgent,
    /// Long briefs and files that may wait a little.
    Standard,
}

/// What a backend server does in the disaggregated pipeline.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EngineRole {
    /// Computes the KV cache of a prompt and exports it.
    Prefill,
    /// Imports a KV cache and generates tokens.
    Decode,
    /// A plain service (booking-desk, organisation-desk); no model.
    Plain,
}

/// Order to compute a prompt's KV cache.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PrefillOrder {
    pub request_id: RequestId,
    pub organisation: OrganisationId,
    pub model: ModelName,
    /// Tokens in the whole prompt.
    pub prompt_tokens: u32,
    /// Hash of the prompt's shared prefix (guidelines, policy text); 0 for none.
    pub prefix_hash: u64,
    /// Tokens in that prefix; at most `prompt_tokens`.
    pub prefix_tokens: u32,
    pub priority: Priority,
    /// The preset version the daemon acted under.
    pub fence: Fence,
    /// Milliseconds the engine may keep the result if nobody fetches it.
    pub keep_ms: u64,
}

/// A finished prefill: where its KV cache can be fetched.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct PrefillReply {
    pub request_id: RequestId,
    pub kv_handle: KvHandle,
    /// Prompt tokens actually computed (not found in the prefix cache).
    pub computed_tokens: u32,
    /// Prompt tokens served from the prefix cache.
    pub cached_tokens: u32,
    /// Size of the exported KV cache in bytes.
    pub kv_bytes: u64,
}

/// Order to import a KV cache and generate tokens.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DecodeOrder {
    pub request_id: RequestId,
    pub organisation: OrganisationId,
    pub model: ModelName,
    /// `host:port` of the prefill server holding the KV cache.
    pub kv_source: String,
    pub kv_handle: KvHandle,
    pub prompt_tokens: u32,
    /// Tokens to generate at most.
    pub max_tokens: u32,
    /// Digest of the prompt; a stand-in derives its answer from it, so a
    /// test can tell whose answer a caller got.
    pub answer_seed: u64,
    pub priority: Priority,
    pub fence: Fence,
}

/// One line of a decode stream.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum DecodeEvent {
    /// The next generated token.
    Token {
        request_id: RequestId,
        /// 0-based position in the answer.
        index: u32,
        text: String,
    },
    /// The answer is complete.
    Done { request_id: RequestId, tokens: u32, finish_reason: String },
    /// The engine gave up on the request; no more tokens follow.
    Failed { request_id: RequestId, message: String },
}

/// Order to drop a request and free what it holds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CancelOrder {
    pub request_id: RequestId,
}

/// What a cancel found.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct CancelReply {
    /// True when the engine held the request and has freed it.
    pub freed: bool,
}

/// A server's load as it reports it; may be some time old.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct LoadReport {
    pub server: ServerId,
    pub role: EngineRole,
    /// Requests being worked on.
    pub running: u32,
    /// Requests queued behind them.
    pub waiting: u32,
    /// Requests the server can hold at once (decode memory slots).
    pub slots: u32,
    /// Milliseconds since the engine started, when the figures were taken.
    pub taken_at_ms: u64,
}

/// Exact figures for tests: what the engine holds right now.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq, Default)]
pub struct EngineStats {
    /// Requests holding engine memory (running or queued).
    pub held_requests: u32,
    /// Exported KV caches not yet fetched or expired.
    pub held_exports: u32,
    pub prefills_done: u64,
    pub decodes_done: u64,
    pub cancels: u64,
    /// Prompt tokens computed in all.
    pub computed_tokens: u64,
    /// Prompt tokens computed whose result expired or was cancelled unused.
    pub wasted_tokens: u64,
    /// Orders refused for an old fencing number.
    pub fenced_off: u64,
}
