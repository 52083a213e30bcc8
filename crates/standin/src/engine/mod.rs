//! The engine stand-in: a prefill or decode server of the engine protocol
//! ([`umberglade_wire::engine`]).
//!
//! It admits at most `slots` requests at once. Prefill takes a fixed time per prompt token that is
//! not in the prefix cache. Exported KV caches are evicted when they are not fetched in time.
//! Tokens are streamed at a rate that depends on the size of the batch. Load reports are out of
//! date. Cancel and engine orders are executed, and old fencing tokens are rejected if so
//! configured.

mod config;
mod decode;
mod orders;
mod prefill;
mod prefix_cache;
mod state;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use event_listener::Event;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use umberglade_wire::client::HttpClient;
use umberglade_wire::engine::CancelOrder;
use umberglade_wire::engine::CancelReply;
use umberglade_wire::engine::EngineFaults;
use umberglade_wire::engine::EngineRole;
use umberglade_wire::engine::LOAD_HEADER;
use umberglade_wire::engine::LoadReport;
use umberglade_wire::engine::LoadSample;
use umberglade_wire::ids::Fence;
use umberglade_wire::ids::RequestId;
use umberglade_wire::platform::InstanceEntry;
use umberglade_wire::platform::InstanceState;
use umberglade_wire::pool;
use umberglade_wire::reply;
use umberglade_wire::reply::ReplyBody;
use umberglade_wire::server::RequestHandler;
use umberglade_wire::server::parse_or_reject;
use umberglade_wire::server::read_body_or_reject;

pub use self::config::DEFAULT_SLOTS;
pub use self::config::EngineConfig;
pub use self::decode::response_token;
use self::state::ActiveRequest;
use self::state::EngineState;

/// The `Retry-After` of rejections, in seconds.
const RETRY_AFTER_S: u64 = 1;
/// How long an injected stall lasts: longer than any timeout of a daemon.
const STALL_DURATION: Duration = Duration::from_secs(60);
/// The timeout for registering in the instance list of the platform.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(2);

/// An engine stand-in. Clones share the same state.
#[derive(Debug, Clone)]
pub struct EngineStandin {
    shared: Arc<EngineShared>,
}

#[derive(Debug)]
struct EngineShared {
    config: EngineConfig,
    started_at: Instant,
    /// The address on which it listens, once known.
    addr: OnceLock<SocketAddr>,
    /// Lock order: `state` before `load`.
    state: Mutex<EngineState>,
    /// The last load report and when it was taken. It is refreshed only after `load_lag`, so that
    /// readers get figures that are out of date, as from real engines.
    load: Mutex<Option<(Instant, LoadReport)>>,
    /// Notified when the prefill queue changes.
    prefill_queue_changed: Event,
    /// Held during a KV cache transfer, so that transfers run one after another.
    link: smol::lock::Mutex<()>,
}

/// Removes its request from the active requests when dropped, so that the memory of the request is
/// freed whether its worker completes or fails, or its caller disconnects.
struct SlotGuard {
    shared: Arc<EngineShared>,
    request_id: RequestId,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let mut state = self.shared.state.lock().expect("engine state lock");
        state.active_requests.remove(&self.request_id);
    }
}

impl EngineStandin {
    /// Creates a stand-in with `config` and without requests.
    pub fn new(config: EngineConfig) -> Self {
        let shared = EngineShared {
            state: Mutex::new(EngineState::new(&config)),
            config,
            started_at: Instant::now(),
            addr: OnceLock::new(),
            load: Mutex::new(None),
            prefill_queue_changed: Event::new(),
            link: smol::lock::Mutex::new(()),
        };
        EngineStandin { shared: Arc::new(shared) }
    }

    /// Sets the address on which the stand-in listens, for the instance list.
    pub fn set_listen_addr(&self, addr: SocketAddr) {
        let _ = self.shared.addr.set(addr);
    }

    /// Registers the engine with its current role and model in the platform's instance list. Does
    /// nothing when no platform is configured or the listen address is unknown.
    pub async fn register(&self, instance_state: InstanceState) {
        let config = &self.shared.config;
        let (Some(platform), Some(addr)) = (&config.register_with, self.shared.addr.get()) else {
            return;
        };
        let (role, model) = {
            let state = self.shared.state.lock().expect("engine state lock");
            (state.role, state.model.clone())
        };
        let entry = InstanceEntry {
            server: config.server.clone(),
            addr: addr.to_string(),
            role,
            model,
            domain: config.domain.clone(),
            region: config.region.clone(),
            state: instance_state,
        };
        register(platform, &entry).await;
    }

