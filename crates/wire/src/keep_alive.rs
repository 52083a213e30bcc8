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
use hyper::body::Body;
use hyper::body::Frame;
use hyper::client::conn::TrySendError;
use snafu::ResultExt;

use crate::client::HttpClient;
use crate::client::MAX_RESPONSE_BYTES;
use crate::client::with_timeout;
use crate::client_connection::BodyError;
use crate::client_connection::ClientConnection;
use crate::client_connection::ResponseBody;
use crate::client_connection::read_whole;
use crate::error::BodySnafu;
use crate::error::HttpSnafu;
use crate::error::WireError;
use crate::request_content::RequestContent;

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
    connection: Option<ClientConnection>,
}

impl KeepAliveClient {
    /// Creates an unconnected client for `peer` (for example `"127.0.0.1:7100"`).
    pub fn new(peer: impl Into<String>) -> Self {
        KeepAliveClient { http: HttpClient::new(peer, Duration::MAX), connection: None }
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
        let open_connection = self.take_connection();
        let request = self.request(method, path, body);
        let exchange = exchange(&self.http, open_connection, step, request);
        let (connection, reply) = with_timeout(step, &self.http.peer, timeout, exchange).await?;
        self.connection = Some(connection);
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
        let open_connection = self.take_connection();
        let request = self.request(Method::GET, path, Bytes::new());
        let peer = self.http.peer.as_str();
        let head = receive_head(&self.http, open_connection, step, request);
        let (connection, response) = with_timeout(step, peer, limits.head, head).await?;
        let (head, mut body) = response.into_parts();
        let mut bytes = Vec::with_capacity(expected_length(&body));
        while let Some(frame) = next_frame(&mut body, limits.body).await.ok_or_else(|| {
            let silence_ms = limits.body.as_millis() as u64;
            WireError::Silent { step, peer: peer.to_owned(), silence_ms, received: bytes.len() }
        })? {
            let frame = frame.context(HttpSnafu { step, peer })?;
            bytes.extend_from_slice(&frame.into_data().unwrap_or_default());
            if bytes.len() > MAX_RESPONSE_BYTES {
                let source = BodyError::TooLong { limit: MAX_RESPONSE_BYTES };
                return Err(WireError::Body { step, peer: peer.to_owned(), source });
            }
            received.store(bytes.len(), Ordering::Relaxed);
        }
        self.connection = Some(connection);
        Ok(BufferedResponse { status: head.status, headers: head.headers, body: bytes.into() })
    }

    fn take_connection(&mut self) -> Option<ClientConnection> {
        self.connection.take().filter(|connection| !connection.is_closed())
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> Request<RequestContent> {
        Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, &self.http.peer)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(RequestContent::from(body))
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

fn expected_length(body: &ResponseBody) -> usize {
    body.size_hint().exact().unwrap_or(0).min(MAX_RESPONSE_BYTES as u64) as usize
}

/// Returns the next frame of `body`, or `None` if nothing arrives for `silence`.
async fn next_frame(
    body: &mut ResponseBody,
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
    open_connection: Option<ClientConnection>,
    step: &'static str,
    request: Request<RequestContent>,
) -> Result<(ClientConnection, BufferedResponse), WireError> {
    let peer = http.peer.as_str();
    let (connection, response) = receive_head(http, open_connection, step, request).await?;
    let (head, body) = response.into_parts();
    let body = read_whole(body, MAX_RESPONSE_BYTES).await.context(BodySnafu { step, peer })?;
    Ok((connection, BufferedResponse { status: head.status, headers: head.headers, body }))
}

/// Sends `request` and receives the head of the response.
async fn receive_head(
    http: &HttpClient,
    open_connection: Option<ClientConnection>,
    step: &'static str,
    request: Request<RequestContent>,
) -> Result<(ClientConnection, Response<ResponseBody>), WireError> {
    let peer = http.peer.as_str();
    let mut connection = match open_connection {
        Some(connection) => connection,
        None => http.connect(step).await?,
    };
    let sent = connection.send(request).await.map_err(TrySendError::into_error);
    let response = sent.context(HttpSnafu { step, peer })?;
    Ok((connection, response))
}
