//! Reads a caller's request completely and finds its route.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::HeaderMap;
use http::Request;
use http::Response;
use http::Uri;
use http::header;
use hyper::body::Body;
use hyper::body::Incoming;
use snafu::Snafu;
use umberglade_wire::memory;
use umberglade_wire::memory::ConnectionShare;
use umberglade_wire::memory::HeldBody;
use umberglade_wire::memory::RequestBodyError;

use super::accepted_request::RequestGuard;
use super::find_route::CONFIG_UNSETTLED_RETRY_AFTER;
use super::find_route::FoundRoute;
use super::find_route::find_route;
use crate::cluster::organisation_digest;
use crate::codec::PlatformCodec;
use crate::events;
use crate::forward::Call;
use crate::forward::GatewayBody;
use crate::forward::QuotaCharge;
use crate::forward::Rejection;
use crate::forward::RequestStage;
use crate::forward::reject;
use crate::model::CallerKey;
use crate::model::CrashSuspects;
use crate::model::FingerprintParts;
use crate::model::Organisation;
use crate::model::RequestHead;
use crate::model::RouteTable;
use crate::state::GatewayState;
use crate::timing::with_deadline;

/// How long a request waits for the first configuration and servers: reading both takes about 20 ms
/// after a start, and callers whose connections broke when the previous process stopped reconnect
/// at once.
const STARTUP_TIMEOUT: Duration = Duration::from_millis(400);
/// `Retry-After` while no configuration is known yet: reading it takes a few calls of the store.
const NO_CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(300);
/// `Retry-After` while the memory for callers is full: others make room within a second.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Timeout of a request when neither the caller nor the route states one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a body may take to arrive where its request has no more time: prevents a connection
/// that stalls after its header from being held open.
const MIN_BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The caller's connection broke, its body did not arrive or it has left: no response can reach it,
/// and the connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("request was not received completely"))]
pub struct CallAborted;

/// Outcome of reading a request.
pub enum ReadOutcome {
    Call(Arc<Call>),
    Rejected(Response<GatewayBody>),
    /// Rejected before its body was read; its caller may still be sending it.
    RejectedUnread(Response<GatewayBody>),
}

/// Reads `request`, followed by `guard`, completely on a connection with `share`; rejects it where no route or limit allows it.
pub async fn read_call<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    share: &ConnectionShare,
    request: Request<Incoming>,
    guard: &mut RequestGuard,
) -> Result<ReadOutcome, CallAborted> {
    let arrived = Instant::now();
    let mut head = C::request_head(request.headers());
    let request_id = head.request_id.clone();
    let request_id = request_id.as_deref().unwrap_or("-");
    guard.identify(request_id);
    with_deadline(arrived + STARTUP_TIMEOUT, state.wait_until_initialized()).await;
    let host = stated_host(request.headers(), request.uri()).unwrap_or_default();
    let found = match find_route(state, host, request.uri().path(), &head.key).await {
        Ok(found) => found,
        Err(rejection) => {
            let response = reject_unrouted(state, request_id, &head.key, rejection);
            return Ok(ReadOutcome::RejectedUnread(response));
        }
    };
    let caller_identity = found.caller_identity();
    if let Some(organisation) = &found.organisation {
        share.set_organisation(organisation_digest(&organisation.name).into());
    }
    let FoundRoute { table, route, organisation } = found;
    let organisation_digest =
        organisation.as_deref().map_or(0, |organisation| organisation_digest(&organisation.name));
    let reject_too_large = || {
        let response = reject_request(request_id, Rejection::TooLarge, None, table.version);
        Ok(ReadOutcome::RejectedUnread(response))
    };
    let max_body_bytes = state.caller_limits_since(arrived).max_body_bytes;
    if request.body().size_hint().lower() > max_body_bytes as u64 {
        return reject_too_large();
    }
    let (mut parts, body) = request.into_parts();
    C::set_caller_headers(&mut parts.headers, &caller_identity);
    let stated_timeout = head.timeout;
    let requested_timeout = stated_timeout.unwrap_or(DEFAULT_TIMEOUT);
    let time_limit =
        route.timeout.map_or(requested_timeout, |timeout| timeout.min(requested_timeout));
    let body_deadline = arrived + time_limit.max(MIN_BODY_TIMEOUT);
    let body = match read_body(share, body, max_body_bytes, body_deadline).await? {
        BodyOutcome::Whole(body) => body,
        BodyOutcome::TooLarge => return reject_too_large(),
        BodyOutcome::NoMemory => {
            let after = Some(NO_MEMORY_RETRY_AFTER);
            let response = reject_request(request_id, Rejection::NoMemory, after, table.version);
            return Ok(ReadOutcome::RejectedUnread(response));
        }
        BodyOutcome::Late => {
            let response =
                reject_request(request_id, Rejection::ExpiredUnsent, None, table.version);
            return Ok(ReadOutcome::RejectedUnread(response));
        }
    };
    if share.begin_serving().await.is_err() {
        let after = Some(NO_MEMORY_RETRY_AFTER);
        let response = reject_request(request_id, Rejection::NoMemory, after, table.version);
        return Ok(ReadOutcome::Rejected(response));
    }
    guard.progress().reach(RequestStage::Queued);
    let content = FingerprintParts {
        method: parts.method.as_str(),
        host: stated_host(&parts.headers, &parts.uri).unwrap_or_default(),
        target: parts.uri.path_and_query().map_or("/", |target| target.as_str()),
        caller: caller_bytes(organisation.as_deref(), &head.key),
        body: &body.bytes,
    }
    .fingerprint();
    let suspects = CrashSuspects { content, parts: std::mem::take(&mut head.prompt_parts) };
    let draw = umberglade_wire::digest(request_id.as_bytes());
    let service = route.service(draw).clone();
    let spec = service_spec(&table, &service);
    if let Some(prompt) = &mut head.prompt {
        prompt.output_estimate =
            state.estimates(&service).outputs.expected_tokens(prompt.output_estimate);
    }
    let charge = match charge(state, organisation.as_deref(), &head) {
        Ok(charge) => charge,
        Err(after) => {
            let response =
                reject_request(request_id, Rejection::QuotaSpent, Some(after), table.version);
            return Ok(ReadOutcome::Rejected(response));
        }
    };
    let call = Arc::new(Call {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        head,
        organisation: organisation_digest,
        charge,
        suspects,
        route: Arc::clone(&route),
        service,
        spec,
        config: table.version,
        arrived,
        retrying_for: state.service_queues.retrying_for(&route.name, stated_timeout),
        deadline: arrived + time_limit,
        progress: Arc::clone(guard.progress()),
    });
    guard.record_call(&call);
    Ok(ReadOutcome::Call(call))
}

