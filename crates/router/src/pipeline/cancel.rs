//! Cancels sent when a request ends before its answer is whole.

use std::time::Duration;

use http::Method;
use smallvec::SmallVec;
use umberglade_wire::client::HttpClient;
use umberglade_wire::engine::CancelOrder;
use umberglade_wire::engine::CancelReply;
use umberglade_wire::ids::RequestId;
use umberglade_wire::pool;

/// Bound on one cancel order.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

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
        self.servers.push(addr.to_owned());
    }

    /// Forgets `addr`: it has confirmed it holds nothing.
    pub fn remove(&mut self, addr: &str) {
        self.servers.retain(|server| server != addr);
    }

    /// The answer is whole: send no cancels.
    pub fn disarm(&mut self) {
        self.armed = false;
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if !self.armed || self.servers.is_empty() {
            return;
        }
        let order = CancelOrder { request_id: self.request_id.clone() };
        for addr in self.servers.drain(..) {
            let order = order.clone();
            pool::spawn(async move {
                let client = HttpClient::new(addr, CANCEL_TIMEOUT);
                let sent = client
                    .call::<_, CancelReply>("cancel", Method::POST, "/v1/cancel", Some(&order))
                    .await;
                if let Err(error) = sent {
                    tracing::warn!(request_id = %order.request_id, %error, "cancel not delivered");
                }
            });
        }
    }
}
