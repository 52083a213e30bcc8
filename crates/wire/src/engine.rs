//! The engine protocol: orders from a daemon to prefill and decode servers.
//!
//! Project-designed, HTTP/JSON. Routes on an engine:
//! - `POST /v1/prefill` [`PrefillOrder`] → [`PrefillReply`]
//! - `POST /v1/decode` [`DecodeOrder`] → newline-delimited [`DecodeEvent`]s
//! - `GET /v1/kv/{handle}` → the exported KV cache bytes (prefill servers)
//! - `POST /v1/cancel` [`CancelOrder`] → [`CancelReply`]
//! - `GET /v1/load` → [`LoadReport`] (lags behind the truth)
//! - `POST /v1/order` [`EngineOrder`] → [`OrderReply`]
//! - `GET /v1/report` → [`EngineReport`]
//! - `GET /v1/cache-events?since=N` → [`CacheEventPage`] (late, with gaps)
//! - `GET /v1/stats` → [`EngineStats`] (exact, for tests)
//! - `POST /v1/faults` [`EngineFaults`] → [`EngineFaults`] (stand-ins only)
//!
//! Refusals are 503 with `Retry-After`; an old fencing number is 409 on
//! engines that check fencing. Every answer to a prefill or decode order
//! carries a [`LoadSample`] in the [`LOAD_HEADER`] header, so a daemon
//! learns each server's load from the traffic it has anyway.

use std::fmt;
use std::str::FromStr;

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
    /// Milliseconds after which the engine drops the work by itself.
    pub deadline_ms: u64,
    /// 0 for a request's first prefill; above, its prompt was computed
    /// before and is computed again.
    pub attempt: u32,
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
    /// The 0-based token to begin at: above 0 when the answer goes on from
    /// another decode server that failed midway.
    pub resume_from: u32,
    pub priority: Priority,
    pub fence: Fence,
    /// Milliseconds after which the engine frees the request by itself.
    pub deadline_ms: u64,
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
    /// Prompt tokens admitted and not yet computed.
    pub queued_tokens: u64,
    /// Milliseconds since the engine started, when the figures were taken.
    pub taken_at_ms: u64,
}

/// The header of a prefill or decode answer that carries a [`LoadSample`].
pub const LOAD_HEADER: &str = "x-umberglade-load";

/// A server's load as it rides on an answer: `running,slots,queued_tokens`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadSample {
    /// Requests being worked on, from every daemon.
    pub running: u32,
    /// Requests the server can hold at once.
    pub slots: u32,
    /// Prompt tokens admitted and not yet computed.
    pub queued_tokens: u64,
}

impl fmt::Display for LoadSample {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{},{},{}", self.running, self.slots, self.queued_tokens)
    }
}

impl FromStr for LoadSample {
    type Err = std::num::ParseIntError;

    /// Parses `running,slots,queued_tokens`; a missing part fails as empty.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split(',').map(str::trim);
        Ok(LoadSample {
            running: parts.next().unwrap_or_default().parse()?,
            slots: parts.next().unwrap_or_default().parse()?,
            queued_tokens: parts.next().unwrap_or_default().parse()?,
        })
    }
}

impl From<&LoadReport> for LoadSample {
    fn from(report: &LoadReport) -> Self {
        LoadSample {
            running: report.running + report.waiting,
            slots: report.slots,
            queued_tokens: report.queued_tokens,
        }
    }
}

/// What an [`EngineOrder`] asks a server to become.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
#[serde(tag = "operation", rename_all = "snake_case")]
pub enum OrderOperation {
    /// Load a model's weights at a version from the weight store.
    LoadModel { model: ModelName, version: u32 },
    /// Load an adapter for the model in place.
    LoadAdapter { adapter: String },
    /// Serve the other stage from now on.
    SetRole { role: EngineRole },
}

/// An order that changes what a server is, from the holder of the duty.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct EngineOrder {
    #[serde(flatten)]
    pub operation: OrderOperation,
    /// The daemon that holds the duty lease.
    pub holder: String,
    /// The fencing number of that lease (its row version).
    pub fence: Fence,
    /// The order count the holder last saw; checked when the order is
    /// carried out, so an order that arrives late is refused even by
    /// engines that ignore fencing numbers.
    pub expected_sequence: u64,
}

/// An accepted order.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct OrderReply {
    /// Orders accepted since the server started, this one included.
    pub sequence: u64,
}

/// What a server is now.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct EngineReport {
    pub server: ServerId,
    pub role: EngineRole,
    pub model: ModelName,
    pub version: u32,
    pub adapters: Vec<String>,
    /// An order is being carried out.
    pub busy: bool,
    /// Orders accepted since the server started.
    pub sequence: u64,
}

/// Whether a prefix entered or left a server's cache.
#[derive(Debug, Clone, Copy, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    Added,
    Evicted,
}

/// One change of a server's prefix cache.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct CacheEvent {
    pub sequence: u64,
    pub change: CacheChange,
    pub prefix_hash: u64,
}

/// Cache events after the `since` asked for.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct CacheEventPage {
    /// What to ask `since` next.
    pub next: u64,
    /// True when events in between were dropped and never come.
    pub lost: bool,
    pub events: Vec<CacheEvent>,
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
    /// Prompt tokens computed by a repeated prefill of the same request.
    pub repeated_tokens: u64,
    /// Prompt tokens computed that belong to a shared prefix.
    pub prefix_tokens: u64,
    /// Orders refused for an old fencing number.
    pub fenced_off: u64,
}

/// Faults to inject into an engine stand-in.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq, Default)]
#[serde(default)]
pub struct EngineFaults {
    /// Refuse every order, as a crashed server's port would.
    pub down: bool,
    /// Cut every decode stream after this many tokens; 0 for never.
    pub cut_after_tokens: u32,
    /// Fall silent after this many tokens of every decode stream, the
    /// connection left open; 0 for never.
    pub silent_after_tokens: u32,
    /// Hold every prefill order and never answer it.
    pub silent_prefill: bool,
    /// Hold every KV transfer and never send it.
    pub stall_kv: bool,
    /// Send every token line twice.
    pub duplicate_lines: bool,
    /// Send a line of another request's answer before each of its own.
    pub crossed_lines: bool,
    /// Go on with the work when the connection it came by closes, as some
    /// engines do: only a cancel or the deadline ends it.
    pub ignores_hangup: bool,
    /// Leave orders unanswered and carry them out this much later.
    pub late_order_ms: u64,
}
