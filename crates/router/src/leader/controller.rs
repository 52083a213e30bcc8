//! The keeper: while this daemon holds the duty, it sees to it that
//! servers have the roles operators want and old records go.

use std::sync::Arc;
use std::time::Duration;

use http::Method;
use umberglade_wire::WireError;
use umberglade_wire::client::HttpClient;
use umberglade_wire::engine::EngineOrder;
use umberglade_wire::engine::EngineReport;
use umberglade_wire::engine::EngineRole;
use umberglade_wire::engine::OrderOperation;
use umberglade_wire::engine::OrderReply;
use umberglade_wire::platform::InstanceState;

use super::LeaderLease;
use super::RecordCleaner;
use crate::control::ControlState;
use crate::control::ServerSlot;
use crate::events;

/// Bound on reading a report and on sending an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);
/// A daemon that does not hold the duty looks at it each so many beats.
const HEARTBEATS_PER_CHECK: u32 = 2;

/// Holds or contends for the duty and acts on it.
#[derive(Debug)]
pub struct LeaderController {
    pub lease: LeaderLease,
    pub cleaner: RecordCleaner,
    pub control: Arc<ControlState>,
    pub daemon: String,
    /// How often the holder renews and acts.
    pub interval: Duration,
}

impl LeaderController {
    /// Keeps until the process ends.
    pub async fn run(mut self) {
        loop {
            if let Err(error) = self.lease.acquire_or_renew().await {
                tracing::warn!(event = events::PLATFORM_UNREACHABLE, what = "duty", %error, "duty not renewed");
            }
            if self.lease.is_held() {
                self.order_roles().await;
                self.cleaner.run_round().await;
            }
            let intervals = if self.lease.is_held() { 1 } else { HEARTBEATS_PER_CHECK };
            smol::Timer::after(self.interval * intervals).await;
        }
    }

    /// Orders each server whose role is not the one wanted.
    async fn order_roles(&self) {
        let snapshot = self.control.current();
        for slot in snapshot.servers.iter() {
            let Some(wanted) = snapshot.role_orders.servers.get(&slot.entry.server) else {
                continue;
            };
            if slot.entry.role == wanted.role || slot.entry.state != InstanceState::Live {
                continue;
            }
            if let Err(error) = self.order_role(slot, wanted.role).await {
                tracing::warn!(event = events::SERVER_STEP_FAILED, server = %slot.entry.server, %error, "role order failed");
            }
        }
    }

    async fn order_role(&self, slot: &ServerSlot, role: EngineRole) -> Result<(), WireError> {
        let client = HttpClient::new(slot.entry.addr.clone(), ORDER_TIMEOUT);
        let report: EngineReport =
            client.call::<(), _>("read report", Method::GET, "/v1/report", None).await?;
        if report.busy || report.role == role {
            return Ok(());
        }
        // Asked after the report was read: a pause in between is noticed.
        let Some(fence) = self.lease.fence() else {
            tracing::warn!(event = events::ORDER_WITHHELD, server = %slot.entry.server, "lease too old");
            return Ok(());
        };
        let order = EngineOrder {
            operation: OrderOperation::SetRole { role },
            holder: self.daemon.clone(),
            fence,
            expected_sequence: report.sequence,
        };
        tracing::info!(event = events::ORDER_SENT, server = %slot.entry.server, %role, fence, sequence = report.sequence, "role ordered");
        let _: OrderReply =
            client.call("send order", Method::POST, "/v1/order", Some(&order)).await?;
        Ok(())
    }
}
