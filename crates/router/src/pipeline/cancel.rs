//! Cancel orders, sent when a request ends before its response is complete.

use std::time::Duration;

use http::Method;
use smallvec::SmallVec;
use umberglade_wire::WireError;
use umberglade_wire::client::HttpClient;
use umberglade_wire::engine::CancelOrder;
use umberglade_wire::engine::CancelReply;
use umberglade_wire::ids::RequestId;
use umberglade_wire::pool;

/// Timeout of one cancel order sent after the request has ended.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// Attempts at such a cancel, after which the engine's own deadline ends the work.
const CANCEL_ATTEMPTS: u32 = 3;
/// Timeout of a cancel order that the request waits for.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends a cancel order to every registered server when dropped while armed.
///
/// Prevents engines from holding memory for a caller that has disconnected. Whatever ends the
/// request early (a closed connection drops the handler, a timeout, an error), this drop runs and
/// the servers free what they hold. Disarmed only once the response is complete.
#[derive(Debug)]
pub struct CancelOnDrop {
    request_id: RequestId,
    /// The `host:port` of each server that may hold the request.
    servers: SmallVec<[String; 2]>,
    armed: bool,
}

impl CancelOnDrop {
    /// Creates an armed guard for `request_id` with no servers registered.
    pub fn new(request_id: RequestId) -> Self {
        CancelOnDrop { request_id, servers: SmallVec::new(), armed: true }
    }

    /// Registers a server that may hold the request.
    pub fn add(&mut self, addr: &str) {
        if !self.servers.iter().any(|server| server == addr) {
            self.servers.push(addr.to_owned());
        }
    }

    /// Removes `addr`, which has confirmed that it holds nothing.
    pub fn remove(&mut self, addr: &str) {
        self.servers.retain(|server| server != addr);
    }

    /// Sends a cancel order to `addr` now. Returns true once the server confirms that it holds
    /// nothing of the request; otherwise it stays registered and gets another cancel on drop.
    pub async fn cancel_and_confirm(&mut self, addr: &str) -> bool {
        match cancel(addr, &self.request_id, CONFIRM_TIMEOUT).await {
            Ok(_) => {
                self.remove(addr);
                true
            }
            // Nothing listens there, so the process that held the request is gone.
            Err(error) if error.is_unsent() => {
                self.remove(addr);
                true
            }
            Err(_) => false,
        }
    }

    /// Sends cancel orders now, without waiting for them, to all registered servers but `holder`.
    pub fn cancel_others(&mut self, holder: &str) {
        let is_holder = |addr: &String| addr == holder;
        let (kept, others) = self.servers.drain(..).partition(is_holder);
        self.servers = kept;
        self.spawn_cancels(others);
    }

    fn spawn_cancels(&self, servers: SmallVec<[String; 2]>) {
        for addr in servers {
            let request_id = self.request_id.clone();
            pool::spawn(async move { cancel_with_retries(&addr, &request_id).await });
        }
    }

    /// Disables the cancel orders, because the response is complete.
    pub fn disarm(&mut self) {
        self.armed = false;
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let servers = std::mem::take(&mut self.servers);
        self.spawn_cancels(servers);
    }
}

async fn cancel_with_retries(addr: &str, request_id: &RequestId) {
    for attempt in 1..=CANCEL_ATTEMPTS {
        match cancel(addr, request_id, CANCEL_TIMEOUT).await {
            Ok(_) => return,
            Err(error) if error.is_unsent() => return,
            Err(error) => tracing::warn!(%request_id, attempt, %error, "cancel order failed"),
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
