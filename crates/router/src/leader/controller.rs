//! The leader's loop: orders servers into the roles that operators requested and removes old
//! records.

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

/// Timeout of reading a report and of sending an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);
/// How many heartbeat intervals pass between a non-leader's checks of the leader lease.
const HEARTBEATS_PER_CHECK: u32 = 2;

/// Acquires or renews the leader lease and performs the leader's tasks while it is held.
#[derive(Debug)]
pub struct LeaderController {
    pub lease: LeaderLease,
    pub cleaner: RecordCleaner,
    pub control: Arc<ControlState>,
    pub daemon: String,
    /// How often the leader renews its lease and performs its tasks.
    pub interval: Duration,
}

impl LeaderController {
    /// Runs until the process stops.
    pub async fn run(mut self) {
        loop {
            if let Err(error) = self.lease.acquire_or_renew().await {
                tracing::warn!(event = events::PLATFORM_UNREACHABLE, what = "duty", %error, "leader lease not renewed");
            }
            if self.lease.is_held() {
                self.order_roles().await;
                self.cleaner.run_round().await;
            }
            let intervals = if self.lease.is_held() { 1 } else { HEARTBEATS_PER_CHECK };
            smol::Timer::after(self.interval * intervals).await;
        }
    }

    /// Sends a role order to each live server whose role is not the requested one.
    async fn order_roles(&self) {
        let snapshot = self.control.current();
        for slot in snapshot.servers.iter() {
            let Some(requested) = snapshot.role_orders.servers.get(&slot.entry.server) else {
                continue;
            };
            if slot.entry.role == requested.role || slot.entry.state != InstanceState::Live {
                continue;
            }
            if let Err(error) = self.order_role(slot, requested.role).await {
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
        // The lease is checked after the report was read, so that a pause during the read counts.
        let Some(fence) = self.lease.fence() else {
            tracing::warn!(event = events::ORDER_WITHHELD, server = %slot.entry.server, "role order not sent: leader lease too old");
            return Ok(());
        };
        let order = EngineOrder {
            operation: OrderOperation::SetRole { role },
            holder: self.daemon.clone(),
            fence,
            expected_sequence: report.sequence,
        };
        tracing::info!(event = events::ORDER_SENT, server = %slot.entry.server, %role, fence, sequence = report.sequence, "role order sent");
        let _: OrderReply =
            client.call("send order", Method::POST, "/v1/order", Some(&order)).await?;
        Ok(())
    }
}
