//! Serves readiness checks of the load balancer and metrics for operators.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use smol::net::TcpListener;
use umberglade_wire::reply;
use umberglade_wire::reply::ReplyBody;
use umberglade_wire::server;
use umberglade_wire::server::RequestHandler;

use crate::codec::PlatformCodec;
use crate::state::GatewayState;

/// Path of the metrics, in text format.
const METRICS_PATH: &str = "/metrics";

struct ReadyHandler<C> {
    state: Arc<GatewayState>,
    codec: std::marker::PhantomData<C>,
}

impl<C: PlatformCodec> RequestHandler for ReadyHandler<C> {
    async fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> Response<ReplyBody> {
        let path = request.uri().path();
        if path == C::READY_PATH {
            let status = if self.state.is_ready() {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            return reply::full(status, "text/plain", Bytes::new());
        }
        match &self.state.metrics {
            Some(metrics) if path == METRICS_PATH => {
                let text = metrics.render();
                reply::full(StatusCode::OK, "text/plain; version=0.0.4", Bytes::from(text))
            }
            _ => reply::full(StatusCode::NOT_FOUND, "text/plain", Bytes::new()),
        }
    }
}

/// Serves requests until the process stops.
pub async fn serve_ready<C: PlatformCodec>(
    listener: TcpListener,
    state: Arc<GatewayState>,
) -> Infallible {
    let budget = Arc::clone(&state.caller_memory);
    let handler = ReadyHandler::<C> { state, codec: std::marker::PhantomData };
    server::serve_within(listener, Arc::new(handler), budget).await;
    unreachable!("the accept loop has no end")
}
