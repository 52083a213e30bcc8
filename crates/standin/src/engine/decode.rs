//! Decode on an engine stand-in: fetches the KV cache, then streams tokens at a rate that depends
//! on the size of the batch.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_lite::FutureExt;
use http::Method;
use http::Response;
use http::StatusCode;
use umberglade_wire::client::HttpClient;
use umberglade_wire::engine::DecodeEvent;
use umberglade_wire::engine::DecodeOrder;
use umberglade_wire::engine::EngineFaults;
use umberglade_wire::engine::EngineRole;
use umberglade_wire::pool;
use umberglade_wire::reply;
use umberglade_wire::reply::ChunkSender;
use umberglade_wire::reply::ReplyBody;

use super::EngineStandin;
use super::STALL_DURATION;
use super::SlotGuard;

/// How often a paused stream checks whether it was cancelled.
const PAUSE_STEP: Duration = Duration::from_millis(10);
/// The timeout for fetching a KV cache from a prefill server.
const KV_FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the text of token `index` of the response for `seed`, as tests expect callers to receive
/// it.
pub fn response_token(seed: u64, index: u32) -> String {
    let word =
        umberglade_wire::digest(&[seed.to_le_bytes(), u64::from(index).to_le_bytes()].concat());
    format!("w{:04x} ", word & 0xffff)
}

impl EngineStandin {
    pub(super) async fn decode(&self, order: DecodeOrder) -> Response<ReplyBody> {
        let admitted = self.admit(&order.request_id, order.fence, EngineRole::Decode);
        let (guard, cancelled) = match admitted {
            Ok(admitted) => admitted,
            Err(rejection) => return rejection,
        };
        let source = HttpClient::new(order.kv_source.clone(), KV_FETCH_TIMEOUT);
        let path = format!("/v1/kv/{}", order.kv_handle);
        let fetched = match source.send("fetch kv cache", Method::GET, &path, None).await {
            Ok(response) => source.read_full_body("fetch kv cache", response).await,
            Err(error) => Err(error),
        };
        if let Err(error) = fetched {
            return reply::rejection(StatusCode::BAD_GATEWAY, "kv_fetch", &error.to_string(), None);
        }
        let (sender, response) = reply::stream(StatusCode::OK, "application/x-ndjson");
        let engine = self.clone();
        pool::spawn(async move { engine.generate(order, sender, cancelled, guard).await });
        response
    }

    /// Generates tokens until the response is complete, the request is cancelled, the connection is
    /// closed or the deadline has passed. The deadline frees requests of a daemon that hangs or is
    /// disconnected: its socket stays open and accepts no more data, so nothing else would end the
    /// stream.
    async fn generate(
        &self,
        order: DecodeOrder,
        sender: ChunkSender,
        cancelled: Arc<AtomicBool>,
        _guard: SlotGuard,
    ) {
        let deadline = Instant::now() + Duration::from_millis(order.deadline_ms);
        self.stream_tokens(order, sender, cancelled)
            .or(async {
                smol::Timer::at(deadline).await;
            })
            .await;
    }

    async fn stream_tokens(
        &self,
        order: DecodeOrder,
        sender: ChunkSender,
        cancelled: Arc<AtomicBool>,
    ) {
        for index in order.resume_from..order.max_tokens {
            smol::Timer::after(self.step_time()).await;
            if cancelled.load(Ordering::Acquire) {
                return;
            }
            let faults = self.faults();
            let generated = index - order.resume_from;
            if faults.down || is_reached(faults.cut_after_tokens, generated) {
                return;
            }
            if is_reached(faults.silent_after_tokens, generated) {
                stay_silent(&sender, faults.ignores_hangup).await;
            }
            if generated == faults.pause_after_tokens && faults.pause_ms > 0 {
                pause(Duration::from_millis(faults.pause_ms), &cancelled).await;
            }
            if !send_token(&sender, &order, index, &faults).await && !faults.ignores_hangup {
                return;
            }
        }
        let done = DecodeEvent::Done {
            request_id: order.request_id,
            tokens: order.max_tokens,
            finish_reason: "length".into(),
        };
        if send_event(&sender, &done).await {
            self.shared.state.lock().expect("engine state lock").stats.decodes_done += 1;
        }
    }

    /// Returns the time of one decode step at the current batch size.
    fn step_time(&self) -> Duration {
        let running =
            self.shared.state.lock().expect("engine state lock").active_requests.len() as u32;
        let config = &self.shared.config;
        config.decode_per_token + config.decode_per_batched_request * running.saturating_sub(1)
    }
}

/// Waits for [`STALL_DURATION`], or until the connection is closed unless that is ignored.
async fn stay_silent(sender: &ChunkSender, ignores_hangup: bool) {
    let over = async {
        smol::Timer::after(STALL_DURATION).await;
    };
    let closed = async {
        if ignores_hangup {
            std::future::pending::<()>().await;
        }
        sender.closed().await;
    };
    over.or(closed).await;
}

/// Waits for `duration`, or until the request is cancelled.
async fn pause(duration: Duration, cancelled: &AtomicBool) {
    let end = Instant::now() + duration;
    while Instant::now() < end && !cancelled.load(Ordering::Acquire) {
        smol::Timer::after(PAUSE_STEP).await;
    }
}

fn is_reached(limit: u32, generated: u32) -> bool {
    limit > 0 && generated >= limit
}

/// Sends token `index`, with the crossed or duplicate lines that `faults` injects. Returns false
/// when the connection is closed.
async fn send_token(
    sender: &ChunkSender,
    order: &DecodeOrder,
    index: u32,
    faults: &EngineFaults,
) -> bool {
    let text = response_token(order.answer_seed, index);
    let event = DecodeEvent::Token { request_id: order.request_id.clone(), index, text };
    if faults.crossed_lines {
        let other = DecodeEvent::Token {
            request_id: format!("other-{}", order.request_id),
            index,
            text: "SOMEBODY-ELSES ".into(),
        };
        if !send_event(sender, &other).await {
            return false;
        }
    }
    if faults.duplicate_lines && !send_event(sender, &event).await {
        return false;
    }
    send_event(sender, &event).await
}

async fn send_event(sender: &ChunkSender, event: &DecodeEvent) -> bool {
    let mut line = serde_json::to_vec(event).expect("serialising an event");
    line.push(b'\n');
    reply::send_chunk(sender, Bytes::from(line)).await
}
