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
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use umberglade_wire::caller_watch::ReadWatch;
use umberglade_wire::caller_watch::is_closed_by_peer;
use umberglade_wire::caller_watch::wait_left;
use umberglade_wire::filtered_stream::FilteredStream;
use umberglade_wire::lingering_close;
use umberglade_wire::memory::ConnectionShare;
use umberglade_wire::memory::GuardedBody;
use umberglade_wire::memory::MeteredStream;
use umberglade_wire::memory::ReadAhead;
use umberglade_wire::ordered_body::FlushSignal;
use umberglade_wire::ordered_body::OrderedBody;
use umberglade_wire::ordered_body::TrackedStream;
use umberglade_wire::pool;
use umberglade_wire::receive_window;
use umberglade_wire::server::address_owner;

use super::accepted_request::ConnectionRequests;
use super::accepted_request::RequestGuard;
use super::accepted_request::RequestTracker;
use super::answer_body::AnswerBody;
use super::connection_end::ConnectionEnd;
use super::connection_end::EndReason;
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
use crate::forward::Rejection;
use crate::forward::RequestStage;
use crate::forward::reject;
use crate::panics;
use crate::panics::PanicMessage;
use crate::state::GatewayState;
use crate::stop::BALANCER_NOTICE_DELAY;
use crate::stop::IDLE_CLOSE_DELAY;

/// Delay after a failed accept, which mostly means that file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts callers until the process stops.
pub async fn serve_front<C: PlatformCodec>(listener: TcpListener, state: Arc<GatewayState>) {
    receive_window::limit(&listener);
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                // A refusal is counted and logged by the budget; the connection is closed unread.
                let admitted = state.caller_memory.admit(address_owner(peer)).await;
                let Ok(share) = admitted else { continue };
                // Sends responses as soon as they are written; a failure only costs latency.
                let _ = stream.set_nodelay(true);
                pool::spawn(serve_connection::<C>(stream, share, Arc::clone(&state)));
            }
            Err(error) => {
                tracing::warn!(event = events::ACCEPT_FAILED, %error, "accept failed");
                smol::Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<C: PlatformCodec>(
    stream: TcpStream,
    share: ConnectionShare,
    state: Arc<GatewayState>,
) {
    let signal = FlushSignal::default();
    // Declared before the connection, so dropped after its requests: reports them.
    let mut requests = ConnectionRequests::new(signal.clone());
    let context = ConnectionContext::new(&state, &stream, &share, signal, requests.tracker());
    let ahead = Arc::new(ReadAhead::default());
    let metered_stream = MeteredStream::new(stream.clone(), share.clone(), Arc::clone(&ahead));
    let tracked_stream = TrackedStream::new(metered_stream, context.signal.clone());
    let read_watch = ReadWatch::default();
    let watched_stream = FilteredStream::new(tracked_stream, read_watch.clone());
    let progress = HeadProgress::default();
    let head_stream = HeadStream::new(watched_stream, progress.clone());
    let head_capacity = connection_limits::head_capacity(&state);
    let service_context = context.clone();
    let service = service_fn(move |request| {
        // Boxed, so that an idle connection takes no room for it.
        Box::pin(handle_request::<C>(service_context.clone(), request))
    });
    let connection = http1::Builder::new()
        .timer(HeadTimer::new(Arc::clone(&state), progress.clone()))
        // The timer ends waits by the limits in force, whatever this value.
        .header_read_timeout(Duration::ZERO)
        .max_buf_size(head_capacity)
        .serve_connection(FuturesIo::new(head_stream), service);
    let mut connection = pin!(connection);
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
        None
    };
    let served = async {
        let connection_ended = async { Some(connection.as_mut().await) };
        let result = match connection_ended.or(idle_close_due).await {
            Some(result) => result,
            None => {
                connection.as_mut().graceful_shutdown();
                connection.as_mut().await
            }
        };
        ConnectionEnd::of(result)
    };
    let process_stopped = async {
        state.stop.wait_ended().await;
        ConnectionEnd::without_error(EndReason::ProcessStopped)
    };
    let caller_left = async {
        wait_left(&stream, &read_watch, &ahead, &share).await;
        ConnectionEnd::without_error(EndReason::CallerLeft)
    };
    let yielded = async {
        share.wait_yielded().await;
        ConnectionEnd::without_error(EndReason::MadeRoom)
    };
    let end = served.or(caller_left).or(process_stopped).or(yielded).await;
    let has_yielded = end.reason == EndReason::MadeRoom;
    requests.record_end(end);
    if has_yielded {
        return;
    }
    if context.has_unread_body.load(Ordering::Acquire) {
        lingering_close::close(stream, &share).await;
    } else {
        connection_limits::close_expired(stream, &share, &progress).await;
    }
}

