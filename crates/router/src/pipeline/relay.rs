//! Relays a decode server's token stream to the caller: as server-sent
//! events, or gathered into one whole answer.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_lite::FutureExt;
use http::Response;
use http::StatusCode;
use umberglade_wire::caller::ChatChoice;
use umberglade_wire::caller::ChatChunk;
use umberglade_wire::caller::ChatCompletion;
use umberglade_wire::caller::ChatDelta;
use umberglade_wire::caller::ChatMessage;
use umberglade_wire::caller::ChunkChoice;
use umberglade_wire::caller::Usage;
use umberglade_wire::engine::DecodeEvent;
use umberglade_wire::lines::LineReader;
use umberglade_wire::pool;
use umberglade_wire::reply;
use umberglade_wire::reply::ChunkSender;
use umberglade_wire::reply::ReplyBody;

use super::Admitted;
use super::DecodeStream;
use super::unix_seconds;
use crate::daemon::Kind;
use crate::daemon::refuse;
use crate::events;

/// Longest silence allowed between two lines of a decode stream. Guards
/// against a connection that went silent for good: without it the caller
/// would wait forever; with it the request ends, the decode server gets a
/// cancel and the caller an error.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// What the next line of a decode stream brought.
enum Step {
    Token(String),
    Done(u32, String),
    Broken(String),
}

async fn next_step(reader: &mut LineReader, admitted: &Admitted, decode_server: &str) -> Step {
    let line = reader
        .next_line()
        .or(async {
            smol::Timer::after(STALL_TIMEOUT).await;
            Ok(None)
        })
        .await;
    let line = match line {
        Ok(Some(line)) => line,
        Ok(None) => {
            return Step::Broken(format!("decode stream from {} ended or stalled", decode_server));
        }
        Err(error) => {
            return Step::Broken(format!("decode stream from {}: {error}", decode_server));
        }
    };
    match serde_json::from_slice::<DecodeEvent>(&line) {
        // Guards against crossed answers: a line for another request is
        // never passed on, whatever the engine sent.
        Ok(DecodeEvent::Token { request_id, text, .. }) if request_id == admitted.request_id => {
            Step::Token(text)
        }
        Ok(DecodeEvent::Done { request_id, tokens, finish_reason })
            if request_id == admitted.request_id =>
        {
            Step::Done(tokens, finish_reason)
        }
        Ok(DecodeEvent::Failed { message, .. }) => Step::Broken(message),
        Ok(_) => Step::Broken("decode stream carried another request's answer".into()),
        Err(error) => Step::Broken(format!("bad decode line: {error}")),
    }
}

/// Answers with a server-sent-event stream fed by a task on the pool.
pub(crate) fn stream_answer<P: Send + Sync + 'static>(
    admitted: Admitted,
    stream: DecodeStream<P>,
) -> Response<ReplyBody> {
    let (sender, response) = reply::stream(StatusCode::OK, "text/event-stream");
    pool::spawn(relay_events(admitted, stream, sender));
    response
}

async fn relay_events<P>(admitted: Admitted, mut stream: DecodeStream<P>, sender: ChunkSender) {
    let started = Instant::now();
    let created = unix_seconds();
    let mut first = true;
    loop {
        match next_step(&mut stream.reader, &admitted, &stream.decode_server).await {
            Step::Token(text) => {
                if first {
                    metrics::histogram!("umberglade_ttft_seconds")
                        .record(started.elapsed().as_secs_f64());
                }
                let role = first.then(|| "assistant".to_owned());
                first = false;
                let chunk =
                    chunk(&admitted, created, ChatDelta { role, content: Some(text) }, None);
                if !reply::send_chunk(&sender, sse(&chunk)).await {
                    tracing::info!(event = events::CALLER_GONE, request_id = %admitted.request_id, "caller gone; cancelling");
                    return;
                }
            }
            Step::Done(tokens, finish_reason) => {
                let last = chunk(&admitted, created, ChatDelta::default(), Some(finish_reason));
                let whole = reply::send_chunk(&sender, sse(&last)).await
                    && reply::send_chunk(&sender, Bytes::from_static(b"data: [DONE]\n\n")).await;
                if whole {
                    stream.cancel.disarm();
                    completed(&admitted, tokens, started);
                }
                return;
            }
            Step::Broken(message) => {
                tracing::warn!(event = events::REQUEST_ABANDONED, request_id = %admitted.request_id, %message, "answer cut");
                let error =
                    serde_json::json!({ "error": { "message": message, "type": "answer_cut" } });
                let _ = reply::send_chunk(&sender, Bytes::from(format!("data: {error}\n\n"))).await;
                return;
            }
        }
    }
}

/// Gathers the whole answer, then answers once.
pub(crate) async fn whole_answer<P>(
    admitted: Admitted,
    mut stream: DecodeStream<P>,
) -> Response<ReplyBody> {
    let started = Instant::now();
    let mut text = String::new();
    loop {
        match next_step(&mut stream.reader, &admitted, &stream.decode_server).await {
            Step::Token(token) => text.push_str(&token),
            Step::Done(tokens, finish_reason) => {
                stream.cancel.disarm();
                completed(&admitted, tokens, started);
                return whole_reply(&admitted, text, tokens, finish_reason);
            }
            Step::Broken(message) => {
                tracing::warn!(event = events::REQUEST_ABANDONED, request_id = %admitted.request_id, %message, "answer cut");
                return refuse(StatusCode::BAD_GATEWAY, "answer_cut", &message, None);
            }
        }
    }
}

fn completed(admitted: &Admitted, tokens: u32, started: Instant) {
    tracing::info!(
        event = events::REQUEST_COMPLETED,
        request_id = %admitted.request_id,
        organisation = %admitted.organisation,
        tokens,
        decode_ms = started.elapsed().as_millis() as u64,
        "answer whole"
    );
    metrics::counter!("umberglade_completed_total", "priority" => admitted.priority.to_string())
        .increment(1);
}

fn whole_reply(
    admitted: &Admitted,
    text: String,
    tokens: u32,
    finish_reason: String,
) -> Response<ReplyBody> {
    let usage = Usage {
        prompt_tokens: admitted.shape.tokens,
        completion_tokens: tokens,
        total_tokens: admitted.shape.tokens + tokens,
    };
    if admitted.kind == Kind::Text {
        let body = serde_json::json!({
            "id": admitted.request_id,
            "object": "text_completion",
            "created": unix_seconds(),
            "model": admitted.model,
            "choices": [{ "index": 0, "text": text, "finish_reason": finish_reason }],
            "usage": usage,
        });
        return reply::json(StatusCode::OK, &body);
    }
    let completion = ChatCompletion {
        id: admitted.request_id.clone(),
        object: "chat.completion".into(),
        created: unix_seconds(),
        model: admitted.model.clone(),
        choices: vec![ChatChoice {
            index: 0,
            message: ChatMessage { role: "assistant".into(), content: text },
            finish_reason,
        }],
        usage,
    };
    reply::json(StatusCode::OK, &completion)
}

fn chunk(
    admitted: &Admitted,
    created: u64,
    delta: ChatDelta,
    finish_reason: Option<String>,
) -> ChatChunk {
    ChatChunk {
        id: admitted.request_id.clone(),
        object: "chat.completion.chunk".into(),
        created,
        model: admitted.model.clone(),
        choices: vec![ChunkChoice { index: 0, delta, finish_reason }],
    }
}

fn sse(chunk: &ChatChunk) -> Bytes {
    let json = serde_json::to_string(chunk).expect("serialising a chunk");
    Bytes::from(format!("data: {json}\n\n"))
}
