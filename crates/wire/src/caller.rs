//! The caller protocol: the OpenAI-compatible completions API.
//!
//! `POST /v1/chat/completions` takes a [`ChatRequest`] and returns a [`ChatCompletion`], or with
//! `"stream": true` a stream of server-sent events, each a [`ChatChunk`], that ends with
//! `data: [DONE]`. `POST /v1/completions` takes a [`CompletionRequest`]. Errors have the body
//! `{"error": {...}}`, and a `Retry-After` header when the caller may retry.

use serde::Deserialize;
use serde::Serialize;

use crate::engine::Priority;

/// One message of a chat conversation.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct ChatMessage {
    pub role: String,
    pub content: String,
}

/// The body of `POST /v1/chat/completions`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChatRequest {
    pub model: String,
    pub messages: Vec<ChatMessage>,
    #[serde(default)]
    pub stream: bool,
    /// The maximum number of tokens to generate; the preset's default when absent.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// The service class; derived from the length of the prompt when absent.
    #[serde(default)]
    pub priority: Option<Priority>,
}

/// The body of `POST /v1/completions`; optional fields are as in [`ChatRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CompletionRequest {
    pub model: String,
    pub prompt: String,
    #[serde(default)]
    pub stream: bool,
    #[serde(default)]
    pub max_tokens: Option<u32>,
    #[serde(default)]
    pub priority: Option<Priority>,
}

/// The token counts of a request and its response.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct Usage {
    pub prompt_tokens: u32,
    pub completion_tokens: u32,
    pub total_tokens: u32,
}

/// One choice of a response that is not streamed.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct ChatChoice {
    pub index: u32,
    pub message: ChatMessage,
    pub finish_reason: String,
}

/// A chat response that is not streamed. `created` is in seconds since the Unix epoch.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct ChatCompletion {
    pub id: String,
    pub object: String,
    pub created: u64,
    pub model: String,
    pub choices: Vec<ChatChoice>,
    pub usage: Usage,
}

/// The new text in one chunk of a streamed response.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq, Default)]
pub struct ChatDelta {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// One choice in one chunk of a streamed response.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct ChunkChoice {
    pub index: u32,
    pub delta: ChatDelta,
    pub finish_reason: Option<String>,
}

/// One server-sent event of a streamed response. `created` is in seconds since the Unix epoch.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct ChatChunk {
    pub id: String,
    pub object: String,
    pub created: u64,
    pub model: String,
    pub choices: Vec<ChunkChoice>,
}
