//! The lease on the leadership.

use std::time::Duration;
use std::time::Instant;

use umberglade_wire::WireError;
use umberglade_wire::ids::DaemonId;
use umberglade_wire::ids::Fence;
use umberglade_wire::ids::RowVersion;
use umberglade_wire::platform::LEADER_KEY;
use umberglade_wire::platform::LEADER_TABLE;
use umberglade_wire::platform::LeaderRecord;

use crate::events;
use crate::platform::PlatformClient;
use crate::platform::WriteOutcome;

/// The leader lease while this daemon holds it.
#[derive(Debug, Clone, Copy)]
struct HeldLease {
    fence: Fence,
    /// When the write that last renewed the lease started.
    started_at: Instant,
}

/// This daemon's handle on the leader lease.
#[derive(Debug)]
pub struct LeaderLease {
    platform: PlatformClient,
    daemon: DaemonId,
    incarnation: u64,
    lease_duration: Duration,
    held: Option<HeldLease>,
}

impl LeaderLease {
    /// Creates a handle that does not hold the lease. The lease lasts `lease_duration` from
    /// each renewal.
    pub fn new(
        platform: PlatformClient,
        daemon: DaemonId,
        incarnation: u64,
        lease_duration: Duration,
    ) -> Self {
        LeaderLease { platform, daemon, incarnation, lease_duration, held: None }
    }

    /// Returns the fencing token for orders while this daemon may send them.
    ///
    /// Prevents orders from a leader that resumes after a pause and still considers itself the
    /// leader, at engines that ignore fencing tokens: each call measures the age of the lease, and
    /// returns no token once two thirds of it have passed, one third before another daemon can
    /// take over.
    pub fn fence(&self) -> Option<Fence> {
        let held = self.held?;
        (held.started_at.elapsed() < self.lease_duration * 2 / 3).then_some(held.fence)
    }

    /// Returns true if this daemon held the lease at its last check.
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Renews the lease if this daemon holds it and acquires it if it has expired.
    pub async fn acquire_or_renew(&mut self) -> Result<(), WireError> {
        let started_at = Instant::now();
        let list = self.platform.list(LEADER_TABLE).await?;
        let row = list.rows.into_iter().find(|row| row.key == LEADER_KEY);
        let Some(row) = row else {
            return self.write(0, started_at).await;
        };
        let age = Duration::from_millis(list.now_ms.saturating_sub(row.written_ms));
        let is_ours = serde_json::from_value::<LeaderRecord>(row.value)
            .is_ok_and(|record| record == self.record());
        if is_ours || age >= self.lease_duration {
            return self.write(row.version, started_at).await;
        }
        self.mark_lost();
        Ok(())
    }

    async fn write(&mut self, expect: RowVersion, started_at: Instant) -> Result<(), WireError> {
        let outcome =
            self.platform.put_checked(LEADER_TABLE, LEADER_KEY, expect, &self.record()).await?;
        match outcome {
            WriteOutcome::Written(row) => {
                if self.held.is_none() {
                    tracing::info!(
                        event = events::LEADER_CHANGED,
                        holds = true,
                        fence = row.version,
                        "leadership acquired"
                    );
                }
                self.held = Some(HeldLease { fence: row.version, started_at });
            }
            WriteOutcome::Conflict { .. } => self.mark_lost(),
        }
        Ok(())
    }

    fn mark_lost(&mut self) {
        if self.held.take().is_some() {
            tracing::info!(event = events::LEADER_CHANGED, holds = false, "leadership lost");
        }
    }

    fn record(&self) -> LeaderRecord {
        LeaderRecord { holder: self.daemon.clone(), incarnation: self.incarnation }
    }
}
