//! A client's HTTP connection, on which no answer is read beyond a bound.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use smol::Task;
use smol_hyper::rt::FuturesIo;
use snafu::Snafu;

use crate::filtered_stream::FilteredStream;
use crate::pool;
use crate::read_allowance::ReadAllowance;
use crate::request_content::RequestContent;

/// Maximum size of the head of an answer, and of what is read of its body at once, in bytes.
pub const MAX_HEAD_BYTES: usize = 64 * 1024;

/// A connection that sends requests one at a time. It is closed once it and the bodies of its
/// answers have been dropped, whatever the peer does.
#[derive(Debug)]
pub struct ClientConnection {
    sender: SendRequest<RequestContent>,
    allowance: ReadAllowance,
    /// Drives the connection.
    task: Arc<Task<()>>,
}

impl ClientConnection {
    /// Begins to speak HTTP on `stream`.
    pub async fn open<S>(stream: S) -> hyper::Result<Self>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let allowance = ReadAllowance::default();
        let stream = FuturesIo::new(FilteredStream::new(stream, allowance.clone()));
        let (sender, connection) =
            http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(stream).await?;
        let task = pool::spawn_joined(async move {
            // The error also reaches the sender, which waits for the response.
            let _ = connection.await;
        });
        Ok(ClientConnection { sender, allowance, task: Arc::new(task) })
    }

    /// Sends `request`. On failure the error contains it if nothing of it was written.
    pub async fn send(
        &mut self,
        request: Request<RequestContent>,
    ) -> Result<Response<ResponseBody>, TrySendError<Request<RequestContent>>> {
        self.allowance.renew();
        let response = self.sender.try_send_request(request).await?;
        self.allowance.renew();
        let (allowance, task) = (self.allowance.clone(), Arc::clone(&self.task));
        Ok(response.map(|body| ResponseBody { body, allowance, _task: task }))
    }

    /// Waits until the connection can send another request.
    pub async fn ready(&mut self) -> hyper::Result<()> {
        self.sender.ready().await
    }

    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// The body of an answer.
#[derive(Debug)]
pub struct ResponseBody {
    body: Incoming,
    allowance: ReadAllowance,
    /// Keeps the connection open until the body has been read.
    _task: Arc<Task<()>>,
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        self.allowance.renew();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Returns true for a status that an answer can have.
///
/// No interim one is final: the client has taken those before the answer, but for 101, as it never
/// asks for another protocol.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns true when `error` shows bytes that are no answer, or no end of one, rather than a
/// connection that broke.
pub fn is_malformed(error: &hyper::Error) -> bool {
    if error.is_parse() {
        return true;
    }
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        let io_error = cause.downcast_ref::<io::Error>();
        if io_error.is_some_and(is_malformed_io) {
            return true;
        }
        source = cause.source();
    }
    false
}

/// Returns true for what a body's decoder and a spent [`ReadAllowance`] report.
fn is_malformed_io(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput)
}

/// Why a body was not read to its end.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum BodyError {
    #[snafu(display("{source}"))]
    Broken { source: hyper::Error },
    #[snafu(display("the body is longer than {limit} bytes"))]
    TooLong { limit: usize },
}

impl BodyError {
    /// Returns true when the peer sent bytes that are no answer.
    pub fn is_malformed(&self) -> bool {
        match self {
            BodyError::Broken { source } => is_malformed(source),
            BodyError::TooLong { .. } => true,
        }
    }
}

/// Reads `body` to its end, which must come within `limit` bytes.
pub async fn read_whole(body: ResponseBody, limit: usize) -> Result<Bytes, BodyError> {
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => TooLongSnafu { limit }.fail(),
        Err(error) => {
            let source = *error.downcast::<hyper::Error>().expect("the error of the body");
            Err(BodyError::Broken { source })
        }
    }
}
