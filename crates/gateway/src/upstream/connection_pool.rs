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

/// How long a connection is kept when the server does not say: under the
/// idle timeouts that servers commonly use.
const DEFAULT_KEEP: Duration = Duration::from_secs(3);
/// Taken off the time a server states, which it counts from its own side
/// and in whole seconds.
const KEEP_MARGIN: Duration = Duration::from_millis(700);
/// Idle connections kept to one server. A server accepts a bounded number
/// from all gateways; few are idle at once at one gateway's pace.
const KEPT_PER_SERVER: usize = 6;

/// A connection on which requests can be sent, one at a time.
pub type KeptConnection = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct IdleConnection {
    /// The start of the server that it leads to.
    incarnation: ServerIncarnation,
    connection: KeptConnection,
    until: Instant,
}

/// Idle connections, by server; the newest is used first, so that few are
/// kept and these are used often.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<ServerKey, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes a connection that should still be open.
    pub fn take(&self, target: &SendTarget, now: Instant) -> Option<KeptConnection> {
        let mut idle = self.idle.lock().expect("pool lock");
        let kept = idle.get_mut(&target.server)?;
        while let Some(newest) = kept.pop() {
            let is_same_start = newest.incarnation == target.incarnation;
            if is_same_start && now < newest.until && !newest.connection.is_closed() {
                return Some(newest.connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read whole. `stated` is how long
    /// the server says it keeps it.
    pub fn keep(
        &self,
        target: &SendTarget,
        connection: KeptConnection,
        stated: Option<Duration>,
        now: Instant,
    ) {
        let keep = stated.map_or(DEFAULT_KEEP, |keep| keep.saturating_sub(KEEP_MARGIN));
        if keep.is_zero() || connection.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().expect("pool lock");
        let kept = idle.entry(target.server.clone()).or_default();
        kept.retain(|old| now < old.until && !old.connection.is_closed());
        if kept.len() < KEPT_PER_SERVER {
            let incarnation = target.incarnation;
            kept.push(IdleConnection { incarnation, connection, until: now + keep });
        }
    }

    /// Drops the connections to a server that is gone.
    pub fn forget(&self, server: &str) {
        self.idle.lock().expect("pool lock").remove(server);
    }

    /// Drops connections that are past their time.
    pub fn tick(&self, now: Instant) {
        let mut idle = self.idle.lock().expect("pool lock");
        idle.retain(|_, kept| {
            kept.retain(|old| now < old.until && !old.connection.is_closed());
            !kept.is_empty()
        });
    }

    /// Connections kept now.
    pub fn len(&self) -> usize {
        self.idle.lock().expect("pool lock").values().map(Vec::len).sum()
    }

    /// True when none is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
