//! The HTTP client that opens one connection per exchange, with a timeout for each step.
//!
//! Every exchange opens a new connection on purpose: a pooled connection that does not respond
//! any more, because a middlebox has dropped its state for it, would stall every request sent on
//! it, while a new connection works.

use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use http::Method;
use http::Request;
use http::Response;
use http::header;
use hyper::client::conn::TrySendError;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::net::TcpStream;
use snafu::ResultExt;

use crate::client_connection::ClientConnection;
use crate::client_connection::ResponseBody;
use crate::client_connection::is_final;
use crate::client_connection::read_whole;
use crate::error::BodySnafu;
use crate::error::ConnectSnafu;
use crate::error::DecodeSnafu;
use crate::error::HttpSnafu;
use crate::error::NoAnswerSnafu;
use crate::error::WireError;
use crate::request_content::RequestContent;

/// Maximum size of the body of a response that is held whole, in bytes: twice the largest object of
/// the platform's store.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// An HTTP client for one peer, with a timeout per exchange.
#[derive(Debug, Clone)]
pub struct HttpClient {
    /// The address of the peer as `host:port`.
    pub peer: String,
    /// The time limit for connecting and receiving the response head together.
    pub timeout: Duration,
}

impl HttpClient {
    /// Creates a client for `peer` (for example `"127.0.0.1:7100"`) with `timeout` per exchange.
    pub fn new(peer: impl Into<String>, timeout: Duration) -> Self {
        HttpClient { peer: peer.into(), timeout }
    }

    /// Sends one request and returns the response with its body unread, so that the body can be
    /// streamed. `step` names the exchange in errors.
    pub async fn send(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        body: Option<Bytes>,
    ) -> Result<Response<ResponseBody>, WireError> {
        let request = Request::builder().method(method).uri(path);
        self.send_with(step, request, body.unwrap_or_default()).await
    }

    /// Sends one request like [`HttpClient::send`], with the method, path and headers that are set
    /// in `request`.
    pub async fn send_with(
        &self,
        step: &'static str,
        request: http::request::Builder,
        body: Bytes,
    ) -> Result<Response<ResponseBody>, WireError> {
        let exchange = self.exchange(step, request, body);
        with_timeout(step, &self.peer, self.timeout, exchange).await
    }

    /// Opens a connection to the peer.
    pub(crate) async fn connect(&self, step: &'static str) -> Result<ClientConnection, WireError> {
        let peer = self.peer.as_str();
        let stream = TcpStream::connect(peer).await.context(ConnectSnafu { step, peer })?;
        let _ = stream.set_nodelay(true);
        ClientConnection::open(stream).await.context(HttpSnafu { step, peer })
    }

    async fn exchange(
        &self,
        step: &'static str,
        request: http::request::Builder,
        body: Bytes,
    ) -> Result<Response<ResponseBody>, WireError> {
        let peer = self.peer.as_str();
        let mut connection = self.connect(step).await?;
        let request = request
            .header(header::HOST, peer)
            .header(header::CONTENT_TYPE, "application/json")
            .body(RequestContent::from(body))
            .expect("a request built from a valid path");
        let sent = connection.send(request).await.map_err(TrySendError::into_error);
        let response = sent.context(HttpSnafu { step, peer })?;
        let status = response.status();
        if !is_final(status) {
            return NoAnswerSnafu { step, peer, status: status.as_u16() }.fail();
        }
        Ok(response)
    }

    /// Sends `body` as JSON and decodes the JSON body of a response with a 2xx status. Any other
    /// status is a [`WireError::Status`].
    pub async fn call<B: Serialize, T: DeserializeOwned>(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        body: Option<&B>,
    ) -> Result<T, WireError> {
        let encoded =
            body.map(|value| Bytes::from(serde_json::to_vec(value).expect("serialising")));
        let response = self.send(step, method, path, encoded).await?;
        let bytes = self.read_full_body(step, response).await?;
        serde_json::from_slice(&bytes).context(DecodeSnafu { step, peer: self.peer.as_str() })
    }

    /// Reads the complete body of `response`. A status outside 2xx is a [`WireError::Status`] with
    /// the body and the `Retry-After` seconds, if any.
    pub async fn read_full_body(
        &self,
        step: &'static str,
        response: Response<ResponseBody>,
    ) -> Result<Bytes, WireError> {
        let status = response.status();
        let retry_after_s = retry_after(&response);
        let peer = self.peer.as_str();
        let body = async {
            read_whole(response.into_body(), MAX_RESPONSE_BYTES)
                .await
                .context(BodySnafu { step, peer })
        };
        let bytes = with_timeout(step, peer, self.timeout, body).await?;
        if !status.is_success() {
            return Err(WireError::Status {
                step,
                peer: self.peer.clone(),
                status: status.as_u16(),
                retry_after_s,
                body: String::from_utf8_lossy(&bytes).into_owned(),
            });
        }
        Ok(bytes)
    }
}

/// Runs `exchange`, or returns [`WireError::Timeout`] when `timeout` expires first.
pub(crate) async fn with_timeout<T>(
    step: &'static str,
    peer: &str,
    timeout: Duration,
    exchange: impl Future<Output = Result<T, WireError>>,
) -> Result<T, WireError> {
    let expired = async {
        smol::Timer::after(timeout).await;
        let timeout_ms = timeout.as_millis() as u64;
        Err(WireError::Timeout { step, peer: peer.to_owned(), timeout_ms })
    };
    exchange.or(expired).await
}

/// Returns the `Retry-After` header of `response` in seconds, if it is present and an integer.
pub fn retry_after<B>(response: &Response<B>) -> Option<u64> {
    response
        .headers()
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
}
