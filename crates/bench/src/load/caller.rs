//! A caller that sends one request, retries after a rejection with `Retry-After`, and measures the
//! response.

use std::time::Duration;
use std::time::Instant;

use futures_lite::FutureExt;
use http::Method;
use http::Response;
use http::header;
use umberglade_wire::client::HttpClient;
use umberglade_wire::client::retry_after;
use umberglade_wire::lines::LineReader;

use super::Arrival;
use super::LoadTarget;
use crate::workload::RequestClass;
use crate::workload::RequestKind;
use crate::workload::Workload;

/// One word of filler text: 4 bytes, about one token.
const FILLER_WORD: &str = "lor ";
/// A caller retries only if `Retry-After` is at most this fraction of its remaining time.
const MAX_RETRY_WAIT_FRACTION: f64 = 1.0 / 3.0;

/// How a caller's request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum CallResult {
    /// The response was complete.
    Whole,
    /// Rejected with 429 or 503 and not retried any further.
    Refused,
    /// The caller hung up, as the workload specifies.
    HungUp,
    /// The response was cut.
    Cut,
    /// Another status, no response, or none within the caller's deadline.
    Failed,
}

/// The outcome of one request as its caller saw it.
#[derive(Debug, Clone)]
pub struct CallOutcome {
    /// Index into the workload's classes.
    pub class: usize,
    pub result: CallResult,
    /// The last HTTP status, 0 if none was received.
    pub status: u16,
    /// The `type` in the error body of a rejection or failure.
    pub rejection_type: String,
    /// The last rejection had no `Retry-After`.
    pub refused_without_retry_after: bool,
    /// From the first attempt to the first token, or to the response of a plain call.
    pub ttft: Option<Duration>,
    /// Mean time between tokens after the first.
    pub tpot: Option<Duration>,
}

/// Sends `arrival` and retries it after a rejection whose `Retry-After` leaves enough time.
pub async fn call(workload: &Workload, target: &LoadTarget, arrival: &Arrival) -> CallOutcome {
    let class = &workload.class[arrival.class];
    let started_at = Instant::now();
    let max_wait = arrival.hangs_up_after.unwrap_or(class.deadline());
    let mut outcome = CallOutcome {
        class: arrival.class,
        result: CallResult::Failed,
        status: 0,
        rejection_type: String::new(),
        refused_without_retry_after: false,
        ttft: None,
        tpot: None,
    };
    let attempts = send_with_retries(workload, target, arrival, started_at, &mut outcome);
    let in_time = attempts
        .or(async {
            smol::Timer::after(max_wait).await;
            false
        })
        .await;
    if !in_time && arrival.hangs_up_after.is_some() {
        outcome.result = CallResult::HungUp;
    } else if !in_time {
        outcome.result = CallResult::Failed;
    }
    outcome
}

/// Sends the request until an attempt is not rejected, no retry is left, or the wait before the
/// next one is too long. Returns true once `outcome` is final.
async fn send_with_retries(
    workload: &Workload,
    target: &LoadTarget,
    arrival: &Arrival,
    started_at: Instant,
    outcome: &mut CallOutcome,
) -> bool {
    let class = &workload.class[arrival.class];
    for attempt in 0..=class.retries {
        let daemons = &target.daemons;
        let daemon = &daemons[(arrival.number as usize + attempt as usize) % daemons.len()];
        let sent = send(workload, target, arrival, daemon).await;
        let Ok(response) = sent else {
            return true;
        };
        outcome.status = response.status().as_u16();
        if response.status().is_success() {
            read_response(class, response, started_at, outcome).await;
            return true;
        }
        let wait = retry_after(&response);
        record_rejection(response, wait, outcome).await;
        let left = class.deadline().saturating_sub(started_at.elapsed());
        let Some(wait) = wait.map(Duration::from_secs) else {
            return true;
        };
        if outcome.result != CallResult::Refused || wait > left.mul_f64(MAX_RETRY_WAIT_FRACTION) {
            return true;
        }
        if attempt < class.retries {
            smol::Timer::after(wait).await;
        }
    }
    true
}

