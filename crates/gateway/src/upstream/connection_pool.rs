//! A pool of idle connections to backend servers.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::SendTarget;
use super::ServerConnection;
use crate::model::ServerIncarnation;
use crate::model::ServerKey;
use crate::state_lock::StateLock;

/// How long an idle connection is kept if the server states no keep-alive timeout: shorter than
/// the idle timeouts that servers commonly use.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(3);
/// Subtracted from a server's keep-alive timeout, which starts at the server and is stated in
/// whole seconds.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Maximum number of idle connections to one server. A server accepts a bounded number from all
/// gateways, and few are idle at once at the request rate of one gateway.
const MAX_IDLE_PER_SERVER: usize = 6;

#[derive(Debug)]
struct IdleConnection {
    /// The incarnation of the server that it is connected to.
    incarnation: ServerIncarnation,
    connection: ServerConnection,
    expires_at: Instant,
}

/// Idle connections by server. The newest is used first, so that the pool stays small and its
/// connections are used often.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: StateLock<HashMap<ServerKey, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes a connection to `target` that is expected to be open.
    pub fn take(&self, target: &SendTarget, now: Instant) -> Option<ServerConnection> {
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&target.server)?;
        while let Some(newest) = connections.pop() {
            let is_same_incarnation = newest.incarnation == target.incarnation;
            if is_same_incarnation && now < newest.expires_at && !newest.connection.is_closed() {
                return Some(newest.connection);
            }
        }
        None
    }

    /// Adds a connection whose response was read completely. `server_keep_alive` is the
    /// keep-alive timeout that the server states.
    pub fn put(
        &self,
        target: &SendTarget,
        connection: ServerConnection,
        server_keep_alive: Option<Duration>,
        now: Instant,
    ) {
        let keep_alive = server_keep_alive
            .map_or(DEFAULT_KEEP_ALIVE, |time| time.saturating_sub(KEEP_ALIVE_MARGIN));
        if keep_alive.is_zero() || !connection.is_reusable() {
            return;
        }
        let mut idle = self.idle.lock();
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

    /// Closes the connections to a server that was removed.
    pub fn remove_server(&self, server: &str) {
        self.idle.lock().remove(server);
    }

    /// Closes expired connections.
    pub fn remove_expired(&self, now: Instant) {
        let mut idle = self.idle.lock();
        idle.retain(|_, connections| {
            connections.retain(|old| now < old.expires_at && !old.connection.is_closed());
            !connections.is_empty()
        });
    }

    /// Returns the number of idle connections.
    pub fn len(&self) -> usize {
        self.idle.lock().values().map(Vec::len).sum()
    }

    /// Returns true when there are no idle connections.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
