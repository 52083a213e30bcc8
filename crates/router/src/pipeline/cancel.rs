//! Cancels sent when a request ends before its answer is whole.

use std::time::Duration;

use http::Method;
use smallvec::SmallVec;
use umberglade_wire::WireError;
use umberglade_wire::client::HttpClient;
use umberglade_wire::engine::CancelOrder;
use umberglade_wire::engine::CancelReply;
use umberglade_wire::ids::RequestId;
use umberglade_wire::pool;

/// Bound on one cancel order sent after the request's end.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// Tries of such a cancel before the engine's own deadline must do.
const CANCEL_ATTEMPTS: u32 = 3;
/// Bound on a cancel that a request waits for.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends a cancel to every server it names when dropped while armed.
///
/// Guards against engine memory held for a caller that is gone: whatever
/// ends the request early (the caller's connection closing drops the
/// handler, a timeout, an error), this drop runs and the servers free
/// what they hold. Disarmed only once the answer is whole.
#[derive(Debug)]
pub struct CancelOnDrop {
    request_id: RequestId,
    /// `host:port` of each server that may hold the request.
    servers: SmallVec<[String; 2]>,
    armed: bool,
}

impl CancelOnDrop {
    /// An armed guard for `request_id`, naming no server yet.
    pub fn new(request_id: RequestId) -> Self {
        CancelOnDrop { request_id, servers: SmallVec::new(), armed: true }
    }

    /// Names one more server that may hold the request.
    pub fn add(&mut self, addr: &str) {
        if !self.servers.iter().any(|server| server == addr) {
            self.servers.push(addr.to_owned());
        }
    }

    /// Forgets `addr`: it has confirmed it holds nothing.
    pub fn remove(&mut self, addr: &str) {
        self.servers.retain(|server| server != addr);
    }

    /// Cancels at `addr` now; true when it confirmed that it holds nothing
    /// of the request any more. If not, it stays named and is told again
    /// at the end.
    pub async fn cancel_and_confirm(&mut self, addr: &str) -> bool {
        match cancel(addr, &self.request_id, CONFIRM_TIMEOUT).await {
            Ok(_) => {
                self.remove(addr);
                true
            }
            // Nothing listens there: what held the request is gone.
            Err(error) if error.is_unsent() => {
                self.remove(addr);
                true
            }
            Err(_) => false,
        }
    }

    /// The answer is whole: send no cancels.
    pub fn disarm(&mut self) {
        self.armed = false;
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        for addr in self.servers.drain(..) {
            let request_id = self.request_id.clone();
            pool::spawn(async move { cancel_with_retries(&addr, &request_id).await });
        }
    }
}

async fn cancel_with_retries(addr: &str, request_id: &RequestId) {
    for attempt in 1..=CANCEL_ATTEMPTS {
        match cancel(addr, request_id, CANCEL_TIMEOUT).await {
            Ok(_) => return,
            Err(error) if error.is_unsent() => return,
            Err(error) => tracing::warn!(%request_id, attempt, %error, "cancel not delivered"),
        }
    }
}

async fn cancel(
    addr: &str,
    request_id: &RequestId,
    timeout: Duration,
) -> Result<CancelReply, WireError> {
    let order = CancelOrder { request_id: request_id.clone() };
    HttpClient::new(addr, timeout).call("cancel", Method::POST, "/v1/cancel", Some(&order)).await
}
