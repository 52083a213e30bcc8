//! The heartbeat: renews this daemon's row, reads the rows of its peers and removes the rows of
//! daemons that stopped long ago.

use std::time::Duration;
use std::time::Instant;

use umberglade_wire::WireError;
use umberglade_wire::ids::RowVersion;
use umberglade_wire::platform::MEMBERS_TABLE;
use umberglade_wire::platform::MemberRecord;
use umberglade_wire::platform::RowList;

use super::view::is_live;
use crate::daemon::Daemon;
use crate::events;
use crate::platform::PlatformClient;
use crate::platform::WriteOutcome;

/// Heartbeats between two reads of the full table. With 340 daemons the table is about 70 KB:
/// reading it every sixth heartbeat costs 2.3 KB a second, and reading it at every heartbeat would
/// use up the whole bandwidth budget for control traffic.
const HEARTBEATS_PER_READ: u32 = 6;
/// The age, in leases, at which a row is taken to belong to a daemon that does not run any more.
const REMOVAL_AGE_LEASES: u32 = 20;

/// Renews the membership of `daemon`.
#[derive(Debug)]
pub struct Heartbeat<P> {
    pub daemon: Daemon<P>,
    pub platform: PlatformClient,
    /// The address the daemon listens on.
    pub addr: String,
    /// The version of this daemon's row as last written.
    version: RowVersion,
    was_live: bool,
}

impl<P> Heartbeat<P> {
    /// Creates a heartbeat that has not written yet.
    pub fn new(daemon: Daemon<P>, platform: PlatformClient, addr: String) -> Self {
        Heartbeat { daemon, platform, addr, version: 0, was_live: false }
    }

    /// Sends heartbeats until the process stops.
    pub async fn run(mut self) {
        let interval = self.daemon.shared.settings.heartbeat_interval;
        let mut count: u32 = 0;
        loop {
            if let Err(error) = self.renew().await {
                tracing::warn!(event = events::PLATFORM_UNREACHABLE, what = "member lease", %error, "membership lease not renewed");
            }
            self.log_lease_change();
            if count.is_multiple_of(HEARTBEATS_PER_READ) {
                self.read_members().await;
            }
            count += 1;
            smol::Timer::after(jittered(interval)).await;
        }
    }

    /// Writes this daemon's row. A conflict means that another write under the same id came first
    /// (a write of this run applied late, or one of an earlier run); the row is then written over
    /// the version that the conflict reports.
    async fn renew(&mut self) -> Result<(), WireError> {
        let started_at = Instant::now();
        let record = self.record();
        let id = record.daemon.clone();
        let outcome = self.platform.put_checked(MEMBERS_TABLE, &id, self.version, &record).await?;
        let outcome = match outcome {
            WriteOutcome::Conflict { current_version } => {
                self.platform.put_checked(MEMBERS_TABLE, &id, current_version, &record).await?
            }
            outcome => outcome,
        };
        if let WriteOutcome::Written(row) = outcome {
            self.version = row.version;
            self.daemon.shared.members.record_renewal(started_at);
        }
        Ok(())
    }

    fn record(&self) -> MemberRecord {
        let settings = &self.daemon.shared.settings;
        MemberRecord {
            daemon: settings.daemon_id.clone(),
            addr: self.addr.clone(),
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            incarnation: settings.incarnation,
            fence: self.daemon.shared.control.current().fence,
            serving: !self.daemon.is_draining(),
        }
    }

    fn log_lease_change(&mut self) {
        let is_live = self.daemon.shared.members.is_local_lease_live();
        if is_live != self.was_live {
            tracing::info!(
                event = events::MEMBER_LEASE_CHANGED,
                is_live,
                "local membership lease became live or expired"
            );
        }
        self.was_live = is_live;
    }

    async fn read_members(&self) {
        match self.platform.list(MEMBERS_TABLE).await {
            Ok(list) => {
                self.daemon.shared.members.update(&list);
                self.remove_expired_member(&list).await;
            }
            Err(error) => {
                tracing::warn!(event = events::PLATFORM_UNREACHABLE, what = "members", %error, "members table not read");
            }
        }
    }

    /// Removes at most one row that expired long ago. Each daemon does so with probability
    /// 1 / live daemons, so that all of them together make about one removal per round.
    async fn remove_expired_member(&self, list: &RowList) {
        let members = &self.daemon.shared.members;
        let live_daemons = members.live_count().max(1);
        let removal_age = members.lease_duration() * REMOVAL_AGE_LEASES;
        let expired = list.rows.iter().find(|row| !is_live(row, list.now_ms, removal_age));
        let Some(row) = expired else {
            return;
        };
        if fastrand::usize(0..live_daemons) != 0 {
            return;
        }
        if let Err(error) = self.platform.remove(MEMBERS_TABLE, &row.key, row.version).await {
            tracing::debug!(%error, member = %row.key, "expired member row not removed");
        }
    }
}

/// Returns `period` with a jitter of ±10 %, so that daemons started together do not keep writing
/// at the same moment.
fn jittered(period: Duration) -> Duration {
    period.mul_f64(0.9 + fastrand::f64() * 0.2)
}
