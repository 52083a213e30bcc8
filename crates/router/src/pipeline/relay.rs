//! Sends a response to its caller, as server-sent events or in one piece.

use std::time::SystemTime;

use futures_lite::FutureExt;
use http::Response;
use http::StatusCode;
use umberglade_wire::caller::ChatChoice;
use umberglade_wire::caller::ChatCompletion;
use umberglade_wire::caller::ChatMessage;
use umberglade_wire::caller::Usage;
use umberglade_wire::panics;
use umberglade_wire::pool;
use umberglade_wire::reply;
use umberglade_wire::reply::ChunkSender;
use umberglade_wire::reply::ReplyBody;

use super::AdmittedRequest;
use super::event_writer::EventWriter;
use super::event_writer::error_event;
use super::response_feed::FeedStep;
use super::response_feed::ResponseFeed;
use crate::events;
use crate::front::CompletionKind;
use crate::front::RETRY_AFTER_S;
use crate::front::reject;
use crate::placement::Placement;

/// Returns a stream of server-sent events, fed by a task on the pool.
pub(crate) fn stream_response<P: Placement>(feed: ResponseFeed<P>) -> Response<ReplyBody> {
    let (sender, response) = reply::stream(StatusCode::OK, "text/event-stream");
    pool::spawn(async move {
        let request_id = feed.admitted().request_id.clone();
        // Prevents engines from holding memory for a caller that disconnects while no token is
        // due (a stalled server, a wait for capacity). No write fails then, but the receiver of
        // the body is dropped.
        let disconnected = async {
            sender.closed().await;
            false
        };
        if !relay_or_break(feed, &sender).or(disconnected).await {
            tracing::info!(event = events::CALLER_DISCONNECTED, %request_id, "caller disconnected; cancelling the request");
        }
    });
    response
}

/// Relays events like [`relay_events`]. After a panic the caller gets the event of a truncated
/// response: the body would otherwise end as if it were complete.
async fn relay_or_break<P: Placement>(feed: ResponseFeed<P>, sender: &ChunkSender) -> bool {
    let request_id = feed.admitted().request_id.clone();
    match panics::catch(relay_events(feed, sender)).await {
        Ok(is_connected) => is_connected,
        Err(problem) => {
            tracing::error!(event = events::RELAY_PANICKED, %request_id, problem, "relaying a response panicked");
            reply::send_chunk(sender, error_event("an internal error")).await
        }
    }
}

/// Relays events until the response ends; returns false when the caller has disconnected.
async fn relay_events<P: Placement>(mut feed: ResponseFeed<P>, sender: &ChunkSender) -> bool {
    let mut writer = EventWriter::new(feed.admitted(), unix_seconds());
    let mut is_first = true;
    loop {
        match feed.next().await {
            FeedStep::Token(text) => {
                writer.token(&text);
                // All buffered tokens go into one write, so the number of writes and wake-ups
                // depends on the rate of reads, not of tokens.
                while let Some(text) = feed.next_buffered() {
                    writer.token(&text);
                }
                if is_first {
                    feed.record_first_token();
                    is_first = false;
                }
                if !reply::send_chunk(sender, writer.take()).await {
                    return false;
                }
            }
            FeedStep::Done { tokens, finish_reason } => {
                writer.finish(&finish_reason);
                let is_sent = reply::send_chunk(sender, writer.take()).await;
                if is_sent {
                    feed.mark_completed(tokens);
                }
                return is_sent;
            }
            FeedStep::Truncated(message) => {
                writer.truncated(&message);
                return reply::send_chunk(sender, writer.take()).await;
            }
        }
    }
}

/// Collects all tokens and returns the response in one piece.
pub(crate) async fn collect_response<P: Placement>(
    mut feed: ResponseFeed<P>,
) -> Response<ReplyBody> {
    let mut text = String::new();
    loop {
        match feed.next().await {
            FeedStep::Token(token) => text.push_str(&token),
            FeedStep::Done { tokens, finish_reason } => {
                feed.mark_completed(tokens);
                return completion_reply(feed.admitted(), text, tokens, finish_reason);
            }
            FeedStep::Truncated(message) => {
                return reject(
                    StatusCode::BAD_GATEWAY,
                    "answer_cut",
                    &message,
                    Some(RETRY_AFTER_S),
                );
            }
        }
    }
}

fn completion_reply(
    admitted: &AdmittedRequest,
    text: String,
    tokens: u32,
    finish_reason: String,
) -> Response<ReplyBody> {
    let usage = Usage {
        prompt_tokens: admitted.shape.tokens,
        completion_tokens: tokens,
        total_tokens: admitted.shape.tokens + tokens,
    };
    if admitted.kind == CompletionKind::Text {
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

/// Returns the seconds since the Unix epoch, for the `created` field of responses.
fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |since| since.as_secs())
}
