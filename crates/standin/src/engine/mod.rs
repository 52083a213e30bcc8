//! The engine stand-in: a prefill or decode server of the engine protocol
//! ([`umberglade_wire::engine`]).
//!
//! It holds at most `slots` requests, computes prefill at a cost per
//! token less what its prefix cache already has, exports KV caches that
//! are evicted if not fetched in time, streams tokens at a fixed pace,
//! obeys cancels, reports its load late, and refuses old fencing numbers
//! when so configured.

mod config;
mod state;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use umberglade_wire::client::HttpClient;
use umberglade_wire::engine::CancelOrder;
use umberglade_wire::engine::CancelReply;
use umberglade_wire::engine::DecodeEvent;
use umberglade_wire::engine::DecodeOrder;
use umberglade_wire::engine::LoadReport;
use umberglade_wire::engine::PrefillOrder;
use umberglade_wire::engine::PrefillReply;
use umberglade_wire::ids::Fence;
use umberglade_wire::ids::RequestId;
use umberglade_wire::pool;
use umberglade_wire::reply;
use umberglade_wire::reply::ChunkSender;
use umberglade_wire::reply::ReplyBody;
use umberglade_wire::server::RequestHandler;
use umberglade_wire::server::read_body;

pub use self::config::DEFAULT_SLOTS;
pub use self::config::EngineConfig;
use self::state::EngineState;
use self::state::HeldRequest;
use self::state::KvExport;

/// Seconds a refused caller is told to wait.
const RETRY_AFTER_S: u64 = 1;
/// Prefill works in slices this long, checking for a cancel between them.
const PREFILL_SLICE: Duration = Duration::from_millis(5);
/// Timeout for fetching a KV cache from a prefill server.
const KV_FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// The text of token `index` of the answer for `seed`: what a test
/// expects a caller to receive.
pub fn answer_token(seed: u64, index: u32) -> String {
    let word =
        umberglade_wire::digest(&[seed.to_le_bytes(), u64::from(index).to_le_bytes()].concat());
    format!("w{:04x} ", word & 0xffff)
}

/// An engine stand-in; cheap to clone, all clones share one state.
#[derive(Debug, Clone)]
pub struct EngineStandin {
    shared: Arc<EngineShared>,
}

#[derive(Debug)]
struct EngineShared {
    config: EngineConfig,
    started: Instant,
    /// Lock order: `state` before `load`; never the other way.
    state: Mutex<EngineState>,
    /// The last load report and when it was taken; refreshed only after
    /// `load_lag`, so readers see old figures as real engines give them.
    load: Mutex<Option<(Instant, LoadReport)>>,
    /// Prefill computes one prompt at a time.
    prefill_gate: smol::lock::Semaphore,
}

/// Removes its request from the held table when dropped, whether the
/// worker finished, failed or its caller went away: the memory a request
/// holds is freed on every path out of its worker.
struct HeldGuard {
    shared: Arc<EngineShared>,
    request_id: RequestId,
}

impl Drop for HeldGuard {
    fn drop(&mut self) {
        let mut state = self.shared.state.lock().expect("engine state lock");
        state.held.remove(&self.request_id);
    }
}

impl EngineStandin {
    /// A stand-in with `config`, holding nothing yet.
    pub fn new(config: EngineConfig) -> Self {
        let shared = EngineShared {
            config,
            started: Instant::now(),
            state: Mutex::new(EngineState::default()),
            load: Mutex::new(None),
            prefill_gate: smol::lock::Semaphore::new(1),
        };
        EngineStandin { shared: Arc::new(shared) }
    }

    /// Waits until the engine holds no request (a planned stop cuts
    /// nothing in flight).
    pub async fn drained(&self) {
        loop {
            let held = self.shared.state.lock().expect("engine state lock").held.len();
            if held == 0 {
                return;
            }
            smol::Timer::after(Duration::from_millis(20)).await;
        }
    }

    /// This stand-in's settings.
    pub fn config(&self) -> &EngineConfig {
        &self.shared.config
    }

    async fn route(&self, method: &Method, path: &str, body: Bytes) -> Response<ReplyBody> {
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (method, segments.as_slice()) {
            (&Method::POST, ["v1", "prefill"]) => match decode(&body) {
                Ok(order) => self.prefill(order).await,
                Err(response) => response,
            },
            (&Method::POST, ["v1", "decode"]) => match decode(&body) {
                Ok(order) => self.decode(order).await,
                Err(response) => response,
            },
            (&Method::POST, ["v1", "cancel"]) => match decode(&body) {
                Ok(order) => self.cancel(order),
                Err(response) => response,
            },
            (&Method::GET, ["v1", "kv", handle]) => self.fetch_kv(handle).await,
            (&Method::GET, ["v1", "load"]) => reply::json(StatusCode::OK, &self.load()),
            (&Method::GET, ["v1", "stats"]) => {
                let mut state = self.shared.state.lock().expect("engine state lock");
                state.sweep(Instant::now());
                reply::json(StatusCode::OK, &state.snapshot())
            }
            _ => reply::refusal(StatusCode::NOT_FOUND, "not_found", "no such route", None),
        }
    }

