//! The daemon's HTTP front: callers' completions, the balancer's health
//! check, status and metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use hyper::body::Incoming;
use metrics_exporter_prometheus::PrometheusHandle;
use serde::Serialize;
use umberglade_wire::caller::ChatRequest;
use umberglade_wire::caller::CompletionRequest;
use umberglade_wire::engine::Priority;
use umberglade_wire::ids::OrganisationId;
use umberglade_wire::reply;
use umberglade_wire::reply::ReplyBody;
use umberglade_wire::server::RequestHandler;
use umberglade_wire::server::read_body;

use crate::control::ControlState;
use crate::events;
use crate::pipeline::Admitted;
use crate::placement::Placement;
use crate::prompt;
use crate::prompt::PromptShape;
use crate::settings::DaemonSettings;

/// Seconds a caller refused for want of a preset or capacity is told to
/// wait before coming back.
pub const RETRY_AFTER_S: u64 = 1;
/// How long a stop waits at most for requests in flight to finish.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(60);

/// The daemon; cheap to clone, all clones share one state.
#[derive(Debug)]
pub struct Daemon<P> {
    pub(crate) shared: Arc<DaemonShared<P>>,
}

impl<P> Clone for Daemon<P> {
    fn clone(&self) -> Self {
        Daemon { shared: Arc::clone(&self.shared) }
    }
}

#[derive(Debug)]
pub(crate) struct DaemonShared<P> {
    pub(crate) settings: DaemonSettings,
    pub(crate) control: Arc<ControlState>,
    pub(crate) placement: P,
    metrics: Option<PrometheusHandle>,
    /// Requests admitted and not yet answered in full.
    pub(crate) in_flight: AtomicU32,
    next_sequence: AtomicU64,
    /// Set when a graceful stop begins; new work is refused from then on.
    draining: AtomicBool,
}

/// Counts one request in the daemon's in-flight total until dropped.
#[derive(Debug)]
pub struct AdmissionGuard<P> {
    daemon: Daemon<P>,
}

