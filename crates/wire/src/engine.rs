//! The engine protocol: orders from a daemon to prefill and decode servers.
//!
//! A protocol of this project over HTTP with JSON bodies. Routes on an engine:
//! - `POST /v1/prefill` [`PrefillOrder`] → [`PrefillReply`]
//! - `POST /v1/decode` [`DecodeOrder`] → newline-delimited [`DecodeEvent`]s
//! - `GET /v1/kv/{handle}` → the exported KV cache bytes (prefill servers)
//! - `POST /v1/cancel` [`CancelOrder`] → [`CancelReply`]
//! - `GET /v1/load` → [`LoadReport`] (may be out of date)
//! - `POST /v1/order` [`EngineOrder`] → [`OrderReply`]
//! - `GET /v1/report` → [`EngineReport`]
//! - `GET /v1/cache-events?since=N` → [`CacheEventPage`] (delayed, with gaps)
//! - `GET /v1/stats` → [`EngineStats`] (exact, for tests)
//! - `POST /v1/faults` [`EngineFaults`] → [`EngineFaults`] (stand-ins only)
//!
//! An engine rejects with 503 and `Retry-After`; engines that check fencing reject an old fencing
//! token with 409. Every response to a prefill or decode order has a [`LoadSample`] in the
//! [`LOAD_HEADER`] header, so a daemon learns the load of each server without extra requests.

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

/// The service class of a request. Engines serve urgent requests before standard ones.
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
    /// Short lookups for which a person is waiting on the phone.
    Urgent,
    /// Long briefs and files, which tolerate some delay.
    Standard,
}

/// The stage of a backend server in the disaggregated prefill and decode pipeline.
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
    /// Computes the KV cache of a prompt and exports it to a decode server.
    Prefill,
    /// Imports the KV cache of a prompt and generates tokens.
    Decode,
    /// Runs a plain service without a model (booking-desk, organisation-desk).
    Plain,
}

/// An order to compute the KV cache of a prompt.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PrefillOrder {
    pub request_id: RequestId,
    pub organisation: OrganisationId,
    pub model: ModelName,
    /// The length of the complete prompt in tokens.
    pub prompt_tokens: u32,
    /// The hash of the prefix that the prompt shares with others (guidelines, policy text); 0 for
    /// none.
    pub prefix_hash: u64,
    /// The length of that prefix in tokens; at most `prompt_tokens`.
    pub prefix_tokens: u32,
    pub priority: Priority,
    /// The version of the preset that the daemon acts under, as fencing token.
    pub fence: Fence,
    /// Milliseconds for which the engine may retain the KV cache if it is not fetched.
    pub keep_ms: u64,
    /// Milliseconds after which the engine stops the work by itself.
    pub deadline_ms: u64,
    /// 0 for the first prefill of a request. When above 0, the prompt has been computed before and
    /// is computed again.
    pub attempt: u32,
}

/// The result of a prefill: the handle under which the KV cache can be fetched.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct PrefillReply {
    pub request_id: RequestId,
    pub kv_handle: KvHandle,
    /// Prompt tokens that were computed because the prefix cache did not have them.
    pub computed_tokens: u32,
    /// Prompt tokens whose KV cache was found in the prefix cache.
    pub cached_tokens: u32,
    /// The size of the exported KV cache in bytes.
    pub kv_bytes: u64,
}

/// An order to import the KV cache of a prompt and generate tokens.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DecodeOrder {
    pub request_id: RequestId,
    pub organisation: OrganisationId,
    pub model: ModelName,
    /// The `host:port` of the prefill server that has the KV cache.
    pub kv_source: String,
    pub kv_handle: KvHandle,
    pub prompt_tokens: u32,
    /// The maximum number of tokens in the response.
    pub max_tokens: u32,
    /// A digest of the prompt. A stand-in derives its response from it, so that a test can check
    /// to which request a response belongs.
    pub answer_seed: u64,
    /// The 0-based index of the first token to generate. Above 0 when this server continues a
    /// response after another decode server failed partway.
    pub resume_from: u32,
    pub priority: Priority,
    pub fence: Fence,
    /// Milliseconds after which the engine drops the request by itself.
    pub deadline_ms: u64,
}

/// One event, a line of JSON, of a decode stream.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum DecodeEvent {
    /// The next generated token.
    Token {
        request_id: RequestId,
        /// The 0-based position of the token in the response.
        index: u32,
        text: String,
    },
    /// The response is complete and has `tokens` tokens in total.
    Done { request_id: RequestId, tokens: u32, finish_reason: String },
    /// The engine has abandoned the request; no more tokens follow.
    Failed { request_id: RequestId, message: String },
}

/// An order to drop a request and free its resources.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CancelOrder {
    pub request_id: RequestId,
}

/// The result of a [`CancelOrder`].
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct CancelReply {
    /// True when the engine had the request and has freed it.
    pub freed: bool,
}