/// What the requests of one connection share.
#[derive(Debug, Clone)]
struct ConnectionContext {
    state: Arc<GatewayState>,
    stream: TcpStream,
    share: ConnectionShare,
    signal: FlushSignal,
    tracker: RequestTracker,
    /// True when the last request was rejected before its body was read.
    has_unread_body: Arc<AtomicBool>,
}

impl ConnectionContext {
    fn new(
        state: &Arc<GatewayState>,
        stream: &TcpStream,
        share: &ConnectionShare,
        signal: FlushSignal,
        tracker: RequestTracker,
    ) -> Self {
        let (state, stream, share) = (Arc::clone(state), stream.clone(), share.clone());
        ConnectionContext { state, stream, share, signal, tracker, has_unread_body: Arc::default() }
    }
}

/// The response to a request.
struct RequestOutcome {
    response: Response<GatewayBody>,
    /// True when the request is rejected before its body was read.
    is_unread: bool,
}

async fn handle_request<C: PlatformCodec>(
    context: ConnectionContext,
    request: Request<Incoming>,
) -> Result<Response<GuardedBody<AnswerBody<OrderedBody<GatewayBody>>>>, CallAborted> {
    let ConnectionContext { state, stream, share, signal, tracker, has_unread_body } = context;
    let request_end = share.begin_request();
    let _in_flight = state.in_flight.enter_request();
    let mut guard = tracker.begin();
    let method = request.method().clone();
    let has_no_body = request.body().is_end_stream();
    let outcome =
        match panics::catch(respond::<C>(&state, &stream, &share, request, &mut guard)).await {
            Ok(outcome) => outcome?,
            Err(message) => reject_panicked(&guard, &message),
        };
    let RequestOutcome { mut response, is_unread } = outcome;
    has_unread_body.store(is_unread, Ordering::Release);
    if state.stop.has_elapsed(BALANCER_NOTICE_DELAY) || share.is_evicted() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    if is_unread && !has_no_body {
        // Not accepted: its caller may close the connection while it still sends the body.
        guard.dismiss();
    }
    let response = response.map(|body| OrderedBody::new(body, signal));
    let response = AnswerBody::wrap(response, &method, guard);
    Ok(response.map(|body| request_end.attach(body)))
}

/// Reads and forwards `request`, unless its caller has left.
async fn respond<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    stream: &TcpStream,
    share: &ConnectionShare,
    request: Request<Incoming>,
    guard: &mut RequestGuard,
) -> Result<RequestOutcome, CallAborted> {
    if let Some(response) = connection_limits::reject_large_head(state, &request) {
        return Ok(RequestOutcome { response, is_unread: true });
    }
    let outcome = match read_call::<C>(state, share, request, guard).await? {
        ReadOutcome::Call(_) if is_closed_by_peer(stream) => return Err(CallAborted),
        ReadOutcome::Call(call) => {
            // Boxed, so that a body that arrives takes no room for it.
            let response = Box::pin(forward::forward::<C>(state, call)).await;
            RequestOutcome { response, is_unread: false }
        }
        ReadOutcome::Rejected(response) => RequestOutcome { response, is_unread: false },
        ReadOutcome::RejectedUnread(response) => RequestOutcome { response, is_unread: true },
    };
    Ok(outcome)
}

/// Rejects a request whose handling panicked: a server may have run it.
fn reject_panicked(guard: &RequestGuard, message: &PanicMessage) -> RequestOutcome {
    let stage = guard.progress().stage();
    tracing::error!(
        event = events::REQUEST_PANICKED,
        request_id = guard.request_id(),
        stage = %stage,
        problem = message.as_str(),
        "handling a request panicked"
    );
    let response = reject(Rejection::OutcomeUnknown, None);
    RequestOutcome { response, is_unread: stage == RequestStage::Receiving }
}