impl<P> Drop for AdmissionGuard<P> {
    fn drop(&mut self) {
        self.daemon.shared.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// What `GET /v1/status` answers.
#[derive(Debug, Serialize)]
pub struct DaemonStatus {
    pub daemon: String,
    pub domain: String,
    pub preset: String,
    pub fence: u64,
    /// When this daemon took `fence` into force, in ms since the Unix epoch.
    pub fence_applied_unix_ms: Option<u64>,
    /// Seconds since the platform last answered every read; `None` if never.
    pub platform_sync_age_s: Option<f64>,
    pub in_flight: u32,
    pub draining: bool,
    pub servers: Vec<ServerStatus>,
}

/// One backend server in [`DaemonStatus`].
#[derive(Debug, Serialize)]
pub struct ServerStatus {
    pub server: String,
    pub role: String,
    pub model: String,
    pub state: String,
    pub drained: bool,
    pub in_flight: u32,
}

impl<P: Placement> Daemon<P> {
    /// A daemon with `settings`, following `control`, placing by
    /// `placement`, rendering `metrics` at `/metrics` when given.
    pub fn new(
        settings: DaemonSettings,
        control: Arc<ControlState>,
        placement: P,
        metrics: Option<PrometheusHandle>,
    ) -> Self {
        let shared = DaemonShared {
            settings,
            control,
            placement,
            metrics,
            in_flight: AtomicU32::new(0),
            next_sequence: AtomicU64::new(0),
            draining: AtomicBool::new(false),
        };
        Daemon { shared: Arc::new(shared) }
    }

    /// Begins a graceful stop: the health check fails and new requests are
    /// refused with `Retry-After`; requests in flight go on.
    pub fn begin_drain(&self) {
        self.shared.draining.store(true, Ordering::Release);
        tracing::info!(
            event = events::DAEMON_DRAINING,
            in_flight = self.in_flight(),
            "graceful stop begun"
        );
    }

    /// Requests in flight now.
    pub fn in_flight(&self) -> u32 {
        self.shared.in_flight.load(Ordering::Acquire)
    }

    /// Waits until nothing is in flight or `limit` has passed; true when
    /// all finished.
    pub async fn drained(&self, limit: Duration) -> bool {
        let deadline = std::time::Instant::now() + limit;
        while self.in_flight() > 0 {
            if std::time::Instant::now() >= deadline {
                return false;
            }
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        true
    }

    async fn route(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, "/v1/chat/completions") => self.completion(request, Kind::Chat).await,
            (&Method::POST, "/v1/completions") => self.completion(request, Kind::Text).await,
            (&Method::POST, path) if path.starts_with("/v1/services/") => {
                self.service(request).await
            }
            (&Method::GET, "/healthz") => self.health(),
            (&Method::GET, "/v1/status") => reply::json(StatusCode::OK, &self.status()),
            (&Method::GET, "/metrics") => self.metrics(),
            _ => reply::refusal(StatusCode::NOT_FOUND, "not_found", "no such route", None),
        }
    }

    fn health(&self) -> Response<ReplyBody> {
        if self.shared.draining.load(Ordering::Acquire) {
            return reply::whole(
                StatusCode::SERVICE_UNAVAILABLE,
                "text/plain",
                Bytes::from_static(b"draining\n"),
            );
        }
        reply::whole(StatusCode::OK, "text/plain", Bytes::from_static(b"ok\n"))
    }

    fn metrics(&self) -> Response<ReplyBody> {
        let text = self.shared.metrics.as_ref().map(PrometheusHandle::render).unwrap_or_default();
        reply::whole(StatusCode::OK, "text/plain; version=0.0.4", Bytes::from(text))
    }

    /// What this daemon has in force, for operators and tests.
    pub fn status(&self) -> DaemonStatus {
        let snapshot = self.shared.control.current();
        let servers = snapshot
            .servers
            .iter()
            .map(|slot| ServerStatus {
                server: slot.entry.server.clone(),
                role: slot.entry.role.to_string(),
                model: slot.entry.model.clone(),
                state: slot.entry.state.to_string(),
                drained: snapshot.drained.contains(&slot.entry.server),
                in_flight: slot.in_flight(),
            })
            .collect();
        DaemonStatus {
            daemon: self.shared.settings.daemon_id.clone(),
            domain: self.shared.settings.domain.clone(),
            preset: snapshot.preset_name.clone(),
            fence: snapshot.fence,
            fence_applied_unix_ms: snapshot
                .fence_applied_at
                .and_then(|at| at.duration_since(std::time::UNIX_EPOCH).ok())
                .map(|since| since.as_millis() as u64),
            platform_sync_age_s: snapshot.last_sync.map(|at| at.elapsed().as_secs_f64()),
            in_flight: self.in_flight(),
            draining: self.shared.draining.load(Ordering::Acquire),
            servers,
        }
    }

    async fn service(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let organisation = match self.authenticate(&request) {
            Ok(organisation) => organisation,
            Err(refusal) => return refusal,
        };
        let path = request.uri().path().to_owned();
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        let ["v1", "services", service, "call"] = segments.as_slice() else {
            return reply::refusal(StatusCode::NOT_FOUND, "not_found", "no such route", None);
        };
        let service = (*service).to_owned();
        if self.shared.draining.load(Ordering::Acquire) {
            return refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                "maintenance",
                "not taking new work",
                Some(RETRY_AFTER_S),
            );
        }
        let previous = self.shared.in_flight.fetch_add(1, Ordering::AcqRel);
        let _guard = AdmissionGuard { daemon: self.clone() };
        let limit =
            self.shared.control.current().preset.as_ref().map_or(0, |preset| preset.max_in_flight);
        if previous >= limit {
            return refuse(
                StatusCode::TOO_MANY_REQUESTS,
                "over_capacity",
                "daemon at its in-flight limit or without a preset",
                Some(RETRY_AFTER_S),
            );
        }
        self.plain_call(request, organisation, service).await
    }

    async fn completion(&self, request: Request<Incoming>, kind: Kind) -> Response<ReplyBody> {
        let organisation = match self.authenticate(&request) {
            Ok(organisation) => organisation,
            Err(refusal) => return refusal,
        };
        let body = match read_body(request.into_body()).await {
            Ok(body) => body,
            Err(message) => {
                return refuse(StatusCode::BAD_REQUEST, "invalid_request_error", &message, None);
            }
        };
        let parsed = match parse_completion(&body, kind) {
            Ok(parsed) => parsed,
            Err(message) => {
                return refuse(StatusCode::BAD_REQUEST, "invalid_request_error", &message, None);
            }
        };
        let (admitted, guard) = match self.admit(organisation, parsed) {
            Ok(admitted) => admitted,
            Err(refusal) => return refusal,
        };
        self.serve(admitted, guard).await
    }

