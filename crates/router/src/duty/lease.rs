//! The lease on the duty.

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

/// The duty as held by this daemon.
#[derive(Debug, Clone, Copy)]
struct HeldDuty {
    fence: Fence,
    /// When the write that renewed it was begun.
    begun: Instant,
}

/// This daemon's part in the duty.
#[derive(Debug)]
pub struct DutyLease {
    platform: PlatformClient,
    daemon: DaemonId,
    incarnation: u64,
    lease: Duration,
    held: Option<HeldDuty>,
}

impl DutyLease {
    /// A lease not held, lasting `lease` from each renewal.
    pub fn new(
        platform: PlatformClient,
        daemon: DaemonId,
        incarnation: u64,
        lease: Duration,
    ) -> Self {
        DutyLease { platform, daemon, incarnation, lease, held: None }
    }

    /// The fencing number to order under, while this daemon may order.
    ///
    /// Guards against a holder that was paused and wakes still believing
    /// that it holds the duty, at engines that ignore fencing numbers: the
    /// age is taken at each question, and an order is withheld once two
    /// thirds of the lease have gone, a third before another daemon can
    /// take the duty.
    pub fn fence(&self) -> Option<Fence> {
        let held = self.held?;
        (held.begun.elapsed() < self.lease * 2 / 3).then_some(held.fence)
    }

    /// True while this daemon last saw itself as the holder.
    pub fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Renews the duty if ours, takes it if lapsed, else leaves it.
    pub async fn contend(&mut self) -> Result<(), WireError> {
        let begun = Instant::now();
        let list = self.platform.list(LEADER_TABLE).await?;
        let row = list.rows.into_iter().find(|row| row.key == LEADER_KEY);
        let Some(row) = row else {
            return self.write(0, begun).await;
        };
        let age = Duration::from_millis(list.now_ms.saturating_sub(row.written_ms));
        let is_ours = serde_json::from_value::<LeaderRecord>(row.value)
            .is_ok_and(|record| record == self.record());
        if is_ours || age >= self.lease {
            return self.write(row.version, begun).await;
        }
        self.lose();
        Ok(())
    }

    async fn write(&mut self, expect: RowVersion, begun: Instant) -> Result<(), WireError> {
        let outcome =
            self.platform.put_checked(LEADER_TABLE, LEADER_KEY, expect, &self.record()).await?;
        match outcome {
            WriteOutcome::Written(row) => {
                if self.held.is_none() {
                    tracing::info!(
                        event = events::DUTY_CHANGED,
                        holds = true,
                        fence = row.version,
                        "duty taken"
                    );
                }
                self.held = Some(HeldDuty { fence: row.version, begun });
            }
            WriteOutcome::Conflict { .. } => self.lose(),
        }
        Ok(())
    }

    fn lose(&mut self) {
        if self.held.take().is_some() {
            tracing::info!(event = events::DUTY_CHANGED, holds = false, "duty lost");
        }
    }

    fn record(&self) -> LeaderRecord {
        LeaderRecord { holder: self.daemon.clone(), incarnation: self.incarnation }
    }
}
