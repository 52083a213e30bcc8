//! Sends a request to a server, on a pooled connection if there is one.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use futures_lite::FutureExt;
use http::Request;
use http::Response;
use smol::net::TcpStream;
use snafu::ResultExt;
use umberglade_wire::client_connection::ResponseBody;
use umberglade_wire::client_connection::is_malformed;
use umberglade_wire::request_content::RequestContent;

use super::ConnectionPool;
use super::SendError;
use super::ServerConnection;
use super::ServerPath;
use super::address_map;
use super::send_error::ConnectSnafu;
use super::send_error::ConnectTimeoutSnafu;
use super::send_error::HandshakeSnafu;
use crate::model::ServerIncarnation;
use crate::model::ServerKey;
use crate::timing::with_deadline;

/// Timeout of opening a connection: some ten round trips between failure domains. A server
/// behind a network partition does not respond at all, and the request has to reach another one
/// while its latency target can still be met.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Where a request is sent.
#[derive(Debug, Clone)]
pub struct SendTarget {
    pub server: ServerKey,
    /// The incarnation of the server that the request is for.
    pub incarnation: ServerIncarnation,
    pub address: SocketAddr,
    /// False when a pooled connection might contain stray bytes, or hang.
    pub may_reuse: bool,
}

/// Opens new connections to servers.
pub trait Connect: Sync {
    /// Opens a connection to `target`. Nothing is sent to the server on failure.
    fn connect(
        &self,
        target: &SendTarget,
    ) -> impl Future<Output = Result<ServerConnection, SendError>> + Send;
}

/// Connects to servers directly only.
#[derive(Debug, Clone, Copy)]
pub struct DirectConnector;

impl Connect for DirectConnector {
    async fn connect(&self, target: &SendTarget) -> Result<ServerConnection, SendError> {
        connect_directly(target.address).await
    }
}

/// Sends `request` on a direct connection and returns the response head and its connection. The
/// body is not read yet.
pub async fn send(
    pool: &ConnectionPool,
    target: &SendTarget,
    request: Request<RequestContent>,
) -> Result<(Response<ResponseBody>, ServerConnection), SendError> {
    send_with(&DirectConnector, pool, target, request, None).await
}

/// Like [`send`], on a connection of `connector`. Fails when the response head has not arrived at
/// `deadline`: as not sent if no connection is open by then.
pub async fn send_with<C: Connect>(
    connector: &C,
    pool: &ConnectionPool,
    target: &SendTarget,
    request: Request<RequestContent>,
    deadline: Option<Instant>,
) -> Result<(Response<ResponseBody>, ServerConnection), SendError> {
    let peer = target.address;
    let started_at = Instant::now();
    let mut request = request;
    if target.may_reuse {
        while let Some(mut pooled) = pool.take(target, Instant::now()) {
            match until(deadline, pooled.send(request)).await {
                None => return Err(silent(peer, started_at)),
                Some(Ok(response)) => return Ok((response, pooled)),
                // The connection closed before anything was written on it, so the request can
                // be sent again.
                Some(Err(mut error)) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(failed(peer, error.into_error())),
                },
            }
        }
    }
    let connected = until(deadline, connector.connect(target)).await;
    let mut new_connection = connected.unwrap_or_else(|| connect_timeout(peer, started_at))?;
    match until(deadline, new_connection.send(request)).await {
        None => Err(silent(peer, started_at)),
        Some(Ok(response)) => Ok((response, new_connection)),
        Some(Err(mut error)) => {
            let is_unsent = error.take_message().is_some();
            let source = error.into_error();
            Err(if is_unsent {
                SendError::ClosedAtOnce { peer, source }
            } else {
                failed(peer, source)
            })
        }
    }
}

/// Opens an HTTP connection to the server at `peer`.
pub async fn connect_directly(peer: SocketAddr) -> Result<ServerConnection, SendError> {
    metrics::counter!("umberglade_connections_opened_total").increment(1);
    let stream = connect_tcp(peer).await?;
    ServerConnection::open(stream, ServerPath::Direct).await.context(HandshakeSnafu { peer })
}

/// Opens a TCP connection to the server that has registered `peer` within [`CONNECT_TIMEOUT`].
pub async fn connect_tcp(peer: SocketAddr) -> Result<TcpStream, SendError> {
    let started_at = Instant::now();
    let open = async {
        TcpStream::connect(address_map::reached(peer)).await.context(ConnectSnafu { peer })
    };
    let timed_out = async {
        smol::Timer::after(CONNECT_TIMEOUT).await;
        connect_timeout(peer, started_at)
    };
    let stream = open.or(timed_out).await?;
    // Without `TCP_NODELAY`, the events of a stream wait for the acknowledgement of earlier
    // ones. A failure to set it only costs that delay.
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

/// Returns the output of `future`; `None` if it is still pending at `deadline`.
async fn until<T>(deadline: Option<Instant>, future: impl Future<Output = T>) -> Option<T> {
    match deadline {
        None => Some(future.await),
        Some(deadline) => with_deadline(deadline, future).await,
    }
}

fn connect_timeout<T>(peer: SocketAddr, started_at: Instant) -> Result<T, SendError> {
    ConnectTimeoutSnafu { peer, timeout_ms: started_at.elapsed().as_millis() as u64 }.fail()
}

/// Returns the error of a request that may have been sent.
fn failed(peer: SocketAddr, source: hyper::Error) -> SendError {
    if is_malformed(&source) {
        SendError::Malformed { peer, source }
    } else {
        SendError::Broken { peer, source }
    }
}

fn silent(peer: SocketAddr, started_at: Instant) -> SendError {
    SendError::Silent { peer, timeout_ms: started_at.elapsed().as_millis() as u64 }
}
