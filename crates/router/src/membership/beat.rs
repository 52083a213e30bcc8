//! The beat: renews this daemon's row, reads the others', clears away rows
//! of daemons long gone.

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

/// Beats between two reads of the whole table. At 340 daemons the table is
/// some 70 KB: read each sixth beat it costs 2.3 KB a second, read at each
/// it would take the whole control budget.
const BEATS_PER_READ: u32 = 6;
/// A row this many leases old belongs to a daemon long gone.
const GONE_LEASES: u32 = 20;

/// Renews the membership of `daemon`, which serves at `addr`.
#[derive(Debug)]
pub struct MemberBeat<P> {
    pub daemon: Daemon<P>,
    pub platform: PlatformClient,
    /// Where the daemon listens.
    pub addr: String,
    /// Version of our row as last written.
    version: RowVersion,
    was_live: bool,
}

impl<P> MemberBeat<P> {
    /// A beat that has not written yet.
    pub fn new(daemon: Daemon<P>, platform: PlatformClient, addr: String) -> Self {
        MemberBeat { daemon, platform, addr, version: 0, was_live: false }
    }

    /// Beats until the process ends.
    pub async fn run(mut self) {
        let beat = self.daemon.shared.settings.member_beat;
        let mut beats: u32 = 0;
        loop {
            if let Err(error) = self.renew().await {
                tracing::warn!(event = events::PLATFORM_UNREACHABLE, what = "member lease", %error, "lease not renewed");
            }
            self.report_lease();
            if beats.is_multiple_of(BEATS_PER_READ) {
                self.read_members().await;
            }
            beats += 1;
            smol::Timer::after(jittered(beat)).await;
        }
    }

    /// Writes our row. On a conflict another write under our id came in
    /// between (ours, applied late, or an earlier run's): its version is
    /// read and the row written over it.
    async fn renew(&mut self) -> Result<(), WireError> {
        let begun = Instant::now();
        let record = self.record();
        let id = record.daemon.clone();
        let outcome = self.platform.put_checked(MEMBERS_TABLE, &id, self.version, &record).await?;
        let outcome = match outcome {
            WriteOutcome::Conflict { current_version } => {
                self.platform.put_checked(MEMBERS_TABLE, &id, current_version, &record).await?
            }
            written => written,
        };
        if let WriteOutcome::Written(row) = outcome {
            self.version = row.version;
            self.daemon.shared.members.renewed(begun);
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

    fn report_lease(&mut self) {
        let is_live = self.daemon.shared.members.own_lease_is_live();
        if is_live != self.was_live {
            tracing::info!(event = events::MEMBER_LEASE, is_live, "own lease changed");
        }
        self.was_live = is_live;
    }

    async fn read_members(&self) {
        match self.platform.list(MEMBERS_TABLE).await {
            Ok(list) => {
                self.daemon.shared.members.read(&list);
                self.clear_away(&list).await;
            }
            Err(error) => {
                tracing::warn!(event = events::PLATFORM_UNREACHABLE, what = "members", %error, "members not read");
            }
        }
    }

    /// Removes at most one row long lapsed, and only one reader in so many
    /// does, so that the whole fleet makes about one removal a round.
    async fn clear_away(&self, list: &RowList) {
        let members = &self.daemon.shared.members;
        let readers = members.live_count().max(1);
        let gone_after = members.lease() * GONE_LEASES;
        let gone = list.rows.iter().find(|row| !is_live(row, list.now_ms, gone_after));
        let Some(row) = gone else {
            return;
        };
        if fastrand::usize(0..readers) != 0 {
            return;
        }
        if let Err(error) = self.platform.remove(MEMBERS_TABLE, &row.key, row.version).await {
            tracing::debug!(%error, member = %row.key, "lapsed member not removed");
        }
    }
}

/// `period` give or take a tenth, so that daemons started together do not
/// write together for good.
fn jittered(period: Duration) -> Duration {
    period.mul_f64(0.9 + fastrand::f64() * 0.2)
}