    /// Rejects new work from now on and waits until no request is in flight, so that a planned stop
    /// does not interrupt requests.
    ///
    /// Without the rejection, a stop might never end or might interrupt a request: under load there
    /// is seldom a moment without work, and a request may arrive between such a moment and the end
    /// of the process.
    pub async fn drain(&self) {
        self.shared.state.lock().expect("engine state lock").leaving = true;
        while !self.shared.state.lock().expect("engine state lock").active_requests.is_empty() {
            smol::Timer::after(Duration::from_millis(20)).await;
        }
    }

    /// Returns the settings of this stand-in.
    pub fn config(&self) -> &EngineConfig {
        &self.shared.config
    }

    /// Replaces the injected faults by `faults`.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.state.lock().expect("engine state lock").faults = faults;
    }

    fn faults(&self) -> EngineFaults {
        self.shared.state.lock().expect("engine state lock").faults.clone()
    }

    async fn route(
        &self,
        method: &Method,
        path: &str,
        query: &str,
        body: Bytes,
    ) -> Result<Response<ReplyBody>, Response<ReplyBody>> {
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        let response = match (method, segments.as_slice()) {
            (&Method::POST, ["v1", "prefill"]) => self.prefill(parse_or_reject(&body)?).await,
            (&Method::POST, ["v1", "decode"]) => self.decode(parse_or_reject(&body)?).await,
            (&Method::POST, ["v1", "cancel"]) => self.cancel(parse_or_reject(&body)?),
            (&Method::POST, ["v1", "order"]) => self.order(parse_or_reject(&body)?).await,
            (&Method::POST, ["v1", "faults"]) => {
                let faults: EngineFaults = parse_or_reject(&body)?;
                self.set_faults(faults.clone());
                reply::json(StatusCode::OK, &faults)
            }
            (&Method::GET, ["v1", "kv", handle]) => self.fetch_kv(handle).await,
            (&Method::GET, ["v1", "load"]) => reply::json(StatusCode::OK, &self.load()),
            (&Method::GET, ["v1", "report"]) => reply::json(StatusCode::OK, &self.report()),
            (&Method::GET, ["v1", "cache-events"]) => self.cache_events(query),
            (&Method::GET, ["v1", "stats"]) => {
                let mut state = self.shared.state.lock().expect("engine state lock");
                state.evict_expired_exports(Instant::now());
                reply::json(StatusCode::OK, &state.current_stats())
            }
            _ => reply::rejection(StatusCode::NOT_FOUND, "not_found", "no such route", None),
        };
        Ok(response)
    }

    /// Routes a request like [`EngineStandin::route`], but in a task of its own that continues when
    /// this future is dropped.
    async fn route_detached(
        &self,
        method: &Method,
        path: &str,
        query: &str,
        body: Bytes,
    ) -> Result<Response<ReplyBody>, Response<ReplyBody>> {
        let (sender, receiver) = async_channel::bounded(1);
        let engine = self.clone();
        let (method, path, query) = (method.clone(), path.to_owned(), query.to_owned());
        pool::spawn(async move {
            let _ = sender.send(engine.route(&method, &path, &query, body).await).await;
        });
        receiver.recv().await.expect("the detached route always sends a response")
    }

    /// Admits `request_id` if this engine serves `role`, a slot is free and `fence` is not stale.
    /// Returns the guard that frees the slot and the flag that a cancel sets, or the rejection.
    fn admit(
        &self,
        request_id: &RequestId,
        fence: Fence,
        role: EngineRole,
    ) -> Result<(SlotGuard, Arc<AtomicBool>), Response<ReplyBody>> {
        let mut state = self.shared.state.lock().expect("engine state lock");
        state.evict_expired_exports(Instant::now());
        if fence < state.highest_fence && self.shared.config.checks_fence {
            state.stats.fenced_off += 1;
            let message = format!("fence {fence} is older than {}", state.highest_fence);
            return Err(reply::rejection(StatusCode::CONFLICT, "stale_fence", &message, None));
        }
        if state.role != role {
            let message = format!("this server's role is {}", state.role);
            return Err(reply::rejection(
                StatusCode::MISDIRECTED_REQUEST,
                "wrong_role",
                &message,
                None,
            ));
        }
        state.highest_fence = state.highest_fence.max(fence);
        let is_full = state.active_requests.len() as u32 >= self.shared.config.slots;
        if state.busy || state.leaving || state.faults.down || is_full {
            return Err(reply::rejection(
                StatusCode::SERVICE_UNAVAILABLE,
                "engine_full",
                "no free slot",
                Some(RETRY_AFTER_S),
            ));
        }
        if state.active_requests.contains_key(request_id) {
            return Err(reply::rejection(
                StatusCode::CONFLICT,
                "duplicate",
                "request already held",
                None,
            ));
        }
        let cancelled = Arc::new(AtomicBool::new(false));
        state
            .active_requests
            .insert(request_id.clone(), ActiveRequest { cancelled: cancelled.clone() });
        let guard = SlotGuard { shared: self.shared.clone(), request_id: request_id.clone() };
        Ok((guard, cancelled))
    }

    fn cancel(&self, order: CancelOrder) -> Response<ReplyBody> {
        let mut state = self.shared.state.lock().expect("engine state lock");
        let request = state.active_requests.get(&order.request_id);
        if let Some(request) = request {
            request.cancelled.store(true, Ordering::Release);
        }
        let freed = request.is_some();
        let export = state.exports.iter().find(|(_, export)| export.request_id == order.request_id);
        let export = export.map(|(handle, _)| *handle);
        if let Some(removed) = export.and_then(|handle| state.exports.remove(&handle)) {
            state.stats.wasted_tokens += u64::from(removed.computed_tokens);
        }
        state.stats.cancels += 1;
        reply::json(StatusCode::OK, &CancelReply { freed: freed || export.is_some() })
    }

    fn cache_events(&self, query: &str) -> Response<ReplyBody> {
        let since = query.strip_prefix("since=").and_then(|text| text.parse().ok()).unwrap_or(0);
        let state = self.shared.state.lock().expect("engine state lock");
        reply::json(StatusCode::OK, &state.cache.events_since(since, Instant::now()))
    }

    fn load(&self) -> LoadReport {
        let now = Instant::now();
        let state = self.shared.state.lock().expect("engine state lock");
        let mut load = self.shared.load.lock().expect("engine load lock");
        if let Some((taken_at, report)) = load.as_ref()
            && now.duration_since(*taken_at) < self.shared.config.load_lag
        {
            return report.clone();
        }
        let report = LoadReport {
            server: self.shared.config.server.clone(),
            role: state.role,
            running: state.active_requests.len() as u32,
            waiting: 0,
            slots: self.shared.config.slots,
            queued_tokens: state.queued_tokens,
            taken_at_ms: now.duration_since(self.shared.started_at).as_millis() as u64,
        };
        *load = Some((now, report.clone()));
        report
    }
}

