//! Orders that change the weights, the adapters or the role of an engine stand-in.

use std::time::Duration;
use std::time::Instant;

use http::Response;
use http::StatusCode;
use umberglade_wire::engine::EngineOrder;
use umberglade_wire::engine::EngineReport;
use umberglade_wire::engine::OrderOperation;
use umberglade_wire::engine::OrderReply;
use umberglade_wire::platform::InstanceState;
use umberglade_wire::pool;
use umberglade_wire::reply;
use umberglade_wire::reply::ReplyBody;

use super::EngineStandin;
use super::STALL_DURATION;

/// The longest time that a change of role waits for requests in flight.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
/// How often a change of role checks whether those requests are done.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

impl EngineStandin {
    /// Accepts or rejects `order`. With the fault `late_order_ms` the order gets no response and is
    /// accepted after that delay.
    pub(super) async fn order(&self, order: EngineOrder) -> Response<ReplyBody> {
        let delay = Duration::from_millis(self.faults().late_order_ms);
        if !delay.is_zero() {
            let engine = self.clone();
            pool::spawn(async move {
                smol::Timer::after(delay).await;
                let _ = engine.accept(order);
            });
            smol::Timer::after(STALL_DURATION).await;
            return conflict("late", "the order was left unanswered");
        }
        match self.accept(order) {
            Ok(reply) => reply::json(StatusCode::ACCEPTED, &reply),
            Err(rejection) => rejection,
        }
    }

    /// Checks `order` against the current fencing token and sequence, and starts to execute it.
    fn accept(&self, order: EngineOrder) -> Result<OrderReply, Response<ReplyBody>> {
        let mut state = self.shared.state.lock().expect("engine state lock");
        if self.shared.config.checks_fence && order.fence < state.highest_order_fence {
            state.stats.fenced_off += 1;
            return Err(conflict("stale_fence", "an order with a newer fence was seen"));
        }
        if order.expected_sequence != state.order_sequence {
            return Err(conflict("stale_sequence", "other orders came in between"));
        }
        if state.busy {
            return Err(conflict("busy", "an order is being carried out"));
        }
        state.highest_order_fence = state.highest_order_fence.max(order.fence);
        state.order_sequence += 1;
        state.busy = true;
        let sequence = state.order_sequence;
        drop(state);
        let engine = self.clone();
        pool::spawn(async move { engine.execute(order.operation).await });
        Ok(OrderReply { sequence })
    }

    async fn execute(&self, operation: OrderOperation) {
        let config = &self.shared.config;
        match operation {
            OrderOperation::LoadModel { model, version } => {
                smol::Timer::after(config.weight_load).await;
                let mut state = self.shared.state.lock().expect("engine state lock");
                state.model = model;
                state.version = version;
            }
            OrderOperation::LoadAdapter { adapter } => {
                smol::Timer::after(config.weight_load / 10).await;
                let mut state = self.shared.state.lock().expect("engine state lock");
                state.adapters.push(adapter);
            }
            OrderOperation::SetRole { role } => {
                self.wait_until_idle().await;
                smol::Timer::after(config.role_switch).await;
                self.shared.state.lock().expect("engine state lock").role = role;
            }
        }
        self.shared.state.lock().expect("engine state lock").busy = false;
        self.register(InstanceState::Live).await;
    }

    /// Waits until no request is in flight, at most [`DRAIN_TIMEOUT`], so that a change of role
    /// does not interrupt requests.
    async fn wait_until_idle(&self) {
        let deadline = Instant::now() + DRAIN_TIMEOUT;
        while Instant::now() < deadline {
            if self.shared.state.lock().expect("engine state lock").active_requests.is_empty() {
                return;
            }
            smol::Timer::after(DRAIN_POLL_INTERVAL).await;
        }
    }

    pub(super) fn report(&self) -> EngineReport {
        let state = self.shared.state.lock().expect("engine state lock");
        EngineReport {
            server: self.shared.config.server.clone(),
            role: state.role,
            model: state.model.clone(),
            version: state.version,
            adapters: state.adapters.clone(),
            busy: state.busy,
            sequence: state.order_sequence,
        }
    }
}

fn conflict(kind: &str, message: &str) -> Response<ReplyBody> {
    reply::rejection(StatusCode::CONFLICT, kind, message, None)
}
