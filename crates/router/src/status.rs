//! The response of `GET /v1/status`: the daemon's current state.

use std::time::UNIX_EPOCH;

use serde::Serialize;

use crate::control::ControlSnapshot;
use crate::daemon::Daemon;

/// A daemon's state, for operators and tests.
#[derive(Debug, Serialize)]
pub struct DaemonStatus {
    pub daemon: String,
    pub domain: String,
    pub region: String,
    pub incarnation: u64,
    pub preset: String,
    pub fence: u64,
    /// When this daemon applied `fence`, in milliseconds since the Unix epoch.
    pub fence_applied_unix_ms: Option<u64>,
    /// Seconds since the older of the last reads of the two platform feeds; `None` until both have
    /// been read.
    pub platform_sync_age_s: Option<f64>,
    pub in_flight: u32,
    /// Requests queued at this daemon for capacity on the backend servers.
    pub waiting: usize,
    pub draining: bool,
    /// Daemons whose lease was live at the last read; 0 before the first read.
    pub members_live: usize,
    /// True while this daemon's own lease is live.
    pub member: bool,
    pub servers: Vec<ServerStatus>,
}

/// One backend server in [`DaemonStatus`].
#[derive(Debug, Serialize)]
pub struct ServerStatus {
    pub server: String,
    pub role: String,
    pub model: String,
    pub domain: String,
    pub state: String,
    pub drained: bool,
    /// True while the server is ejected after failures.
    pub set_aside: bool,
    pub in_flight: u32,
    /// Estimated number of requests on the server from all daemons.
    pub running: u32,
}

impl<P> Daemon<P> {
    /// Returns this daemon's current state.
    pub fn status(&self) -> DaemonStatus {
        let snapshot = self.shared.control.current();
        let settings = &self.shared.settings;
        DaemonStatus {
            daemon: settings.daemon_id.clone(),
            domain: settings.domain.clone(),
            region: settings.region.clone(),
            incarnation: settings.incarnation,
            preset: snapshot.preset_name.clone(),
            fence: snapshot.fence,
            fence_applied_unix_ms: snapshot
                .fence_applied_at
                .and_then(|at| at.duration_since(UNIX_EPOCH).ok())
                .map(|since| since.as_millis() as u64),
            platform_sync_age_s: snapshot.last_sync().map(|at| at.elapsed().as_secs_f64()),
            in_flight: self.in_flight(),
            waiting: self.waiting(),
            draining: self.is_draining(),
            members_live: self.shared.members.live_count(),
            member: self.shared.members.is_local_lease_live(),
            servers: server_statuses(&snapshot),
        }
    }
}

fn server_statuses(snapshot: &ControlSnapshot) -> Vec<ServerStatus> {
    snapshot
        .servers
        .iter()
        .map(|slot| ServerStatus {
            server: slot.entry.server.clone(),
            role: slot.entry.role.to_string(),
            model: slot.entry.model.clone(),
            domain: slot.entry.domain.clone(),
            state: slot.entry.state.to_string(),
            drained: snapshot.drained.contains(&slot.entry.server),
            set_aside: slot.is_ejected(),
            in_flight: slot.in_flight(),
            running: slot.load().running,
        })
        .collect()
}
