//! The HTTP server: accepts connections and passes each request to a [`RequestHandler`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use serde::de::DeserializeOwned;
use smol::net::TcpListener;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolTimer;

use crate::caller_watch::ReadWatch;
use crate::caller_watch::wait_left;
use crate::filtered_stream::FilteredStream;
use crate::lingering_close;
use crate::panics;
use crate::pool;
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

/// Accepts connections on `listener` until the process stops, and serves each with `handler` on
/// the worker pool.
pub async fn serve<H: RequestHandler>(listener: TcpListener, handler: Arc<H>) {
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                tracing::warn!(event = 9001, %error, "accept failed");
                smol::Timer::after(Duration::from_millis(50)).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        pool::spawn(async move {
            let service = service_fn(move |request| {
                let handler = handler.clone();
                async move { Ok::<_, std::convert::Infallible>(respond(&*handler, request, peer).await) }
            });
            let watch = ReadWatch::default();
            let watched_stream = FilteredStream::new(stream.clone(), watch.clone());
            let served = async {
                let _ = http1::Builder::new()
                    .timer(SmolTimer::new())
                    .header_read_timeout(HEADER_READ_TIMEOUT)
                    .serve_connection(FuturesIo::new(watched_stream), service)
                    .await;
            };
            served.or(wait_left(&stream, &watch)).await;
            lingering_close::close(stream).await;
        });
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

/// Reads a complete request body of at most [`MAX_BODY_BYTES`] within `BODY_READ_TIMEOUT`. The
/// error is a message for the caller.
pub async fn read_body(body: Incoming) -> Result<Bytes, String> {
    let read = async {
        match Limited::new(body, MAX_BODY_BYTES).collect().await {
            Ok(collected) => Ok(collected.to_bytes()),
            Err(error) => Err(format!("reading the request body: {error}")),
        }
    };
    let timed_out = async {
        smol::Timer::after(BODY_READ_TIMEOUT).await;
        Err(format!("the request body did not arrive within {BODY_READ_TIMEOUT:?}"))
    };
    read.or(timed_out).await
}

/// Reads a request body like [`read_body`], for stand-ins. The error is a 400 response.
pub async fn read_body_or_reject(body: Incoming) -> Result<Bytes, Response<ReplyBody>> {
    read_body(body).await.map_err(|message| bad_request(&message))
}

/// Parses `body` as JSON. The error is a 400 response.
pub fn parse_or_reject<T: DeserializeOwned>(body: &[u8]) -> Result<T, Response<ReplyBody>> {
    serde_json::from_slice(body).map_err(|error| bad_request(&error.to_string()))
}

fn bad_request(message: &str) -> Response<ReplyBody> {
    reply::rejection(StatusCode::BAD_REQUEST, "bad_request", message, None)
}
