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

use crate::codec::PlatformCodec;
use crate::events;
use crate::forward::Call;
use crate::forward::GatewayBody;
use crate::forward::Refusal;
use crate::forward::refuse;
use crate::model::ContentParts;
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
    let Some(table) = state.table() else {
        return Ok(refused(request_id, Refusal::NoConfiguration, Some(NO_CONFIGURATION_RETRY), 0));
    };
    let host = stated_host(request.headers(), request.uri()).unwrap_or_default();
    let Some(route) = table.route(host, request.uri().path()) else {
        return Ok(refused(request_id, Refusal::NoRoute, None, table.version));
    };
    if request.body().size_hint().lower() > table.limits.max_body_bytes as u64 {
        return Ok(refused(request_id, Refusal::TooLarge, None, table.version));
    }
    let (parts, body) = request.into_parts();
    let body = match read_body(body, table.limits.max_body_bytes).await? {
        Some(body) => body,
        None => return Ok(refused(request_id, Refusal::TooLarge, None, table.version)),
    };
    let content = ContentParts {
        method: parts.method.as_str(),
        host: stated_host(&parts.headers, &parts.uri).unwrap_or_default(),
        target: parts.uri.path_and_query().map_or("/", |target| target.as_str()),
        credentials: credentials(&parts.headers),
        body: &body,
    }
    .digest();
    let draw = umberglade_wire::digest(request_id.as_bytes());
    let service = route.service(draw).clone();
    let spec = spec_of(&table, &service);
    if let Some(prompt) = &mut head.prompt {
        prompt.output_estimate = state.learned(&service).outputs.expect(prompt.output_estimate);
    }
    let head_patience = head.patience;
    let patience = head_patience.unwrap_or(DEFAULT_PATIENCE);
    let allowed = route.timeout.map_or(patience, |timeout| timeout.min(patience));
    Ok(ReadEnd::Call(Arc::new(Call {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        head,
        content,
        route: Arc::clone(route),
        service,
        spec,
        config: table.version,
        arrived,
        tried_for: state.demand.tried_for(&route.name, head_patience),
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
fn credentials(headers: &HeaderMap) -> &[u8] {
    headers.get(header::AUTHORIZATION).map(|value| value.as_bytes()).unwrap_or_default()
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
    refusal: Refusal,
    retry_after: Option<Duration>,
    config: u64,
) -> ReadEnd {
    tracing::info!(
        event = events::CALL_REFUSED,
        request_id,
        reason = %refusal,
        status = refusal.status().as_u16(),
        config,
        "refused"
    );
    ReadEnd::Refused(refuse(refusal, retry_after))
}
