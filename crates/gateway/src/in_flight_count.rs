//! Counts the requests and connections that a graceful stop waits for.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Counts of requests and callers' connections in flight.
#[derive(Debug, Default)]
pub struct InFlightCount {
    requests: Arc<AtomicU32>,
    /// Callers' connections that a stop closes and waits for.
    connections: Arc<AtomicU32>,
}

/// Counts one request or connection until dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    count: Arc<AtomicU32>,
}

impl InFlightGuard {
    fn enter(count: &Arc<AtomicU32>) -> Self {
        count.fetch_add(1, Ordering::AcqRel);
        InFlightGuard { count: Arc::clone(count) }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}

impl InFlightCount {
    /// Counts a request until the guard is dropped.
    pub fn enter_request(&self) -> InFlightGuard {
        InFlightGuard::enter(&self.requests)
    }

    /// Counts a caller's connection until the guard is dropped.
    pub fn enter_connection(&self) -> InFlightGuard {
        InFlightGuard::enter(&self.connections)
    }

    pub fn requests(&self) -> u32 {
        self.requests.load(Ordering::Acquire)
    }

    /// Returns true while a request is in flight or a response is not fully written.
    ///
    /// Prevents the end of a stop from cutting responses: a request counts until its last event is
    /// handed to the connection, which writes it afterwards. With a slow caller or on a busy
    /// instance, the last events would be lost.
    pub fn is_busy(&self) -> bool {
        self.requests() > 0 || self.connections.load(Ordering::Acquire) > 0
    }
}
