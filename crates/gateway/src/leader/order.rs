//! Sends a stage order to an engine.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::client::conn::TrySendError;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;
use umberglade_wire::client_connection::BodyError;
use umberglade_wire::client_connection::ResponseBody;
use umberglade_wire::client_connection::is_final;
use umberglade_wire::client_connection::read_whole;
use umberglade_wire::request_content::RequestContent;

use crate::codec::CodecError;
use crate::codec::PlatformCodec;
use crate::model::EngineReport;
use crate::model::ServerStage;
use crate::model::StageOrder;
use crate::model::StoreStamp;
use crate::model::server_incarnation;
use crate::state::GatewayState;
use crate::timing::with_deadline;
use crate::upstream;
use crate::upstream::Connect;
use crate::upstream::DirectConnector;
use crate::upstream::SendError;
use crate::upstream::SendTarget;
use crate::upstream::ServerConnection;
use crate::upstream::answer_limits::MAX_REPORT_BYTES;

/// Timeout of an engine's response: about a hundred times its usual response time.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

const FETCH_REPORT: &str = "report";
const SEND_ORDER: &str = "order";

/// Reason why an order was not sent, or may not have reached the engine.
#[derive(Debug, Snafu)]
pub enum OrderError {
    #[snafu(display("{step} at {peer}: {source}"))]
    Send { step: &'static str, peer: SocketAddr, source: SendError },
    #[snafu(display("{step} at {peer}: no response within {} ms", RESPONSE_TIMEOUT.as_millis()))]
    Timeout { step: &'static str, peer: SocketAddr },
    #[snafu(display("{step} at {peer}: {source}"))]
    Exchange { step: &'static str, peer: SocketAddr, source: hyper::Error },
    #[snafu(display("{step} at {peer}: {source}"))]
    Body { step: &'static str, peer: SocketAddr, source: BodyError },
    #[snafu(display("{step} at {peer}: status {status}"))]
    Status { step: &'static str, peer: SocketAddr, status: StatusCode },
    #[snafu(display("report of {peer}: {source}"))]
    Report { peer: SocketAddr, source: CodecError },
    #[snafu(display("{peer} has restarted since it was chosen"))]
    Restarted { peer: SocketAddr },
    #[snafu(display("{peer} is already changing its stage"))]
    Changing { peer: SocketAddr },
    #[snafu(display("the leadership claim is too old to send another order"))]
    ClaimExpired,
}

impl OrderError {
    /// Returns true if another server than the intended one has answered.
    pub fn is_of_another_server(&self) -> bool {
        let misdirected = StatusCode::MISDIRECTED_REQUEST;
        matches!(self, OrderError::Status { status, .. } if *status == misdirected)
    }

    /// Returns true if a complete answer has arrived, though not the wanted one.
    pub fn is_answer(&self) -> bool {
        matches!(self, OrderError::Status { status, .. } if is_final(*status))
    }

    /// Returns true if the server refuses connections.
    pub fn is_refusal(&self) -> bool {
        matches!(self, OrderError::Send { source, .. } if source.is_refusal())
    }
}

/// Orders the engine at `target` to change to `stage`. `is_within_window` is checked last, just
/// before the order is sent.
///
/// The order is sent on the connection on which the engine has just sent its report: a connection
/// ends with its process. Prevents an order from taking effect on the engine's next incarnation,
/// which the order itself may not distinguish: it has the same id, and the number of accepted
/// orders may be 0 for both.
pub async fn send_order<C: PlatformCodec>(
    state: &GatewayState,
    target: &SendTarget,
    stage: ServerStage,
    fence: StoreStamp,
    is_within_window: impl Fn() -> bool,
) -> Result<(), OrderError> {
    let peer = target.address;
    let (report, mut connection) = fetch_report::<C>(state, &DirectConnector, target).await?;
    snafu::ensure!(is_same_incarnation(target, report.started_at), RestartedSnafu { peer });
    snafu::ensure!(!report.is_changing, ChangingSnafu { peer });
    if report.stage == stage {
        return Ok(());
    }
    let holder = state.settings.instance.clone();
    let order =
        StageOrder { stage, holder, fence: fence.fencing_token(), expected_orders: report.orders };
    let (path, body) = C::order_request(&order);
    let request = engine_request::<C>(target, Method::POST, &path, body);
    snafu::ensure!(is_within_window(), ClaimExpiredSnafu);
    let order_exchange = async {
        connection.ready().await.context(ExchangeSnafu { step: SEND_ORDER, peer })?;
        let sent = connection.send(request).await.map_err(TrySendError::into_error);
        let response = sent.context(ExchangeSnafu { step: SEND_ORDER, peer })?;
        read_body(response, SEND_ORDER, peer).await
    };
    with_timeout(order_exchange, SEND_ORDER, peer).await?;
    Ok(())
}

/// Returns the report of the engine at `target`, and the connection of `connector` on which it came.
pub async fn fetch_report<C: PlatformCodec>(
    state: &GatewayState,
    connector: &impl Connect,
    target: &SendTarget,
) -> Result<(EngineReport, ServerConnection), OrderError> {
    let (body, connection) = ask_report::<C>(state, connector, target).await?;
    let report = C::engine_report(&body).context(ReportSnafu { peer: target.address })?;
    Ok((report, connection))
}

/// Returns when the server at `target` states that it was started, whatever its stage, and the
/// connection of `connector` on which it did; `None` if it states nothing of the kind.
pub async fn fetch_start<C: PlatformCodec>(
    state: &GatewayState,
    connector: &impl Connect,
    target: &SendTarget,
) -> Result<(Option<SystemTime>, ServerConnection), OrderError> {
    let (body, connection) = ask_report::<C>(state, connector, target).await?;
    Ok((C::report_start(&body), connection))
}

/// Returns the body of the report of the server at `target`, and the connection on which it came.
async fn ask_report<C: PlatformCodec>(
    state: &GatewayState,
    connector: &impl Connect,
    target: &SendTarget,
) -> Result<(Bytes, ServerConnection), OrderError> {
    let peer = target.address;
    let request = engine_request::<C>(target, Method::GET, C::REPORT_PATH, Bytes::new());
    let report_exchange = async {
        let sent = upstream::send_with(connector, &state.pool, target, request, None).await;
        let (response, connection) = sent.context(SendSnafu { step: FETCH_REPORT, peer })?;
        Ok((read_body(response, FETCH_REPORT, peer).await?, connection))
    };
    with_timeout(report_exchange, FETCH_REPORT, peer).await
}

/// Returns false if the server, which states `started_at`, has restarted since `target` was looked up.
pub fn is_same_incarnation(target: &SendTarget, started_at: Option<SystemTime>) -> bool {
    started_at.is_none() || server_incarnation(&target.server, started_at) == target.incarnation
}

fn engine_request<C: PlatformCodec>(
    target: &SendTarget,
    method: Method,
    path: &str,
    body: Bytes,
) -> Request<RequestContent> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, target.address.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .header(C::TARGET_SERVER_HEADER, &*target.server)
        .body(RequestContent::from(body))
        .expect("a request built from valid parts")
}

async fn read_body(
    response: Response<ResponseBody>,
    step: &'static str,
    peer: SocketAddr,
) -> Result<Bytes, OrderError> {
    let status = response.status();
    snafu::ensure!(status.is_success(), StatusSnafu { step, peer, status });
    let read = read_whole(response.into_body(), MAX_REPORT_BYTES).await;
    read.context(BodySnafu { step, peer })
}

async fn with_timeout<T>(
    response: impl Future<Output = Result<T, OrderError>>,
    step: &'static str,
    peer: SocketAddr,
) -> Result<T, OrderError> {
    with_deadline(Instant::now() + RESPONSE_TIMEOUT, response)
        .await
        .context(TimeoutSnafu { step, peer })?
}
