//! Sends one request to one server, on a kept connection if there is one.

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
use super::send_error::BrokenSnafu;
use super::send_error::ConnectSnafu;
use super::send_error::ConnectTimeoutSnafu;
use super::send_error::HandshakeSnafu;
use crate::model::ServerIncarnation;
use crate::model::ServerKey;

/// How long opening a connection may take: some ten round trips between
/// failure domains. A server behind a cut answers nothing at all, and the
/// request goes elsewhere while its target can still be met.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Where a request is sent.
#[derive(Debug, Clone)]
pub struct SendTarget {
    pub server: ServerKey,
    /// The start of the server that is meant.
    pub incarnation: ServerIncarnation,
    pub address: SocketAddr,
    /// False when a kept connection might hold stray bytes.
    pub may_reuse: bool,
}

/// Sends `request`, and returns the answer head with the connection it came
/// on; the body is still unread.
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
                // The connection had closed before anything was written on
                // it: the request is still ours to send.
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
    let response =
        new_connection.send_request(request).await.context(BrokenSnafu { peer: target.address })?;
    Ok((response, new_connection))
}

async fn connect(peer: SocketAddr) -> Result<PooledConnection, SendError> {
    metrics::counter!("umberglade_connections_opened_total").increment(1);
    let open = async { TcpStream::connect(peer).await.context(ConnectSnafu { peer }) };
    let timed_out = async {
        smol::Timer::after(CONNECT_TIMEOUT).await;
        ConnectTimeoutSnafu { peer, timeout_ms: CONNECT_TIMEOUT.as_millis() as u64 }.fail()
    };
    let stream = open.or(timed_out).await?;
    // Without it the events of a stream wait for the acknowledgement of
    // those before; a failure only costs that time.
    let _ = stream.set_nodelay(true);
    let (sender, connection) =
        http1::handshake(FuturesIo::new(stream)).await.context(HandshakeSnafu { peer })?;
    pool::spawn(async move {
        // Its error also reaches whoever waits for the answer.
        let _ = connection.await;
    });
    Ok(sender)
}
