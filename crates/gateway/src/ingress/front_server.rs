//! Accepts callers' connections.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
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
use umberglade_wire::lingering_close;
use umberglade_wire::ordered_body::FlushSignal;
use umberglade_wire::ordered_body::OrderedBody;
use umberglade_wire::ordered_body::TrackedStream;
use umberglade_wire::pool;

use super::connection_limits;
use super::head_stream::HeadProgress;
use super::head_stream::HeadStream;
use super::head_timer::HeadTimer;
use super::read_call::CallAborted;
use super::read_call::ReadOutcome;
use super::read_call::read_call;
use crate::codec::PlatformCodec;
use crate::events;
use crate::forward;
use crate::forward::GatewayBody;
use crate::state::GatewayState;
use crate::stop::BALANCER_NOTICE_DELAY;
use crate::stop::IDLE_CLOSE_DELAY;

/// Delay after a failed accept, which mostly means that file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts callers until the process stops.
pub async fn serve_front<C: PlatformCodec>(listener: TcpListener, state: Arc<GatewayState>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Sends responses as soon as they are written; a failure only costs latency.
                let _ = stream.set_nodelay(true);
                pool::spawn(serve_connection::<C>(stream, Arc::clone(&state)));
            }
            Err(error) => {
                tracing::warn!(event = events::ACCEPT_FAILED, %error, "accept failed");
                smol::Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<C: PlatformCodec>(stream: TcpStream, state: Arc<GatewayState>) {
    let context = ConnectionContext::new(&state);
    let tracked_stream = TrackedStream::new(stream.clone(), context.signal.clone());
    let progress = HeadProgress::default();
    let head_stream = HeadStream::new(tracked_stream, progress.clone());
    let head_capacity = connection_limits::head_capacity(&state);
    let service_context = context.clone();
    let service = service_fn(move |request| handle_request::<C>(service_context.clone(), request));
    let connection = http1::Builder::new()
        .timer(HeadTimer::new(Arc::clone(&state), progress.clone()))
        // The timer ends waits by the limits in force, whatever this value.
        .header_read_timeout(Duration::ZERO)
        .max_buf_size(head_capacity)
        .serve_connection(FuturesIo::new(head_stream), service);
    let mut connection = pin!(connection);
    let connection_ended = async {
        // The error is that the caller's connection broke; each request on it has logged its own
        // end.
        let _ = connection.as_mut().await;
        true
    };
    // A connection opened later than `IDLE_CLOSE_DELAY` into a shutdown is not closed while idle:
    // its first request may be on its way, and the response to it closes the connection.
    let opened_after_idle_close = state.stop.has_elapsed(IDLE_CLOSE_DELAY);
    // Such connections may stay idle, so the shutdown does not wait for them.
    let _connection_guard = (!opened_after_idle_close).then(|| state.in_flight.enter_connection());
    let idle_close_due = async {
        if opened_after_idle_close {
            std::future::pending::<()>().await;
        }
        state.stop.wait_elapsed(IDLE_CLOSE_DELAY).await;
        progress.wait_idle().await;
        false
    };
    if !connection_ended.or(idle_close_due).await {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
    if context.has_unread_body.load(Ordering::Acquire) {
        lingering_close::close(stream).await;
    } else {
        connection_limits::close_expired(stream, &progress).await;
    }
}

/// What the requests of one connection share.
#[derive(Debug, Clone)]
struct ConnectionContext {
    state: Arc<GatewayState>,
    signal: FlushSignal,
    /// True when the last request was rejected before its body was read.
    has_unread_body: Arc<AtomicBool>,
}

impl ConnectionContext {
    fn new(state: &Arc<GatewayState>) -> Self {
        let signal = FlushSignal::default();
        ConnectionContext { state: Arc::clone(state), signal, has_unread_body: Arc::default() }
    }
}

async fn handle_request<C: PlatformCodec>(
    context: ConnectionContext,
    request: Request<Incoming>,
) -> Result<Response<OrderedBody<GatewayBody>>, CallAborted> {
    let ConnectionContext { state, signal, has_unread_body } = context;
    let _in_flight = state.in_flight.enter_request();
    let outcome = match connection_limits::reject_large_head(&state, &request) {
        Some(response) => ReadOutcome::RejectedUnread(response),
        None => read_call::<C>(&state, request).await?,
    };
    let is_unread = matches!(outcome, ReadOutcome::RejectedUnread(_));
    has_unread_body.store(is_unread, Ordering::Release);
    let mut response = match outcome {
        ReadOutcome::Call(call) => forward::forward::<C>(&state, call).await,
        ReadOutcome::Rejected(response) | ReadOutcome::RejectedUnread(response) => response,
    };
    if state.stop.has_elapsed(BALANCER_NOTICE_DELAY) {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response.map(|body| OrderedBody::new(body, signal)))
}
