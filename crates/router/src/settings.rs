//! The daemon's settings, which the `umberglade` binary reads from flags and environment variables.

use std::net::SocketAddr;
use std::time::Duration;

use umberglade_wire::ids::DaemonId;
use umberglade_wire::ids::DomainName;
use umberglade_wire::ids::RegionName;
use umberglade_wire::memory::ProcessLimits;

/// How long a feed request is held open by default while nothing changes. A change ends the wait
/// at once. The wait bounds how long a dead connection can go unnoticed and thus delay a change.
pub const DEFAULT_FEED_WAIT: Duration = Duration::from_millis(1500);
/// How often a daemon renews its membership lease by default.
pub const DEFAULT_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(5);
/// How long idempotency records are kept by default.
pub const DEFAULT_RECORD_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// Default timeout of one call to the platform.
pub const DEFAULT_PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// The settings a daemon starts with.
#[derive(Debug, Clone)]
pub struct DaemonSettings {
    /// The address on which callers are served.
    pub listen: SocketAddr,
    /// `host:port` of the platform's table service.
    pub platform: String,
    /// This instance's id, unique among daemons.
    pub daemon_id: DaemonId,
    /// This instance's failure domain.
    pub domain: DomainName,
    /// This instance's region; empty at a site of one region.
    pub region: RegionName,
    /// A number that is new on each start and distinguishes this run from earlier ones with the
    /// same id.
    pub incarnation: u64,
    pub feed_wait: Duration,
    /// How often the daemon renews its lease in the members table.
    pub heartbeat_interval: Duration,
    /// How long idempotency records are kept.
    pub record_retention: Duration,
    pub platform_timeout: Duration,
    /// What this instance's machine allows the process.
    pub limits: ProcessLimits,
    /// Worker threads of the pool.
    pub threads: usize,
}
