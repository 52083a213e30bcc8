//! Reads of the store, of which several may be under way.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use umberglade_wire::WireError;
use umberglade_wire::keep_alive::BufferedResponse;
use umberglade_wire::keep_alive::KeepAliveClient;
use umberglade_wire::keep_alive::SilenceLimits;
use umberglade_wire::pool;

use crate::timing::with_deadline;

/// Maximum number of reads under way. Together with the pace of the reads it bounds how late an
/// answer of the store may come: some 10 s.
const MAX_OPEN: usize = 12;
/// Maximum number of idle connections that are kept.
const MAX_IDLE: usize = 2;
/// Interval at which a response that takes longer than the pace is looked at.
const RECEIVE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// A read that brings nothing for this long has failed.
const SILENCE: SilenceLimits =
    SilenceLimits { head: Duration::from_secs(40), body: Duration::from_secs(2) };

/// The end of an exchange: its connection, and the response.
type ExchangeResult = (KeepAliveClient, Result<BufferedResponse, WireError>);

/// A read under way.
#[derive(Debug)]
struct OpenRead {
    path: Arc<str>,
    started_at: Instant,
    /// Number of bytes of the body that have arrived.
    received: Arc<AtomicUsize>,
    /// Dropping it gives the read up.
    exchange: smol::Task<ExchangeResult>,
}

/// A response, and the path that was read.
pub struct ReadResponse {
    pub path: Arc<str>,
    pub response: BufferedResponse,
}

/// Reads from one store over several connections.
///
/// A read that is late is not given up: another one is started beside it, on another connection.
/// Prevents a store that answers more slowly than expected from never being read, and a connection
/// that has become silent from hiding changes.
#[derive(Debug)]
pub struct OverlappingReads {
    peer: String,
    idle: Vec<KeepAliveClient>,
    /// Oldest first.
    open: Vec<OpenRead>,
}

impl OverlappingReads {
    /// Creates a reader of the store at `peer` (as `host:port`) without connecting.
    pub fn new(peer: String) -> Self {
        OverlappingReads { peer, idle: Vec::new(), open: Vec::new() }
    }

    /// Starts a read of `path`. If too many are under way, the oldest that has brought nothing is
    /// given up for it.
    pub fn start(&mut self, step: &'static str, path: &Arc<str>) {
        if self.open.len() >= MAX_OPEN {
            let is_silent = |read: &OpenRead| !read.is_receiving();
            let Some(oldest) = self.open.iter().position(is_silent) else { return };
            self.open.remove(oldest);
        }
        metrics::counter!("umberglade_store_calls_total", "call" => step).increment(1);
        let mut client = self.idle.pop().unwrap_or_else(|| KeepAliveClient::new(self.peer.clone()));
        let received = Arc::new(AtomicUsize::new(0));
        let (path, counter) = (Arc::clone(path), Arc::clone(&received));
        let requested = Arc::clone(&path);
        let exchange = pool::spawn_joined(async move {
            let response = client.get_patiently(step, &requested, SILENCE, &counter).await;
            (client, response)
        });
        self.open.push(OpenRead { path, started_at: Instant::now(), received, exchange });
    }

    /// Waits for the next response. Starts a read of `path` if none has been started within `pace`
    /// and none is bringing a response, and returns `None` after that. Reads under way go on if the
    /// returned future is dropped.
    pub async fn next(
        &mut self,
        step: &'static str,
        path: &Arc<str>,
        pace: Duration,
    ) -> Option<Result<ReadResponse, WireError>> {
        if self.open.is_empty() {
            self.start(step, path);
        }
        loop {
            let now = Instant::now();
            let started_at = self.open.last().map_or(now, |read| read.started_at);
            let due = started_at + pace;
            let is_receiving = self.open.iter().any(OpenRead::is_receiving);
            if now >= due && !is_receiving {
                self.start(step, path);
                return None;
            }
            let until = if now < due { due } else { now + RECEIVE_POLL_INTERVAL };
            let finished = std::future::poll_fn(|context| self.poll(context));
            if let Some(finished) = with_deadline(until, finished).await {
                return Some(finished);
            }
        }
    }

    /// Gives up all reads under way.
    pub fn abandon(&mut self) {
        self.open.clear();
    }

    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Result<ReadResponse, WireError>> {
        for index in 0..self.open.len() {
            let exchange = Pin::new(&mut self.open[index].exchange);
            let Poll::Ready((client, response)) = exchange.poll(context) else { continue };
            let path = self.open.remove(index).path;
            if response.is_ok() && self.idle.len() < MAX_IDLE {
                self.idle.push(client);
            }
            return Poll::Ready(response.map(|response| ReadResponse { path, response }));
        }
        Poll::Pending
    }
}

impl OpenRead {
    fn is_receiving(&self) -> bool {
        self.received.load(Ordering::Relaxed) > 0
    }
}
