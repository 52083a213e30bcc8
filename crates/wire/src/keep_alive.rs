//! An HTTP client that reuses its keep-alive connection.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use snafu::ResultExt;

use crate::client::HttpClient;
use crate::client::with_timeout;
use crate::error::HttpSnafu;
use crate::error::WireError;

/// The head and the complete body of a response.
#[derive(Debug, Clone)]
pub struct BufferedResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// An HTTP client with one peer, one keep-alive connection and one exchange at a time, for reads
/// that are repeated until the process stops.
///
/// Prevents stalls on a connection that does not respond any more: each exchange has its own
/// timeout, and any failure drops the connection, so that the next exchange opens a new one.
#[derive(Debug)]
pub struct KeepAliveClient {
    http: HttpClient,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl KeepAliveClient {
    /// Creates an unconnected client for `peer` (for example `"127.0.0.1:7100"`).
    pub fn new(peer: impl Into<String>) -> Self {
        KeepAliveClient { http: HttpClient::new(peer, Duration::MAX), sender: None }
    }

    /// Returns the address of the peer as `host:port`.
    pub fn peer(&self) -> &str {
        &self.http.peer
    }

    /// Sends a `GET` for `path` and reads the complete response within `timeout`. `step` names the
    /// exchange in errors.
    pub async fn get(
        &mut self,
        step: &'static str,
        path: &str,
        timeout: Duration,
    ) -> Result<BufferedResponse, WireError> {
        self.call(step, Method::GET, path, Bytes::new(), timeout).await
    }

    /// Sends any method and body, otherwise like [`KeepAliveClient::get`].
    pub async fn call(
        &mut self,
        step: &'static str,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<BufferedResponse, WireError> {
        let open_sender = self.take_sender();
        let request = self.request(method, path, body);
        let exchange = exchange(&self.http, open_sender, step, request);
        let (sender, reply) = with_timeout(step, &self.http.peer, timeout, exchange).await?;
        self.sender = Some(sender);
        Ok(reply)
    }

    /// Sends a `GET` for `path` and reads the complete response, however long that takes while
    /// bytes arrive. `received` counts the bytes of the body.
    ///
    /// Prevents a large response on a slow link, or the response of a slow peer, from being cut
    /// short and requested again from its beginning.
    pub async fn get_patiently(
        &mut self,
        step: &'static str,
        path: &str,
        limits: SilenceLimits,
        received: &AtomicUsize,
    ) -> Result<BufferedResponse, WireError> {
        let open_sender = self.take_sender();
        let request = self.request(Method::GET, path, Bytes::new());
        let peer = self.http.peer.as_str();
        let head = receive_head(&self.http, open_sender, step, request);
        let (sender, response) = with_timeout(step, peer, limits.head, head).await?;
        let (head, mut body) = response.into_parts();
        let mut bytes = Vec::with_capacity(expected_length(&body));
        while let Some(frame) = next_frame(&mut body, limits.body).await.ok_or_else(|| {
            let silence_ms = limits.body.as_millis() as u64;
            WireError::Silent { step, peer: peer.to_owned(), silence_ms, received: bytes.len() }
        })? {
            let frame = frame.context(HttpSnafu { step, peer })?;
            bytes.extend_from_slice(&frame.into_data().unwrap_or_default());
            received.store(bytes.len(), Ordering::Relaxed);
        }
        self.sender = Some(sender);
        Ok(BufferedResponse { status: head.status, headers: head.headers, body: bytes.into() })
    }

    fn take_sender(&mut self) -> Option<SendRequest<Full<Bytes>>> {
        self.sender.take().filter(|sender| !sender.is_closed())
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> Request<Full<Bytes>> {
        Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, &self.http.peer)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .expect("a request built from a valid path")
    }
}

/// How long a peer may send nothing before an exchange counts as failed.
#[derive(Debug, Clone, Copy)]
pub struct SilenceLimits {
    /// Until the head of the response.
    pub head: Duration,
    /// Between two pieces of the body.
    pub body: Duration,
}

/// Maximum memory reserved on the word of a response's head, in bytes.
const MAX_RESERVED_BYTES: u64 = 16 * 1024 * 1024;

fn expected_length(body: &Incoming) -> usize {
    body.size_hint().exact().unwrap_or(0).min(MAX_RESERVED_BYTES) as usize
}

/// Returns the next frame of `body`, or `None` if nothing arrives for `silence`.
async fn next_frame(
    body: &mut Incoming,
    silence: Duration,
) -> Option<Option<Result<Frame<Bytes>, hyper::Error>>> {
    let expired = async {
        smol::Timer::after(silence).await;
        None
    };
    async { Some(body.frame().await) }.or(expired).await
}

async fn exchange(
    http: &HttpClient,
    open_sender: Option<SendRequest<Full<Bytes>>>,
    step: &'static str,
    request: Request<Full<Bytes>>,
) -> Result<(SendRequest<Full<Bytes>>, BufferedResponse), WireError> {
    let peer = http.peer.as_str();
    let (sender, response) = receive_head(http, open_sender, step, request).await?;
    let (head, body) = response.into_parts();
    let body = body.collect().await.context(HttpSnafu { step, peer })?.to_bytes();
    Ok((sender, BufferedResponse { status: head.status, headers: head.headers, body }))
}

/// Sends `request` and receives the head of the response.
async fn receive_head(
    http: &HttpClient,
    open_sender: Option<SendRequest<Full<Bytes>>>,
    step: &'static str,
    request: Request<Full<Bytes>>,
) -> Result<(SendRequest<Full<Bytes>>, Response<Incoming>), WireError> {
    let peer = http.peer.as_str();
    let mut sender = match open_sender {
        Some(sender) => sender,
        None => http.connect(step).await?,
    };
    let response = sender.send_request(request).await.context(HttpSnafu { step, peer })?;
    Ok((sender, response))
}
