//! The HTTP server: accepts connections and passes each request to a [`RequestHandler`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http::request::Parts;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use serde::de::DeserializeOwned;
use smol::net::TcpListener;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolTimer;
use snafu::Snafu;

use crate::caller_watch::ReadWatch;
use crate::caller_watch::wait_left;
use crate::filtered_stream::FilteredStream;
use crate::lingering_close;
use crate::memory;
use crate::memory::ConnectionShare;
use crate::memory::HeldBody;
use crate::memory::MemoryBudget;
use crate::memory::MeteredStream;
use crate::memory::ReadAhead;
use crate::memory::RequestBodyError;
use crate::panics;
use crate::pool;
use crate::receive_window;
use crate::reply;
use crate::reply::ReplyBody;

/// The time limit for receiving the request headers. Without it, a connection that stops sending
/// would hold a task until the process stops.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// The time limit for receiving the complete request body, for connections that stop sending
/// after the headers.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// The log event of a request whose handling panicked.
pub const HANDLING_PANICKED: u32 = 9002;
/// The `Retry-After` of a request whose handling panicked, in seconds.
const PANIC_RETRY_AFTER_S: u64 = 1;
/// Maximum size of the head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// The largest request body that any umberglade server accepts, in bytes.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Responds to HTTP requests. Implemented by the daemon and by each stand-in.
///
/// Servers are generic over the handler, which avoids dynamic dispatch (`dyn`) on the request
/// path.
pub trait RequestHandler: Send + Sync + 'static {
    /// Returns the response to `request`. `peer` is the address of the caller.
    fn handle(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> impl Future<Output = Response<ReplyBody>> + Send;
}

/// Binds `listen` and returns the listener with the address it is bound to, which shows the port
/// in use when `listen` has port 0.
pub async fn bind(listen: SocketAddr) -> std::io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(listen).await?;
    let local = listener.local_addr()?;
    Ok((listener, local))
}

/// Like [`serve_within`], whatever callers hold: for stand-ins.
pub async fn serve<H: RequestHandler>(listener: TcpListener, handler: Arc<H>) {
    serve_within(listener, handler, MemoryBudget::unlimited()).await;
}

/// Accepts connections on `listener` until the process stops, as far as `budget` has room for them,
/// and serves each with `handler` on the worker pool.
pub async fn serve_within<H: RequestHandler>(
    listener: TcpListener,
    handler: Arc<H>,
    budget: Arc<MemoryBudget>,
) {
    receive_window::limit(&listener);
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                tracing::warn!(event = 9001, %error, "accept failed");
                smol::Timer::after(Duration::from_millis(50)).await;
                continue;
            }
        };
        // A refusal is counted and logged by the budget; the connection is closed unread.
        if let Ok(share) = budget.admit(address_owner(peer)).await {
            let _ = stream.set_nodelay(true);
            pool::spawn(serve_connection(stream, peer, share, Arc::clone(&handler)));
        }
    }
}

/// Identifies the callers at the address of `peer`, for a budget.
pub fn address_owner(peer: SocketAddr) -> u64 {
    crate::digest(peer.ip().to_string().as_bytes())
}

async fn serve_connection<H: RequestHandler>(
    stream: TcpStream,
    peer: SocketAddr,
    share: ConnectionShare,
    handler: Arc<H>,
) {
    let service_share = share.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        let (handler, share) = (Arc::clone(&handler), service_share.clone());
        let request_end = share.begin_request();
        request.extensions_mut().insert(share.clone());
        // Boxed, so that an idle connection takes no room for it.
        Box::pin(async move {
            let mut response = respond(&*handler, request, peer).await;
            if share.is_evicted() {
                response
                    .headers_mut()
                    .insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, std::convert::Infallible>(response.map(|body| request_end.attach(body)))
        })
    });
    let watch = ReadWatch::default();
    let ahead = Arc::new(ReadAhead::default());
    let metered_stream = MeteredStream::new(stream.clone(), share.clone(), Arc::clone(&ahead));
    let watched_stream = FilteredStream::new(metered_stream, watch.clone());
    let served = async {
        let _ = http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(HEADER_READ_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(FuturesIo::new(watched_stream), service)
            .await;
    };
    let ended = async {
        served.or(wait_left(&stream, &watch, &ahead, &share)).await;
        true
    };
    let yielded = async {
        share.wait_yielded().await;
        false
    };
    if ended.or(yielded).await {
        lingering_close::close(stream, &share).await;
    }
}

/// Returns the response of `handler`. If it panics, its caller is told that the request may have
/// run, and the connection and all other requests go on.
async fn respond<H: RequestHandler>(
    handler: &H,
    request: Request<Incoming>,
    peer: SocketAddr,
) -> Response<ReplyBody> {
    let handled = panics::catch(handler.handle(request, peer)).await;
    handled.unwrap_or_else(|problem| {
        tracing::error!(event = HANDLING_PANICKED, %peer, problem, "handling a request panicked");
        let message = "an internal error; whether the request ran is not known";
        let retry_after_s = Some(PANIC_RETRY_AFTER_S);
        reply::rejection(StatusCode::GATEWAY_TIMEOUT, "outcome_unknown", message, retry_after_s)
    })
}

/// Why the body of a request was not read.
#[derive(Debug, Snafu)]
pub enum BodyRejection {
    #[snafu(display("{source}"))]
    Unread { source: RequestBodyError },
    #[snafu(display("the request body did not arrive within {BODY_READ_TIMEOUT:?}"))]
    Late,
}

/// Reads the complete `body` of the request with `head`, of at most [`MAX_BODY_BYTES`] and within
/// `BODY_READ_TIMEOUT`, as far as there is memory for it and for serving the request.
pub async fn read_body(head: &Parts, body: Incoming) -> Result<HeldBody, BodyRejection> {
    let share = head.extensions.get::<ConnectionShare>();
    let share = share.expect("each request carries the share of its connection");
    let read = async {
        let body = memory::read_body(share, body, MAX_BODY_BYTES).await?;
        let room = share.begin_serving().await;
        room.map_err(|source| RequestBodyError::NoMemory { source })?;
        Ok(body)
    };
    let read = async { read.await.map_err(|source| BodyRejection::Unread { source }) };
    let timed_out = async {
        smol::Timer::after(BODY_READ_TIMEOUT).await;
        Err(BodyRejection::Late)
    };
    read.or(timed_out).await
}

/// Reads a request body like [`read_body`], for stand-ins. The error is a 400 response.
pub async fn read_body_or_reject(
    head: &Parts,
    body: Incoming,
) -> Result<Bytes, Response<ReplyBody>> {
    let body = read_body(head, body).await;
    body.map(|body| body.bytes).map_err(|rejection| bad_request(&rejection.to_string()))
}

/// Parses `body` as JSON. The error is a 400 response.
pub fn parse_or_reject<T: DeserializeOwned>(body: &[u8]) -> Result<T, Response<ReplyBody>> {
    serde_json::from_slice(body).map_err(|error| bad_request(&error.to_string()))
}

fn bad_request(message: &str) -> Response<ReplyBody> {
    reply::rejection(StatusCode::BAD_REQUEST, "bad_request", message, None)
}