/// The load of a server as the server reports it; may be out of date.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct LoadReport {
    pub server: ServerId,
    pub role: EngineRole,
    /// Requests being worked on.
    pub running: u32,
    /// Requests that are queued behind the running ones.
    pub waiting: u32,
    /// The number of requests that fit in the server at once (decode memory slots).
    pub slots: u32,
    /// Prompt tokens admitted and not yet computed.
    pub queued_tokens: u64,
    /// When the figures were taken, in milliseconds since the engine started.
    pub taken_at_ms: u64,
}

/// The header of a prefill or decode response that contains a [`LoadSample`].
pub const LOAD_HEADER: &str = "x-umberglade-load";

/// The load of a server as sent with a response, in the format `running,slots,queued_tokens`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadSample {
    /// Requests being processed or queued, from all daemons together.
    pub running: u32,
    /// The number of requests that fit in the server at once.
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

    /// Parses `running,slots,queued_tokens`. A missing number is an error, like an empty one.
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

/// The change to a server that an [`EngineOrder`] requests.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
#[serde(tag = "operation", rename_all = "snake_case")]
pub enum OrderOperation {
    /// Load the weights of `model` at `version` from the weight store.
    LoadModel { model: ModelName, version: u32 },
    /// Load an adapter for the model that the server already serves.
    LoadAdapter { adapter: String },
    /// Change to the stage `role`.
    SetRole { role: EngineRole },
}

/// An order from the leader that changes the model, the adapters or the role of a server.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct EngineOrder {
    #[serde(flatten)]
    pub operation: OrderOperation,
    /// The daemon that holds the leader lease.
    pub holder: String,
    /// The fencing token of that lease (its row version).
    pub fence: Fence,
    /// The `sequence` of the server that the leader saw last. The engine compares it when it
    /// accepts the order, so that even engines that ignore fencing tokens reject a delayed order.
    pub expected_sequence: u64,
}

/// The response to an accepted [`EngineOrder`].
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct OrderReply {
    /// The number of orders accepted since the server started, including this one.
    pub sequence: u64,
}

/// The current model, adapters and role of a server.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct EngineReport {
    pub server: ServerId,
    pub role: EngineRole,
    pub model: ModelName,
    /// The version of the model's weights.
    pub version: u32,
    pub adapters: Vec<String>,
    /// True while the server executes an order.
    pub busy: bool,
    /// The number of orders accepted since the server started.
    pub sequence: u64,
}

/// Whether a prefix was added to the prefix cache of a server or evicted from it.
#[derive(Debug, Clone, Copy, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    Added,
    Evicted,
}

/// One change of the prefix cache of a server.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct CacheEvent {
    pub sequence: u64,
    pub change: CacheChange,
    pub prefix_hash: u64,
}

/// The cache events after the requested `since`.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct CacheEventPage {
    /// The `since` of the next request.
    pub next: u64,
    /// True when events between `since` and `next` were dropped and will not be sent.
    pub lost: bool,
    pub events: Vec<CacheEvent>,
}

/// Exact current figures of an engine, for tests. Counts are since the engine started.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq, Default)]
pub struct EngineStats {
    /// Requests that occupy engine memory now (running or queued).
    pub held_requests: u32,
    /// Exported KV caches that are neither fetched nor expired now.
    pub held_exports: u32,
    pub prefills_done: u64,
    pub decodes_done: u64,
    pub cancels: u64,
    /// All prompt tokens computed.
    pub computed_tokens: u64,
    /// Prompt tokens computed for a result that expired or was cancelled before it was used.
    pub wasted_tokens: u64,
    /// Prompt tokens computed by a retried prefill of the same request.
    pub repeated_tokens: u64,
    /// Prompt tokens computed that are part of a shared prefix.
    pub prefix_tokens: u64,
    /// Orders rejected because of an old fencing token.
    pub fenced_off: u64,
}

/// Faults to inject into an engine stand-in.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq, Default)]
#[serde(default)]
pub struct EngineFaults {
    /// Reject every prefill and decode order and cut running decode streams, to simulate a crashed
    /// server.
    pub down: bool,
    /// The number of tokens after which every decode stream is cut; 0 for never.
    pub cut_after_tokens: u32,
    /// The number of tokens after which every decode stream stalls with its connection open; 0 for
    /// never.
    pub silent_after_tokens: u32,
    /// The number of tokens after which every decode stream pauses once for `pause_ms` and goes
    /// on; 0 for before the first.
    pub pause_after_tokens: u32,
    /// Milliseconds of that pause; 0 for none.
    pub pause_ms: u64,
    /// Leave every prefill order without a response.
    pub silent_prefill: bool,
    /// Stall every KV cache transfer before the first byte.
    pub stall_kv: bool,
    /// Send every token line twice.
    pub duplicate_lines: bool,
    /// Send a token line of another request before each token line of a request.
    pub crossed_lines: bool,
    /// Continue the work on a request when its connection closes, as some engines do. Only a
    /// cancel order or the deadline ends it.
    pub ignores_hangup: bool,
    /// Milliseconds by which engine orders are delayed: the order gets no response and is accepted
    /// this much later; 0 for none.
    pub late_order_ms: u64,
}
