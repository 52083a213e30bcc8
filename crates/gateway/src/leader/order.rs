//! One order to one engine.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;

use crate::codec::CodecError;
use crate::codec::PlatformCodec;
use crate::model::EngineReport;
use crate::model::ServerStage;
use crate::model::StageOrder;
use crate::model::StoreVersion;
use crate::model::server_incarnation;
use crate::state::GatewayState;
use crate::timing::by_deadline;
use crate::upstream;
use crate::upstream::SendError;
use crate::upstream::SendTarget;

/// How long an engine may take to answer: some hundred times its usual.
const ANSWER_TIME: Duration = Duration::from_millis(400);

const REPORT_STEP: &str = "report";
const ORDER_STEP: &str = "order";

/// Why an engine was not told, or may not have been.
#[derive(Debug, Snafu)]
pub enum OrderError {
    #[snafu(display("{step} at {peer}: {source}"))]
    Send { step: &'static str, peer: SocketAddr, source: SendError },
    #[snafu(display("{step} at {peer}: no answer within {} ms", ANSWER_TIME.as_millis()))]
    Late { step: &'static str, peer: SocketAddr },
    #[snafu(display("{step} at {peer}: {source}"))]
    Body { step: &'static str, peer: SocketAddr, source: hyper::Error },
    #[snafu(display("{step} at {peer}: status {status}"))]
    Status { step: &'static str, peer: SocketAddr, status: StatusCode },
    #[snafu(display("report of {peer}: {source}"))]
    Report { peer: SocketAddr, source: CodecError },
    #[snafu(display("{peer} has started again since it was chosen"))]
    Restarted { peer: SocketAddr },
    #[snafu(display("{peer} is changing already"))]
    Changing { peer: SocketAddr },
    #[snafu(display("the claim is too old for a further order"))]
    ClaimOld,
}

/// Tells the engine at `target` to change to `stage`. `may_still` is asked
/// last before the order goes out.
///
/// The order goes out on the connection on which the engine has just told of
/// itself. Guards against an order that takes effect on an engine's next
/// start: that one has the same id and has accepted no orders, as the one
/// before it may have; a connection ends with its process.
pub async fn give_order<C: PlatformCodec>(
    state: &GatewayState,
    target: &SendTarget,
    stage: ServerStage,
    fence: StoreVersion,
    may_still: impl Fn() -> bool,
) -> Result<(), OrderError> {
    let peer = target.address;
    let request = engine_request::<C>(target, Method::GET, C::REPORT_PATH, Bytes::new());
    let asked = async {
        let sent = upstream::send(&state.pool, target, request).await;
        let (response, connection) = sent.context(SendSnafu { step: REPORT_STEP, peer })?;
        Ok((read_body(response, REPORT_STEP, peer).await?, connection))
    };
    let (body, mut connection) = in_time(asked, REPORT_STEP, peer).await?;
    let report: EngineReport = C::engine_report(&body).context(ReportSnafu { peer })?;
    snafu::ensure!(is_same_start(target, &report), RestartedSnafu { peer });
    snafu::ensure!(!report.is_changing, ChangingSnafu { peer });
    if report.stage == stage {
        return Ok(());
    }
    let holder = state.settings.instance.clone();
    let order = StageOrder { stage, holder, fence, expected_orders: report.orders };
    let (path, body) = C::order_call(&order);
    let request = engine_request::<C>(target, Method::POST, &path, body);
    snafu::ensure!(may_still(), ClaimOldSnafu);
    let ordered = async {
        connection.ready().await.context(BodySnafu { step: ORDER_STEP, peer })?;
        let sent = connection.send_request(request).await;
        let response = sent.context(BodySnafu { step: ORDER_STEP, peer })?;
        read_body(response, ORDER_STEP, peer).await
    };
    in_time(ordered, ORDER_STEP, peer).await?;
    Ok(())
}

/// False when the engine has started again since `target` was looked up.
fn is_same_start(target: &SendTarget, report: &EngineReport) -> bool {
    report.started_at.is_none()
        || server_incarnation(&target.server, report.started_at) == target.incarnation
}

fn engine_request<C: PlatformCodec>(
    target: &SendTarget,
    method: Method,
    path: &str,
    body: Bytes,
) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, target.address.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .header(C::ONLY_FOR, &*target.server)
        .body(Full::new(body))
        .expect("a request built from valid parts")
}

async fn read_body(
    response: Response<Incoming>,
    step: &'static str,
    peer: SocketAddr,
) -> Result<Bytes, OrderError> {
    let status = response.status();
    snafu::ensure!(status.is_success(), StatusSnafu { step, peer, status });
    let body = response.into_body().collect().await.context(BodySnafu { step, peer })?;
    Ok(body.to_bytes())
}

async fn in_time<T>(
    answer: impl Future<Output = Result<T, OrderError>>,
    step: &'static str,
    peer: SocketAddr,
) -> Result<T, OrderError> {
    by_deadline(Instant::now() + ANSWER_TIME, answer).await.context(LateSnafu { step, peer })?
}
