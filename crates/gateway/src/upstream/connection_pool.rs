//! Kept connections to backend servers.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;

use super::SendTarget;
use crate::model::ServerIncarnation;
use crate::model::ServerKey;

/// How long a connection is connections when the server does not say: under the
/// idle timeouts that servers commonly use.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(3);
/// Taken off the time a server states, which it counts from its own side
/// and in whole seconds.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Idle connections connections to one server. A server accepts a bounded number
/// from all gateways; few are idle at once at one gateway's pace.
const MAX_IDLE_PER_SERVER: usize = 6;

/// A connection on which requests can be sent, one at a time.
pub type PooledConnection = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct IdleConnection {
    /// The start of the server that it leads to.
    incarnation: ServerIncarnation,
    connection: PooledConnection,
    expires_at: Instant,
}

/// Idle connections, by server; the newest is used first, so that few are
/// connections and these are used often.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<ServerKey, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes a connection that should still be open.
    pub fn take(&self, target: &SendTarget, now: Instant) -> Option<PooledConnection> {
        let mut idle = self.idle.lock().expect("pool lock");
        let connections = idle.get_mut(&target.server)?;
        while let Some(newest) = connections.pop() {
            let is_same_incarnation = newest.incarnation == target.incarnation;
            if is_same_incarnation && now < newest.expires_at && !newest.connection.is_closed() {
                return Some(newest.connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read whole. `stated` is how long
    /// the server says it keeps it.
    pub fn put(
        &self,
        target: &SendTarget,
        connection: PooledConnection,
        server_keep_alive: Option<Duration>,
        now: Instant,
    ) {
        let keep_alive = server_keep_alive
            .map_or(DEFAULT_KEEP_ALIVE, |time| time.saturating_sub(KEEP_ALIVE_MARGIN));
        if keep_alive.is_zero() || connection.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().expect("pool lock");
        let connections = idle.entry(target.server.clone()).or_default();
        connections.retain(|old| now < old.expires_at && !old.connection.is_closed());
        if connections.len() < MAX_IDLE_PER_SERVER {
            let incarnation = target.incarnation;
            connections.push(IdleConnection {
                incarnation,
                connection,
                expires_at: now + keep_alive,
            });
        }
    }

    /// Drops the connections to a server that is gone.
    pub fn remove_server(&self, server: &str) {
        self.idle.lock().expect("pool lock").remove(server);
    }

    /// Drops connections that are past their time.
    pub fn remove_expired(&self, now: Instant) {
        let mut idle = self.idle.lock().expect("pool lock");
        idle.retain(|_, connections| {
            connections.retain(|old| now < old.expires_at && !old.connection.is_closed());
            !connections.is_empty()
        });
    }

    /// Connections connections now.
    pub fn len(&self) -> usize {
        self.idle.lock().expect("pool lock").values().map(Vec::len).sum()
    }

    /// True when none is connections.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