fn service_spec(table: &RouteTable, service: &str) -> crate::model::ServiceSpec {
    table
        .services
        .get(service)
        .cloned()
        .unwrap_or(crate::model::ServiceSpec { max_connections: u32::MAX, engine: None })
}

/// Returns the host that a request names in its target or its `Host` header.
fn stated_host<'a>(headers: &'a HeaderMap, uri: &'a Uri) -> Option<&'a str> {
    uri.host().or_else(|| headers.get(header::HOST).and_then(|value| value.to_str().ok()))
}

/// Returns what of a request's fingerprint tells who calls.
///
/// Servers are told the organisation and never see the key, so that requests under different keys of
/// one organisation are the same to them.
fn caller_bytes<'a>(organisation: Option<&'a Organisation>, key: &'a CallerKey) -> &'a [u8] {
    match (organisation, key) {
        (Some(organisation), _) => organisation.name.as_bytes(),
        (None, CallerKey::Sent(digest)) => digest.as_bytes(),
        (None, CallerKey::None | CallerKey::Malformed) => &[],
    }
}

/// Charges a request to its organisation's quota; returns the `Retry-After` where the quota
/// is exhausted.
fn charge(
    state: &Arc<GatewayState>,
    organisation: Option<&Organisation>,
    head: &RequestHead,
) -> Result<Option<QuotaCharge>, Duration> {
    let Some((organisation, quota)) =
        organisation.and_then(|organisation| Some((organisation, organisation.quota?)))
    else {
        return Ok(None);
    };
    let cost = quota.cost(head);
    let request_id = head.request_id.as_deref().unwrap_or("-");
    state.quotas.charge(organisation, cost, request_id, &state.quota_view())?;
    Ok(Some(QuotaCharge::new(state, organisation_digest(&organisation.name), cost)))
}

/// Rejects a request with the rejection of [`find_route`], and logs an unknown key.
fn reject_unrouted(
    state: &GatewayState,
    request_id: &str,
    key: &CallerKey,
    rejection: Rejection,
) -> Response<GatewayBody> {
    let version = state.config_version();
    if rejection == Rejection::UnknownKey {
        let key = match key {
            CallerKey::Sent(digest) => digest.to_string(),
            CallerKey::None => "none".to_owned(),
            CallerKey::Malformed => "not readable".to_owned(),
        };
        tracing::info!(
            event = events::KEY_UNKNOWN,
            request_id,
            key,
            config = version,
            "unknown key"
        );
    }
    let retry_after = match rejection {
        Rejection::NoConfiguration => Some(NO_CONFIGURATION_RETRY_AFTER),
        Rejection::ConfigUnsettled => Some(CONFIG_UNSETTLED_RETRY_AFTER),
        _ => None,
    };
    reject_request(request_id, rejection, retry_after, version)
}

/// The outcome of reading a body.
enum BodyOutcome {
    Whole(HeldBody),
    TooLarge,
    /// The memory for callers has no room for it.
    NoMemory,
    /// It has not arrived completely by the deadline.
    Late,
}

/// Reads `body`, up to `limit` bytes, until `deadline`.
async fn read_body(
    share: &ConnectionShare,
    body: Incoming,
    limit: usize,
    deadline: Instant,
) -> Result<BodyOutcome, CallAborted> {
    match with_deadline(deadline, memory::read_body(share, body, limit)).await {
        None => Ok(BodyOutcome::Late),
        Some(Ok(body)) => Ok(BodyOutcome::Whole(body)),
        Some(Err(RequestBodyError::TooLarge { .. })) => Ok(BodyOutcome::TooLarge),
        Some(Err(RequestBodyError::NoMemory { .. })) => Ok(BodyOutcome::NoMemory),
        Some(Err(RequestBodyError::Broken { .. })) => Err(CallAborted),
    }
}

fn reject_request(
    request_id: &str,
    rejection: Rejection,
    retry_after: Option<Duration>,
    config: u64,
) -> Response<GatewayBody> {
    tracing::info!(
        event = events::CALL_REJECTED,
        request_id,
        reason = %rejection,
        status = rejection.status().as_u16(),
        config,
        "rejected"
    );
    reject(rejection, retry_after)
}
