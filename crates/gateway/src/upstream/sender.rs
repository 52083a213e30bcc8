//! Sends a request to a server, on a pooled connection if there is one.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_lite::FutureExt;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use snafu::ResultExt;
use umberglade_wire::pool;

use super::ConnectionPool;
use super::PooledConnection;
use super::SendError;
use super::send_error::ConnectSnafu;
use super::send_error::ConnectTimeoutSnafu;
use super::send_error::HandshakeSnafu;
use crate::model::ServerIncarnation;
use crate::model::ServerKey;

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
    /// False when a pooled connection might contain stray bytes.
    pub may_reuse: bool,
}

/// Sends `request` and returns the response head and its connection. The body is not read yet.
pub async fn send(
    pool: &ConnectionPool,
    target: &SendTarget,
    request: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, PooledConnection), SendError> {
    let mut request = request;
    if target.may_reuse {
        while let Some(mut pooled) = pool.take(target, Instant::now()) {
            match pooled.try_send_request(request).await {
                Ok(response) => return Ok((response, pooled)),
                // The connection closed before anything was written on it, so the request can
                // be sent again.
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => {
                        let source = error.into_error();
                        return Err(SendError::Broken { peer: target.address, source });
                    }
                },
            }
        }
    }
    let mut new_connection = connect(target.address).await?;
    match new_connection.try_send_request(request).await {
        Ok(response) => Ok((response, new_connection)),
        Err(mut error) => {
            let is_unsent = error.take_message().is_some();
            let (peer, source) = (target.address, error.into_error());
            Err(if is_unsent {
                SendError::ClosedAtOnce { peer, source }
            } else {
                SendError::Broken { peer, source }
            })
        }
    }
}

async fn connect(peer: SocketAddr) -> Result<PooledConnection, SendError> {
    metrics::counter!("umberglade_connections_opened_total").increment(1);
    let open = async { TcpStream::connect(peer).await.context(ConnectSnafu { peer }) };
    let timed_out = async {
        smol::Timer::after(CONNECT_TIMEOUT).await;
        ConnectTimeoutSnafu { peer, timeout_ms: CONNECT_TIMEOUT.as_millis() as u64 }.fail()
    };
    let stream = open.or(timed_out).await?;
    // Without `TCP_NODELAY`, the events of a stream wait for the acknowledgement of earlier
    // ones. A failure to set it only costs that delay.
    let _ = stream.set_nodelay(true);
    let (sender, connection) =
        http1::handshake(FuturesIo::new(stream)).await.context(HandshakeSnafu { peer })?;
    pool::spawn(async move {
        // The error also reaches the sender, which waits for the response.
        let _ = connection.await;
    });
    Ok(sender)
}
