//! Accepts callers' connections.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolTimer;
use umberglade_wire::pool;

use super::read_call::CallAborted;
use super::read_call::ReadEnd;
use super::read_call::read_call;
use crate::codec::PlatformCodec;
use crate::events;
use crate::forward;
use crate::forward::GatewayBody;
use crate::state::GatewayState;
use crate::stop::BALANCER_NOTICE_DELAY;
use crate::stop::IDLE_CLOSE_DELAY;

/// The pause after a failed accept, which mostly means that descriptors
/// have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The least read buffer the HTTP library takes.
const MIN_BUFFER: usize = 8 * 1024;

/// Accepts callers until the process ends.
pub async fn serve_front<C: PlatformCodec>(listener: TcpListener, state: Arc<GatewayState>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Answers go out as soon as written; a failure only costs
                // that time.
                let _ = stream.set_nodelay(true);
                pool::spawn(serve_connection::<C>(stream, Arc::clone(&state)));
            }
            Err(error) => {
                tracing::warn!(event = events::ACCEPT_FAILED, %error, "accept failed");
                smol::Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<C: PlatformCodec>(stream: TcpStream, state: Arc<GatewayState>) {
    let limits = state.route_table().map(|table| table.limits).unwrap_or_default();
    let service_state = Arc::clone(&state);
    let service = service_fn(move |request| answer::<C>(Arc::clone(&service_state), request));
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        // Counted from when the connection falls idle, so it must allow for
        // the longest idle time, which is the larger of the two limits.
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER))
        .serve_connection(FuturesIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = async {
        // Its error is the caller's connection breaking; each request on it
        // has logged its own end.
        let _ = connection.as_mut().await;
        true
    };
    // A connection that comes later than that is not closed while idle: its
    // first request may be on its way, and the answer to it closes it.
    let is_late = state.stop.has_elapsed(IDLE_CLOSE_DELAY);
    // Late ones may stay idle, and a stop does not wait for them.
    let _open = (!is_late).then(|| state.in_flight.enter_connection());
    let closing = async {
        if is_late {
            std::future::pending::<()>().await;
        }
        state.stop.wait_elapsed(IDLE_CLOSE_DELAY).await;
        false
    };
    if !ended.or(closing).await {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

async fn answer<C: PlatformCodec>(
    state: Arc<GatewayState>,
    request: Request<Incoming>,
) -> Result<Response<GatewayBody>, CallAborted> {
    let _in_flight = state.in_flight.enter_request();
    let mut response = match read_call::<C>(&state, request).await? {
        ReadEnd::Call(call) => forward::forward::<C>(&state, call).await,
        ReadEnd::Refused(response) => response,
    };
    if state.stop.has_elapsed(BALANCER_NOTICE_DELAY) {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}
