//! One order to one engine.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;

use crate::codec::CodecError;
use crate::codec::PlatformCodec;
use crate::model::EngineReport;
use crate::model::ServerKey;
use crate::model::ServerStage;
use crate::model::StageOrder;
use crate::model::StoreVersion;
use crate::state::GatewayState;
use crate::timing::by_deadline;
use crate::upstream;
use crate::upstream::SendError;
use crate::upstream::SendTarget;

/// How long an engine may take to answer: some hundred times its usual.
const ANSWER_TIME: Duration = Duration::from_millis(400);

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
    #[snafu(display("{peer} is changing already"))]
    Changing { peer: SocketAddr },
    #[snafu(display("the claim is too old for a further order"))]
    ClaimOld,
}

/// Where an engine is.
#[derive(Debug, Clone)]
pub struct OrderTarget {
    pub server: ServerKey,
    pub address: SocketAddr,
}

/// Tells the engine at `target` to change to `stage`. `may_still` is asked
/// last before the order goes out.
pub async fn give_order<C: PlatformCodec>(
    state: &GatewayState,
    target: &OrderTarget,
    stage: ServerStage,
    fence: StoreVersion,
    may_still: impl Fn() -> bool,
) -> Result<(), OrderError> {
    let peer = target.address;
    let body = exchange::<C>(state, target, "report", Method::GET, C::REPORT_PATH, Bytes::new());
    let report: EngineReport = C::engine_report(&body.await?).context(ReportSnafu { peer })?;
    snafu::ensure!(!report.is_changing, ChangingSnafu { peer });
    if report.stage == stage {
        return Ok(());
    }
    let holder = state.settings.instance.clone();
    let order = StageOrder { stage, holder, fence, after_orders: report.orders };
    let (path, body) = C::order_call(&order);
    snafu::ensure!(may_still(), ClaimOldSnafu);
    exchange::<C>(state, target, "order", Method::POST, &path, body).await?;
    Ok(())
}

async fn exchange<C: PlatformCodec>(
    state: &GatewayState,
    target: &OrderTarget,
    step: &'static str,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Bytes, OrderError> {
    let peer = target.address;
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(http::header::HOST, peer.to_string())
        .header(http::header::CONTENT_TYPE, "application/json")
        .header(C::ONLY_FOR, &*target.server)
        .body(Full::new(body))
        .expect("a request built from valid parts");
    let send_to = SendTarget { server: target.server.clone(), address: peer, may_reuse: false };
    let answer = async {
        let (response, _connection) = upstream::send(&state.pool, &send_to, request)
            .await
            .context(SendSnafu { step, peer })?;
        let status = response.status();
        snafu::ensure!(status.is_success(), StatusSnafu { step, peer, status });
        let body = response.into_body().collect().await.context(BodySnafu { step, peer })?;
        Ok(body.to_bytes())
    };
    let deadline = std::time::Instant::now() + ANSWER_TIME;
    by_deadline(deadline, answer).await.context(LateSnafu { step, peer })?
}