    /// Admits `request_id` if a slot is free and `fence` is not stale;
    /// returns the guard that frees it, or the refusal.
    fn admit(
        &self,
        request_id: &RequestId,
        fence: Fence,
    ) -> Result<(HeldGuard, Arc<AtomicBool>), Response<ReplyBody>> {
        let mut state = self.shared.state.lock().expect("engine state lock");
        state.sweep(Instant::now());
        if fence < state.highest_fence && self.shared.config.checks_fence {
            state.stats.fenced_off += 1;
            let message = format!("fence {fence} is older than {}", state.highest_fence);
            return Err(reply::refusal(StatusCode::CONFLICT, "stale_fence", &message, None));
        }
        state.highest_fence = state.highest_fence.max(fence);
        if state.held.len() as u32 >= self.shared.config.slots {
            return Err(reply::refusal(
                StatusCode::SERVICE_UNAVAILABLE,
                "engine_full",
                "no free slot",
                Some(RETRY_AFTER_S),
            ));
        }
        if state.held.contains_key(request_id) {
            return Err(reply::refusal(
                StatusCode::CONFLICT,
                "duplicate",
                "request already held",
                None,
            ));
        }
        let cancelled = Arc::new(AtomicBool::new(false));
        state.held.insert(request_id.clone(), HeldRequest { cancelled: cancelled.clone() });
        let guard = HeldGuard { shared: self.shared.clone(), request_id: request_id.clone() };
        Ok((guard, cancelled))
    }

    async fn prefill(&self, order: PrefillOrder) -> Response<ReplyBody> {
        let (_guard, cancelled) = match self.admit(&order.request_id, order.fence) {
            Ok(admitted) => admitted,
            Err(refusal) => return refusal,
        };
        let _permit = self.shared.prefill_gate.acquire().await;
        let cached_tokens = self.cached_prefix(&order);
        let computed_tokens = order.prompt_tokens - cached_tokens;
        let mut remaining = self.shared.config.prefill_per_token * computed_tokens;
        while !remaining.is_zero() {
            if cancelled.load(Ordering::Acquire) {
                self.count_waste(computed_tokens);
                return reply::refusal(StatusCode::GONE, "cancelled", "prefill cancelled", None);
            }
            let slice = remaining.min(PREFILL_SLICE);
            smol::Timer::after(slice).await;
            remaining -= slice;
        }
        let reply = self.export(&order, computed_tokens, cached_tokens);
        reply::json(StatusCode::OK, &reply)
    }

    fn cached_prefix(&self, order: &PrefillOrder) -> u32 {
        let state = self.shared.state.lock().expect("engine state lock");
        let fresh = order.prefix_hash != 0
            && state.prefixes.get(&order.prefix_hash).is_some_and(|until| *until > Instant::now());
        if fresh { order.prefix_tokens.min(order.prompt_tokens) } else { 0 }
    }

    fn count_waste(&self, tokens: u32) {
        let mut state = self.shared.state.lock().expect("engine state lock");
        state.stats.computed_tokens += u64::from(tokens);
        state.stats.wasted_tokens += u64::from(tokens);
    }

    fn export(
        &self,
        order: &PrefillOrder,
        computed_tokens: u32,
        cached_tokens: u32,
    ) -> PrefillReply {
        let config = &self.shared.config;
        let now = Instant::now();
        let mut state = self.shared.state.lock().expect("engine state lock");
        if order.prefix_hash != 0 {
            state.prefixes.insert(order.prefix_hash, now + config.prefix_keep);
        }
        state.next_handle += 1;
        let kv_handle = state.next_handle;
        let kv_bytes = u64::from(order.prompt_tokens) * config.kv_bytes_per_token;
        let expires = now + Duration::from_millis(order.keep_ms);
        let export = KvExport {
            request_id: order.request_id.clone(),
            computed_tokens,
            bytes: kv_bytes,
            expires,
        };
        state.exports.insert(kv_handle, export);
        state.stats.prefills_done += 1;
        state.stats.computed_tokens += u64::from(computed_tokens);
        PrefillReply {
            request_id: order.request_id.clone(),
            kv_handle,
            computed_tokens,
            cached_tokens,
            kv_bytes,
        }
    }

