//! What this daemon knows of the others, and of its own lease.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use umberglade_wire::ids::DaemonId;
use umberglade_wire::platform::MemberRecord;
use umberglade_wire::platform::Row;
use umberglade_wire::platform::RowList;

use crate::events;

#[derive(Debug, Default)]
struct ViewState {
    /// When the write that renewed our lease last was begun.
    renewed_at: Option<Instant>,
    live: Vec<MemberRecord>,
}

/// The members as last read. One lock, held to copy a few words.
#[derive(Debug)]
pub struct MemberView {
    lease: Duration,
    state: Mutex<ViewState>,
}

impl MemberView {
    /// A view with nothing read, of leases that last `lease`.
    pub fn new(lease: Duration) -> Self {
        MemberView { lease, state: Mutex::new(ViewState::default()) }
    }

    /// How long a lease lasts.
    pub fn lease(&self) -> Duration {
        self.lease
    }

    /// Daemons whose lease was live when last read.
    pub fn live_count(&self) -> usize {
        self.state.lock().expect("view lock").live.len()
    }

    /// True while this daemon's own lease is live.
    ///
    /// Guards against a daemon that was paused past its lease and wakes
    /// still believing that it holds it: the age is taken from this
    /// machine's steady clock at each question, from before the renewing
    /// write was sent, so no belief outlives the lease.
    pub fn is_local_lease_live(&self) -> bool {
        let renewed_at = self.state.lock().expect("view lock").renewed_at;
        renewed_at.is_some_and(|at| at.elapsed() < self.lease)
    }

    /// Our row was written by a call begun at `begun`.
    pub fn record_renewal(&self, started_at: Instant) {
        self.state.lock().expect("view lock").renewed_at = Some(started_at);
    }

    /// Takes in the members table; logs when the set of live ones changed.
    pub fn update(&self, list: &RowList) {
        let live: Vec<MemberRecord> = list
            .rows
            .iter()
            .filter(|row| is_live(row, list.now_ms, self.lease))
            .filter_map(|row| serde_json::from_value(row.value.clone()).ok())
            .collect();
        let mut state = self.state.lock().expect("view lock");
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
                "members changed"
            );
        }
        state.live = live;
    }
}

/// True when `row` was renewed within `lease` before `now_ms`, both by the
/// table service's clock.
pub fn is_live(row: &Row, now_ms: u64, lease: Duration) -> bool {
    now_ms.saturating_sub(row.written_ms) < lease.as_millis() as u64
}