async fn record_rejection(
    response: Response<umberglade_wire::client_connection::ResponseBody>,
    wait: Option<u64>,
    outcome: &mut CallOutcome,
) {
    let is_rejection = matches!(outcome.status, 429 | 503);
    outcome.result = if is_rejection { CallResult::Refused } else { CallResult::Failed };
    outcome.refused_without_retry_after = is_rejection && wait.is_none();
    let client = HttpClient::new("-", Duration::from_secs(2));
    if let Err(error) = client.read_full_body("rejection", response).await {
        outcome.rejection_type = parse_rejection_type(&error).unwrap_or_default();
    }
}

fn parse_rejection_type(error: &umberglade_wire::WireError) -> Option<String> {
    let umberglade_wire::WireError::Status { body, .. } = error else {
        return None;
    };
    let body: serde_json::Value = serde_json::from_str(body).ok()?;
    Some(body["error"]["type"].as_str()?.to_owned())
}

async fn send(
    workload: &Workload,
    target: &LoadTarget,
    arrival: &Arrival,
    daemon: &str,
) -> Result<Response<umberglade_wire::client_connection::ResponseBody>, umberglade_wire::WireError>
{
    let class = &workload.class[arrival.class];
    let key = &target.keys[arrival.number as usize % target.keys.len()];
    let client = HttpClient::new(daemon, class.deadline());
    let plain = workload.plain.as_ref().map(|plain| plain.name.as_str()).unwrap_or_default();
    let request = http::Request::builder().header(header::AUTHORIZATION, format!("Bearer {key}"));
    let (request, body) = match class.kind {
        RequestKind::Completion => (
            request.method(Method::POST).uri("/v1/chat/completions"),
            completion_body(&workload.model.name, class, arrival),
        ),
        RequestKind::Lookup => {
            let path = format!("/v1/services/{plain}/lookup/slot-{}", arrival.number);
            (request.method(Method::GET).uri(path), String::new())
        }
        RequestKind::Call => {
            let path = format!("/v1/services/{plain}/call");
            let key = format!("{}-{}", class.name, arrival.number);
            let body = serde_json::json!({ "slot": arrival.number }).to_string();
            (request.method(Method::POST).uri(path).header("idempotency-key", key), body)
        }
    };
    client.send_with("load call", request, body.into()).await
}

async fn read_response(
    class: &RequestClass,
    response: Response<umberglade_wire::client_connection::ResponseBody>,
    started_at: Instant,
    outcome: &mut CallOutcome,
) {
    if class.kind != RequestKind::Completion {
        let client = HttpClient::new("-", class.deadline());
        if client.read_full_body("response", response).await.is_ok() {
            outcome.result = CallResult::Whole;
            outcome.ttft = Some(started_at.elapsed());
        }
        return;
    }
    outcome.result = CallResult::Cut;
    let mut reader = LineReader::new(response.into_body());
    let mut first: Option<Instant> = None;
    let mut last = started_at;
    let mut tokens = 0;
    while let Ok(Some(line)) = reader.next_line().await {
        let Some(data) = line.strip_prefix(b"data: ") else {
            continue;
        };
        if data == b"[DONE]" {
            outcome.result = CallResult::Whole;
            break;
        }
        if data.windows(9).any(|window| window == b"\"content\"") {
            last = Instant::now();
            first.get_or_insert(last);
            tokens += 1;
        }
    }
    if let Some(first) = first {
        outcome.ttft = Some(first - started_at);
        if tokens > 1 {
            outcome.tpot = Some((last - first) / (tokens - 1));
        }
    }
}

fn completion_body(model: &str, class: &RequestClass, arrival: &Arrival) -> String {
    let unique_tokens = arrival.prompt_tokens.saturating_sub(class.prefix_tokens) as usize;
    let mut messages = Vec::new();
    if class.prefix_tokens > 0 {
        let prefix = format!(
            "guidelines {} {} {}",
            class.name,
            arrival.prefix,
            FILLER_WORD.repeat(class.prefix_tokens as usize)
        );
        messages.push(serde_json::json!({ "role": "system", "content": prefix }));
    }
    let content =
        format!("{} {}: {}", class.name, arrival.number, FILLER_WORD.repeat(unique_tokens));
    messages.push(serde_json::json!({ "role": "user", "content": content }));
    serde_json::json!({
        "model": model,
        "stream": true,
        "max_tokens": class.max_tokens.max(1),
        "priority": class.priority,
        "messages": messages,
    })
    .to_string()
}