impl RequestHandler for EngineStandin {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<ReplyBody> {
        let (parts, body) = request.into_parts();
        let body = match read_body_or_reject(&parts, body).await {
            Ok(body) => body,
            Err(rejection) => return rejection,
        };
        let query = parts.uri.query().unwrap_or_default();
        let (method, path) = (&parts.method, parts.uri.path());
        let routed = if self.faults().ignores_hangup {
            self.route_detached(method, path, query, body).await
        } else {
            self.route(method, path, query, body).await
        };
        let mut response = routed.unwrap_or_else(|rejection| rejection);
        let sample = LoadSample::from(&self.load()).to_string();
        if let Ok(value) = HeaderValue::from_str(&sample) {
            response.headers_mut().insert(LOAD_HEADER, value);
        }
        response
    }
}

/// Registers `entry` in the instance list of the platform at the address `platform`.
pub async fn register(platform: &str, entry: &InstanceEntry) {
    let client = HttpClient::new(platform, REGISTER_TIMEOUT);
    let path = format!("/v1/instances/{}", entry.server);
    let sent =
        client.call::<_, InstanceEntry>("register instance", Method::PUT, &path, Some(entry)).await;
    if let Err(error) = sent {
        tracing::error!(%error, server = %entry.server, "could not register with the platform");
    }
}
