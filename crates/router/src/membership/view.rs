//! This daemon's view of its peers and of its own lease.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use umberglade_wire::ids::DaemonId;
use umberglade_wire::platform::MemberRecord;
use umberglade_wire::platform::Row;
use umberglade_wire::platform::RowList;

use crate::events;
use crate::state_lock;

#[derive(Debug, Default)]
struct ViewState {
    /// When the write that last renewed the local lease started.
    renewed_at: Option<Instant>,
    live: Vec<MemberRecord>,
}

/// The members as last read. The lock is never held across an await.
#[derive(Debug)]
pub struct MemberView {
    lease_duration: Duration,
    state: Mutex<ViewState>,
}

impl MemberView {
    /// Creates an empty view of leases with the duration `lease_duration`.
    pub fn new(lease_duration: Duration) -> Self {
        MemberView { lease_duration, state: Mutex::new(ViewState::default()) }
    }

    /// Returns the duration of a lease.
    pub fn lease_duration(&self) -> Duration {
        self.lease_duration
    }

    /// Returns the number of daemons whose lease was live at the last read.
    pub fn live_count(&self) -> usize {
        state_lock::lock(&self.state).live.len()
    }

    /// Returns true while this daemon's own lease is live.
    ///
    /// Prevents a daemon that was paused past its lease from treating it as live when it resumes:
    /// each call measures the age on this machine's monotonic clock, starting before the renewing
    /// write was sent, so the local lease never outlasts the stored one.
    pub fn is_local_lease_live(&self) -> bool {
        let renewed_at = state_lock::lock(&self.state).renewed_at;
        renewed_at.is_some_and(|at| at.elapsed() < self.lease_duration)
    }

    /// Records that the call started at `started_at` renewed this daemon's row.
    pub fn record_renewal(&self, started_at: Instant) {
        state_lock::lock(&self.state).renewed_at = Some(started_at);
    }

    /// Applies a read of the members table. Logs when the set of live daemons changed.
    pub fn update(&self, list: &RowList) {
        let live: Vec<MemberRecord> = list
            .rows
            .iter()
            .filter(|row| is_live(row, list.now_ms, self.lease_duration))
            .filter_map(|row| serde_json::from_value(row.value.clone()).ok())
            .collect();
        let mut state = state_lock::lock(&self.state);
        let before: BTreeSet<&DaemonId> = state.live.iter().map(|member| &member.daemon).collect();
        let after: BTreeSet<&DaemonId> = live.iter().map(|member| &member.daemon).collect();
        let joined: Vec<&&DaemonId> = after.difference(&before).collect();
        let lapsed: Vec<&&DaemonId> = before.difference(&after).collect();
        if !joined.is_empty() || !lapsed.is_empty() {
            tracing::info!(
                event = events::MEMBERS_CHANGED,
                live = live.len(),
                ?joined,
                ?lapsed,
                "live members changed"
            );
        }
        state.live = live;
    }
}

/// Returns true if `row` was written less than `max_age` before `now_ms`, by the table service's
/// clock.
pub fn is_live(row: &Row, now_ms: u64, max_age: Duration) -> bool {
    now_ms.saturating_sub(row.written_ms) < max_age.as_millis() as u64
}
