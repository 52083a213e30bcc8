//! The daemon's settings, as read from flags and environment variables by
//! the `umberglade` binary.

use std::net::SocketAddr;
use std::time::Duration;

use umberglade_wire::ids::DaemonId;
use umberglade_wire::ids::DomainName;

/// How long the follower waits between rounds by default. With the row
/// reads it makes, a change is in force on every daemon within about one
/// interval plus one read.
pub const DEFAULT_FOLLOW_INTERVAL: Duration = Duration::from_secs(1);
/// Default bound on one call to the platform.
pub const DEFAULT_PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Everything a daemon needs to start.
#[derive(Debug, Clone)]
pub struct DaemonSettings {
    /// Address the callers' HTTP server binds.
    pub listen: SocketAddr,
    /// `host:port` of the platform's table service.
    pub platform: String,
    /// This instance's id, unique among daemons.
    pub daemon_id: DaemonId,
    /// This instance's failure domain.
    pub domain: DomainName,
    pub follow_interval: Duration,
    pub platform_timeout: Duration,
    /// Worker threads of the pool.
    pub threads: usize,
}
