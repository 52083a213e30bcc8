//! An HTTP client that reuses its keep-alive connection.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use snafu::ResultExt;

use crate::client::HttpClient;
use crate::client::with_timeout;
use crate::error::HttpSnafu;
use crate::error::WireError;

/// The status and the complete body of a response.
#[derive(Debug, Clone)]
pub struct BufferedResponse {
    pub status: StatusCode,
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
        let open_sender = self.sender.take().filter(|sender| !sender.is_closed());
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, &self.http.peer)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .expect("a request built from a valid path");
        let exchange = exchange(&self.http, open_sender, step, request);
        let (sender, reply) = with_timeout(step, &self.http.peer, timeout, exchange).await?;
        self.sender = Some(sender);
        Ok(reply)
    }
}

async fn exchange(
    http: &HttpClient,
    open_sender: Option<SendRequest<Full<Bytes>>>,
    step: &'static str,
    request: Request<Full<Bytes>>,
) -> Result<(SendRequest<Full<Bytes>>, BufferedResponse), WireError> {
    let peer = http.peer.as_str();
    let mut sender = match open_sender {
        Some(sender) => sender,
        None => http.connect(step).await?,
    };
    let response = sender.send_request(request).await.context(HttpSnafu { step, peer })?;
    let status = response.status();
    let body = response.into_body().collect().await.context(HttpSnafu { step, peer })?.to_bytes();
    Ok((sender, BufferedResponse { status, body }))
}
