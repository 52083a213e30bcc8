//! Applies the flow control that servers state in their responses or that peers report.

use std::time::Duration;
use std::time::Instant;

use http::StatusCode;

use crate::cluster::BackoffUpdate;
use crate::cluster::LimitUpdate;
use crate::cluster::ServerLimitChange;
use crate::events;
use crate::model::FlowControl;
use crate::model::RequestRate;
use crate::model::ServerIncarnation;
use crate::model::StoreStamp;
use crate::state::GatewayState;
use crate::upstream::SendTarget;

impl GatewayState {
    /// Applies the flow control stated by `target` in its response to a request sent at `sent_at`,
    /// and logs changes.
    pub fn record_flow_control(
        &self,
        target: &SendTarget,
        status: StatusCode,
        flow_control: FlowControl,
        sent_at: Instant,
    ) {
        let now = Instant::now();
        let server = target.incarnation;
        if flow_control.is_leaving {
            self.record_departure(server, "answer");
        }
        let is_unavailable = status == StatusCode::SERVICE_UNAVAILABLE;
        if let Some(delay) = flow_control.retry_after.filter(|_| is_unavailable) {
            self.record_backoff(target, delay, now);
        }
        let change = self.fleet().record_limit(server, flow_control.limit, sent_at, now);
        if let Some(change) = change {
            self.log_limit(server, change, "answer");
            // Reports immediately: peers apply the previous limit until they receive the report.
            self.report_requested.notify(1);
        }
    }

    /// Applies and logs a backoff of `delay` that `target` requests.
    fn record_backoff(&self, target: &SendTarget, delay: Duration, now: Instant) {
        let is_extended = self.fleet().record_backoff(target.incarnation, delay, now);
        self.log_backoff(&target.server, delay, "answer");
        if is_extended {
            // Reports immediately: peers report the backoff back to this gateway after a restart.
            self.report_requested.notify(1);
        }
    }

    /// Applies a backoff reported by a peer, and logs it if it extends a backoff of this gateway.
    pub fn apply_peer_backoff(&self, update: BackoffUpdate) {
        let mut fleet = self.fleet();
        if !fleet.apply_peer_backoff(update, Instant::now()) {
            return;
        }
        let server_state = fleet.server_by_incarnation(update.server);
        let server = server_state.map(|server_state| server_state.entry.server.clone());
        drop(fleet);
        let delay = Duration::from_millis(u64::from(update.left_ms));
        self.log_backoff(server.as_deref().unwrap_or("-"), delay, "gateway");
    }

    fn log_backoff(&self, server: &str, delay: Duration, source: &'static str) {
        tracing::info!(
            event = events::SERVER_BACKOFF,
            server,
            retry_after_ms = delay.as_millis() as u64,
            source,
            "server rejected a request with Retry-After"
        );
    }

    /// Applies a server's rate limit reported by a peer, and logs a change.
    pub fn apply_peer_limit(&self, update: LimitUpdate) {
        let change = self.fleet().apply_peer_limit(update, Instant::now());
        if let Some(change) = change {
            self.log_limit(update.server, change, "gateway");
        }
    }

    /// Applies a departure reported by a peer.
    pub fn apply_peer_departure(&self, incarnation: ServerIncarnation) {
        self.record_departure(incarnation, "gateway");
    }

    /// Applies a departure stated by a server, and logs it if it is new.
    fn record_departure(&self, incarnation: ServerIncarnation, source: &'static str) {
        let mut fleet = self.fleet();
        let Some(change) = fleet.record_departure(incarnation, Instant::now()) else { return };
        let server_state = fleet.server_by_incarnation(incarnation);
        let server = server_state.map(|server_state| server_state.entry.server.clone());
        let stamp = server_state.map_or(StoreStamp::NONE, |server_state| server_state.stamp);
        drop(fleet);
        tracing::info!(
            event = events::SERVER_DEPARTURE,
            server = server.as_deref(),
            incarnation,
            source,
            "server stated that it is draining"
        );
        self.log_changes(&[change], stamp);
        // Reports immediately: peers send requests to the server until they receive the report.
        self.report_requested.notify(1);
    }

    fn log_limit(
        &self,
        incarnation: ServerIncarnation,
        change: ServerLimitChange,
        source: &'static str,
    ) {
        let fleet = self.fleet();
        let share = fleet.local_limit_share(incarnation);
        let server = fleet
            .server_by_incarnation(incarnation)
            .map(|server_state| server_state.entry.server.clone());
        drop(fleet);
        tracing::info!(
            event = events::SERVER_LIMIT_CHANGED,
            server = server.as_deref(),
            incarnation,
            limit = change.after.map(RequestRate::per_second),
            before = change.before.map(RequestRate::per_second),
            share,
            source,
            "server's rate limit changed"
        );
        self.capacity_changed.notify(usize::MAX);
    }
}
