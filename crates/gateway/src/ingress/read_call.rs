//! Reads a caller's request whole and finds its route.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_lite::FutureExt;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::Uri;
use http::header;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use snafu::Snafu;

use super::find_route::FoundRoute;
use super::find_route::NEWER_RETRY;
use super::find_route::find_route;
use crate::cluster::organisation_digest;
use crate::codec::PlatformCodec;
use crate::events;
use crate::forward::Call;
use crate::forward::GatewayBody;
use crate::forward::QuotaCharge;
use crate::forward::Rejection;
use crate::forward::refuse;
use crate::model::CallHead;
use crate::model::CallerKey;
use crate::model::ContentParts;
use crate::model::Organisation;
use crate::model::RouteTable;
use crate::state::GatewayState;
use crate::timing::by_deadline;

/// How long a request waits for the first configuration and servers: reading
/// both takes some 20 ms after a start, and callers whose connections broke
/// with the process before come back at once.
const START_WAIT: Duration = Duration::from_millis(400);
/// How soon to come back when no configuration is known yet: reading it
/// takes a few calls of the store.
const NO_CONFIGURATION_RETRY: Duration = Duration::from_millis(300);
/// How long a caller may wait when neither it nor the route says.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);
/// How long a body may take to arrive: guards against a connection that
/// went silent behind its head.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The caller's connection broke, or its body never came: no answer can
/// reach it, and the connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the request did not arrive whole"))]
pub struct CallAborted;

/// What reading a request ended with.
pub enum ReadEnd {
    Call(Arc<Call>),
    Refused(Response<GatewayBody>),
}

/// Reads `request` whole; refuses it where no route or limit allows it.
pub async fn read_call<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    request: Request<Incoming>,
) -> Result<ReadEnd, CallAborted> {
    let arrived = Instant::now();
    let mut head = C::call_head(request.headers());
    let request_id = head.request_id.clone();
    let request_id = request_id.as_deref().unwrap_or("-");
    by_deadline(arrived + START_WAIT, state.known()).await;
    let host = stated_host(request.headers(), request.uri()).unwrap_or_default();
    let found = match find_route(state, host, request.uri().path(), &head.key).await {
        Ok(found) => found,
        Err(refusal) => return Ok(refuse_unrouted(state, request_id, &head.key, refusal)),
    };
    let mark = found.mark();
    let FoundRoute { table, route, organisation } = found;
    if request.body().size_hint().lower() > table.limits.max_body_bytes as u64 {
        return Ok(refused(request_id, Rejection::TooLarge, None, table.version));
    }
    let (mut parts, body) = request.into_parts();
    C::set_caller_headers(&mut parts.headers, &mark);
    let body = match read_body(body, table.limits.max_body_bytes).await? {
        Some(body) => body,
        None => return Ok(refused(request_id, Rejection::TooLarge, None, table.version)),
    };
    let content = ContentParts {
        method: parts.method.as_str(),
        host: stated_host(&parts.headers, &parts.uri).unwrap_or_default(),
        target: parts.uri.path_and_query().map_or("/", |target| target.as_str()),
        credentials: credentials(&head.key),
        body: &body,
    }
    .digest();
    let draw = umberglade_wire::digest(request_id.as_bytes());
    let service = route.service(draw).clone();
    let spec = spec_of(&table, &service);
    if let Some(prompt) = &mut head.prompt {
        prompt.output_estimate = state.learned(&service).outputs.expect(prompt.output_estimate);
    }
    let charge = match charge(state, organisation.as_deref(), &head) {
        Ok(charge) => charge,
        Err(after) => {
            return Ok(refused(request_id, Rejection::QuotaSpent, Some(after), table.version));
        }
    };
    let head_patience = head.patience;
    let patience = head_patience.unwrap_or(DEFAULT_PATIENCE);
    let allowed = route.timeout.map_or(patience, |timeout| timeout.min(patience));
    Ok(ReadEnd::Call(Arc::new(Call {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        head,
        charge,
        content,
        route: Arc::clone(&route),
        service,
        spec,
        config: table.version,
        arrived,
        tried_for: state.service_queues.tried_for(&route.name, head_patience),
        deadline: arrived + allowed,
    })))
}

fn spec_of(table: &RouteTable, service: &str) -> crate::model::ServiceSpec {
    table
        .services
        .get(service)
        .cloned()
        .unwrap_or(crate::model::ServiceSpec { max_connections: u32::MAX, engine: None })
}

/// The host a request names: in its target or its `Host` header.
fn stated_host<'a>(headers: &'a HeaderMap, uri: &'a Uri) -> Option<&'a str> {
    uri.host().or_else(|| headers.get(header::HOST).and_then(|value| value.to_str().ok()))
}

/// Who calls, as far as the request itself says.
fn credentials(key: &CallerKey) -> &[u8] {
    match key {
        CallerKey::Sent(digest) => digest.as_bytes(),
        CallerKey::None | CallerKey::Malformed => &[],
    }
}

/// Charges a request to its organisation's quota; the refusal where that is spent.
fn charge(
    state: &Arc<GatewayState>,
    organisation: Option<&Organisation>,
    head: &CallHead,
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

/// Refuses a request that the configuration in force does not allow.
fn refuse_unrouted(
    state: &GatewayState,
    request_id: &str,
    key: &CallerKey,
    refusal: Rejection,
) -> ReadEnd {
    let version = state.config_version();
    if refusal == Rejection::UnknownKey {
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
    let retry_after = match refusal {
        Rejection::NoConfiguration => Some(NO_CONFIGURATION_RETRY),
        Rejection::ConfigUnsettled => Some(NEWER_RETRY),
        _ => None,
    };
    refused(request_id, refusal, retry_after, version)
}

/// The whole body; `None` when it is longer than `limit`.
async fn read_body(body: Incoming, limit: usize) -> Result<Option<bytes::Bytes>, CallAborted> {
    let read = async {
        match Limited::new(body, limit).collect().await {
            Ok(collected) => Ok(Some(collected.to_bytes())),
            Err(error) if error.is::<LengthLimitError>() => Ok(None),
            Err(_) => Err(CallAborted),
        }
    };
    let late = async {
        smol::Timer::after(BODY_TIMEOUT).await;
        Err(CallAborted)
    };
    read.or(late).await
}

fn refused(
    request_id: &str,
    refusal: Rejection,
    retry_after: Option<Duration>,
    config: u64,
) -> ReadEnd {
    tracing::info!(
        event = events::CALL_REJECTED,
        request_id,
        reason = %refusal,
        status = refusal.status().as_u16(),
        config,
        "refused"
    );
    ReadEnd::Refused(refuse(refusal, retry_after))
}
