//! An HTTP connection to a server, its own or through another gateway.

use std::time::Instant;

use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use http::Request;
use http::Response;
use hyper::client::conn::TrySendError;
use umberglade_wire::client_connection::ClientConnection;
use umberglade_wire::client_connection::ResponseBody;
use umberglade_wire::request_content::RequestContent;

/// How a connection leads to its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerPath {
    Direct,
    /// Through another gateway.
    Tunnel,
}

/// A connection that sends requests one at a time.
#[derive(Debug)]
pub struct ServerConnection {
    connection: ClientConnection,
    pub path: ServerPath,
    /// All responses on the connection come from the process that had this address then.
    pub opened_at: Instant,
}

impl ServerConnection {
    /// Begins to speak HTTP on `stream`.
    pub async fn open<S>(stream: S, path: ServerPath) -> Result<Self, hyper::Error>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let connection = ClientConnection::open(stream).await?;
        Ok(ServerConnection { connection, path, opened_at: Instant::now() })
    }

    /// Sends `request`. On failure the error contains it if nothing of it was written.
    pub async fn send(
        &mut self,
        request: Request<RequestContent>,
    ) -> Result<Response<ResponseBody>, TrySendError<Request<RequestContent>>> {
        self.connection.send(request).await
    }

    /// Waits until the connection can send another request.
    pub async fn ready(&mut self) -> Result<(), hyper::Error> {
        self.connection.ready().await
    }

    /// Returns true if the connection may be kept for other requests. A tunnel carries only one, so
    /// that the log of the other gateway tells of each.
    pub fn is_reusable(&self) -> bool {
        self.path == ServerPath::Direct && !self.is_closed()
    }

    pub fn is_closed(&self) -> bool {
        self.connection.is_closed()
    }
}
