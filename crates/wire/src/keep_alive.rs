//! A client that keeps its connection open between exchanges.

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

/// A whole answer: its status and body.
#[derive(Debug, Clone)]
pub struct BufferedResponse {
    pub status: StatusCode,
    pub body: Bytes,
}

/// One peer, one connection, one exchange at a time; for reads that are
/// repeated for as long as the process lives.
///
/// Guards against a kept connection that has gone silent for good: each
/// exchange is bounded by its own timeout, and whatever fails drops the
/// connection, so the next exchange begins on a fresh one.
#[derive(Debug)]
pub struct KeepAliveClient {
    http: HttpClient,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl KeepAliveClient {
    /// A client for `peer` (`"127.0.0.1:7100"`), not connected yet.
    pub fn new(peer: impl Into<String>) -> Self {
        KeepAliveClient { http: HttpClient::new(peer, Duration::MAX), sender: None }
    }

    /// The peer's address.
    pub fn peer(&self) -> &str {
        &self.http.peer
    }

    /// Reads `path` whole within `timeout`. `step` names the exchange in
    /// errors.
    pub async fn get(
        &mut self,
        step: &'static str,
        path: &str,
        timeout: Duration,
    ) -> Result<BufferedResponse, WireError> {
        self.call(step, Method::GET, path, Bytes::new(), timeout).await
    }

    /// Like [`KeptClient::get`] with any method and body.
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