    async fn fetch_kv(&self, handle: &str) -> Response<ReplyBody> {
        let export = {
            let mut state = self.shared.state.lock().expect("engine state lock");
            state.sweep(Instant::now());
            handle.parse().ok().and_then(|handle| state.exports.remove(&handle))
        };
        let Some(export) = export else {
            return reply::refusal(
                StatusCode::GONE,
                "evicted",
                "no such KV cache (evicted or fetched)",
                None,
            );
        };
        let rate = self.shared.config.link_bytes_per_second.max(1);
        smol::Timer::after(Duration::from_secs_f64(export.bytes as f64 / rate as f64)).await;
        reply::whole(
            StatusCode::OK,
            "application/octet-stream",
            Bytes::from(vec![0u8; export.bytes as usize]),
        )
    }

    async fn decode(&self, order: DecodeOrder) -> Response<ReplyBody> {
        let (guard, cancelled) = match self.admit(&order.request_id, order.fence) {
            Ok(admitted) => admitted,
            Err(refusal) => return refusal,
        };
        let source = HttpClient::new(order.kv_source.clone(), KV_FETCH_TIMEOUT);
        let path = format!("/v1/kv/{}", order.kv_handle);
        let fetched = match source.send("fetch kv cache", Method::GET, &path, None).await {
            Ok(response) => source.read_whole("fetch kv cache", response).await,
            Err(error) => Err(error),
        };
        if let Err(error) = fetched {
            return reply::refusal(StatusCode::BAD_GATEWAY, "kv_fetch", &error.to_string(), None);
        }
        let (sender, response) = reply::stream(StatusCode::OK, "application/x-ndjson");
        let engine = self.clone();
        pool::spawn(async move { engine.generate(order, sender, cancelled, guard).await });
        response
    }

    async fn generate(
        &self,
        order: DecodeOrder,
        sender: ChunkSender,
        cancelled: Arc<AtomicBool>,
        _guard: HeldGuard,
    ) {
        let request_id = order.request_id.clone();
        for index in 0..order.max_tokens {
            smol::Timer::after(self.shared.config.decode_per_token).await;
            if cancelled.load(Ordering::Acquire) {
                return;
            }
            let text = answer_token(order.answer_seed, index);
            let event = DecodeEvent::Token { request_id: request_id.clone(), index, text };
            if !send_event(&sender, &event).await {
                return;
            }
        }
        let done = DecodeEvent::Done {
            request_id,
            tokens: order.max_tokens,
            finish_reason: "length".into(),
        };
        if send_event(&sender, &done).await {
            self.shared.state.lock().expect("engine state lock").stats.decodes_done += 1;
        }
    }

    fn cancel(&self, order: CancelOrder) -> Response<ReplyBody> {
        let mut state = self.shared.state.lock().expect("engine state lock");
        let freed = match state.held.get(&order.request_id) {
            Some(held) => {
                held.cancelled.store(true, Ordering::Release);
                true
            }
            None => false,
        };
        let export = state.exports.iter().find(|(_, export)| export.request_id == order.request_id);
        let export = export.map(|(handle, _)| *handle);
        if let Some(removed) = export.and_then(|handle| state.exports.remove(&handle)) {
            state.stats.wasted_tokens += u64::from(removed.computed_tokens);
        }
        state.stats.cancels += 1;
        reply::json(StatusCode::OK, &CancelReply { freed: freed || export.is_some() })
    }

    fn load(&self) -> LoadReport {
        let now = Instant::now();
        let state = self.shared.state.lock().expect("engine state lock");
        let mut load = self.shared.load.lock().expect("engine load lock");
        if let Some((taken, report)) = load.as_ref()
            && now.duration_since(*taken) < self.shared.config.load_lag
        {
            return report.clone();
        }
        let report = LoadReport {
            server: self.shared.config.server.clone(),
            role: self.shared.config.role,
            running: state.held.len() as u32,
            waiting: 0,
            slots: self.shared.config.slots,
            taken_at_ms: now.duration_since(self.shared.started).as_millis() as u64,
        };
        *load = Some((now, report.clone()));
        report
    }
}

impl RequestHandler for EngineStandin {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<ReplyBody> {
        let (parts, body) = request.into_parts();
        match read_body(body).await {
            Ok(body) => self.route(&parts.method, parts.uri.path(), body).await,
            Err(message) => reply::refusal(StatusCode::BAD_REQUEST, "bad_request", &message, None),
        }
    }
}

async fn send_event(sender: &ChunkSender, event: &DecodeEvent) -> bool {
    let mut line = serde_json::to_vec(event).expect("serialising an event");
    line.push(b'\n');
    reply::send_chunk(sender, Bytes::from(line)).await
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Response<ReplyBody>> {
    serde_json::from_slice(body).map_err(|error| {
        reply::refusal(StatusCode::BAD_REQUEST, "bad_request", &error.to_string(), None)
    })
}