    fn authenticate(
        &self,
        request: &Request<Incoming>,
    ) -> Result<OrganisationId, Response<ReplyBody>> {
        let key = request
            .headers()
            .get(header::AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("Bearer "))
            .unwrap_or_default();
        let snapshot = self.shared.control.current();
        match snapshot.api_keys.get(key) {
            Some(organisation) => Ok(organisation.clone()),
            None => {
                Err(refuse(StatusCode::UNAUTHORIZED, "invalid_api_key", "unknown API key", None))
            }
        }
    }

    /// Admission: refuses honestly, before any work starts, when there is
    /// no preset, the preset or a stop refuses new work, or the daemon is
    /// at its in-flight limit.
    fn admit(
        &self,
        organisation: OrganisationId,
        parsed: ParsedCompletion,
    ) -> Result<(Admitted, AdmissionGuard<P>), Response<ReplyBody>> {
        let snapshot = self.shared.control.current();
        let Some(preset) = snapshot.preset.clone() else {
            return Err(refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                "no_preset",
                "no preset in force yet",
                Some(RETRY_AFTER_S),
            ));
        };
        if self.shared.draining.load(Ordering::Acquire) || preset.refuse_new_work {
            return Err(refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                "maintenance",
                "not taking new work",
                Some(RETRY_AFTER_S),
            ));
        }
        let previous = self.shared.in_flight.fetch_add(1, Ordering::AcqRel);
        let guard = AdmissionGuard { daemon: self.clone() };
        if previous >= preset.max_in_flight {
            return Err(refuse(
                StatusCode::TOO_MANY_REQUESTS,
                "over_capacity",
                "daemon at its in-flight limit",
                Some(RETRY_AFTER_S),
            ));
        }
        let priority =
            parsed.priority.unwrap_or(if parsed.shape.tokens <= preset.urgent_prompt_tokens {
                Priority::Urgent
            } else {
                Priority::Standard
            });
        let sequence = self.shared.next_sequence.fetch_add(1, Ordering::Relaxed);
        let request_id = format!("{}-{sequence}", self.shared.settings.daemon_id);
        tracing::info!(
            event = events::REQUEST_ADMITTED,
            %request_id,
            %organisation,
            model = %parsed.model,
            %priority,
            prompt_tokens = parsed.shape.tokens,
            fence = snapshot.fence,
            "request admitted"
        );
        let admitted = Admitted {
            request_id,
            organisation,
            model: parsed.model,
            max_tokens: parsed.max_tokens.unwrap_or(preset.default_max_tokens),
            stream: parsed.stream,
            priority,
            shape: parsed.shape,
            kind: parsed.kind,
            snapshot,
            preset,
        };
        Ok((admitted, guard))
    }
}

/// Which caller route a request came by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Chat,
    Text,
}

struct ParsedCompletion {
    model: String,
    shape: PromptShape,
    max_tokens: Option<u32>,
    stream: bool,
    priority: Option<Priority>,
    kind: Kind,
}

fn parse_completion(body: &[u8], kind: Kind) -> Result<ParsedCompletion, String> {
    let parsed = match kind {
        Kind::Chat => {
            let request: ChatRequest =
                serde_json::from_slice(body).map_err(|error| format!("request body: {error}"))?;
            if request.messages.is_empty() {
                return Err("request body: `messages` is empty".into());
            }
            let shape = prompt::chat_shape(&request.messages);
            ParsedCompletion {
                model: request.model,
                shape,
                max_tokens: request.max_tokens,
                stream: request.stream,
                priority: request.priority,
                kind,
            }
        }
        Kind::Text => {
            let request: CompletionRequest =
                serde_json::from_slice(body).map_err(|error| format!("request body: {error}"))?;
            let shape = prompt::text_shape(&request.prompt);
            ParsedCompletion {
                model: request.model,
                shape,
                max_tokens: request.max_tokens,
                stream: request.stream,
                priority: request.priority,
                kind,
            }
        }
    };
    if parsed.max_tokens == Some(0) {
        return Err("request body: `max_tokens` must be at least 1".into());
    }
    Ok(parsed)
}

/// A refusal, logged as event [`events::REQUEST_REFUSED`].
pub(crate) fn refuse(
    status: StatusCode,
    kind: &str,
    message: &str,
    retry_after_s: Option<u64>,
) -> Response<ReplyBody> {
    tracing::info!(
        event = events::REQUEST_REFUSED,
        status = status.as_u16(),
        kind,
        message,
        ?retry_after_s,
        "request refused"
    );
    metrics::counter!("umberglade_refusals_total", "kind" => kind.to_owned()).increment(1);
    reply::refusal(status, kind, message, retry_after_s)
}

impl<P: Placement> RequestHandler for Daemon<P> {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<ReplyBody> {
        self.route(request).await
    }
}
