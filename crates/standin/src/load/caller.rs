//! One caller: sends a streamed chat completion and times what it sees.

use std::time::Duration;
use std::time::Instant;

use http::Method;
use http::header;
use umberglade_wire::client::HttpClient;
use umberglade_wire::client::retry_after;
use umberglade_wire::engine::Priority;
use umberglade_wire::lines::LineReader;

use super::LoadPlan;
use super::class_of;

/// Bound on one caller's whole exchange.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// A word of filler text: 4 bytes, about one token.
const FILLER_WORD: &str = "lor ";

/// What one caller saw.
#[derive(Debug, Clone)]
pub struct CallOutcome {
    pub class: Priority,
    /// HTTP status, 0 when the exchange failed before one came.
    pub status: u16,
    pub retry_after_s: Option<u64>,
    pub ttft: Option<Duration>,
    /// Mean time between tokens after the first.
    pub tpot: Option<Duration>,
    pub tokens: u32,
    /// The stream ended in `[DONE]`.
    pub whole: bool,
}

/// Sends request `index` of `plan` and times it.
pub async fn call(plan: &LoadPlan, index: u32) -> CallOutcome {
    let class = class_of(plan, index);
    let mut outcome = CallOutcome {
        class,
        status: 0,
        retry_after_s: None,
        ttft: None,
        tpot: None,
        tokens: 0,
        whole: false,
    };
    let key = &plan.keys[index as usize % plan.keys.len().max(1)];
    let body = request_body(plan, index, class);
    let client = HttpClient::new(plan.target.clone(), CALL_TIMEOUT);
    let started = Instant::now();
    let request = http::Request::builder()
        .method(Method::POST)
        .uri("/v1/chat/completions")
        .header(header::AUTHORIZATION, format!("Bearer {key}"));
    let Ok(response) = client.send_with("load call", request, body.into()).await else {
        return outcome;
    };
    outcome.status = response.status().as_u16();
    outcome.retry_after_s = retry_after(&response);
    if !response.status().is_success() {
        return outcome;
    }
    let mut reader = LineReader::new(response.into_body());
    let mut first: Option<Instant> = None;
    let mut last = started;
    while let Ok(Some(line)) = reader.next_line().await {
        let Some(data) = line.strip_prefix(b"data: ") else {
            continue;
        };
        if data == b"[DONE]" {
            outcome.whole = true;
            break;
        }
        if data.windows(9).any(|window| window == b"\"content\"") {
            let now = Instant::now();
            first.get_or_insert(now);
            last = now;
            outcome.tokens += 1;
        }
    }
    if let Some(first) = first {
        outcome.ttft = Some(first - started);
        if outcome.tokens > 1 {
            outcome.tpot = Some((last - first) / (outcome.tokens - 1));
        }
    }
    outcome
}

fn request_body(plan: &LoadPlan, index: u32, class: Priority) -> String {
    let messages = match class {
        Priority::Urgent => vec![serde_json::json!({
            "role": "user",
            "content": format!("lookup {index}: {}", FILLER_WORD.repeat(plan.short_prompt_tokens as usize)),
        })],
        Priority::Standard => {
            let prefix = FILLER_WORD.repeat(plan.shared_prefix_tokens as usize);
            let own = plan.long_prompt_tokens.saturating_sub(plan.shared_prefix_tokens) as usize;
            vec![
                serde_json::json!({ "role": "system", "content": prefix }),
                serde_json::json!({ "role": "user", "content": format!("brief {index}: {}", FILLER_WORD.repeat(own)) }),
            ]
        }
    };
    serde_json::json!({
        "model": plan.model,
        "stream": true,
        "max_tokens": plan.max_tokens,
        "priority": class,
        "messages": messages,
    })
    .to_string()
}
