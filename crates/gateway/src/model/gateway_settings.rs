//! Settings of a gateway process, fixed at its start.

use std::net::SocketAddr;
use std::time::Duration;

use umberglade_wire::memory::ProcessLimits;

use super::DomainKey;

/// The settings of one gateway process.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// This instance's name, unique among the instances.
    pub instance: String,
    /// This instance's failure domain.
    pub domain: DomainKey,
    /// Address that callers connect to.
    pub front: SocketAddr,
    /// Address of the readiness check of the load balancer in front of the gateways, and of the
    /// metrics.
    pub ready: SocketAddr,
    /// Additional address of the metrics, if any.
    pub metrics: Option<SocketAddr>,
    /// UDP address that peers send their load reports to.
    pub peer: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Bandwidth of this instance's network link; `None` when it is not known.
    pub link_bytes_per_s: Option<f64>,
    /// What this instance's machine allows the process.
    pub limits: ProcessLimits,
    /// Time after its writing within which a configuration must be in force.
    pub config_bound: Duration,
    /// How long a draining server may still get new work after it has announced its departure.
    pub drain_bound: Duration,
    /// Interval at which servers renew their registrations.
    pub server_heartbeat: Duration,
    /// How long a graceful stop may take before the process is killed.
    pub stop_grace: Duration,
    /// Maximum number of retries, as a fraction of a service's requests.
    pub retry_ratio: f64,
    /// Retries allowed in addition to that fraction within `retry_window`, over all gateways
    /// together.
    pub retry_slack: f64,
    /// The window over which retries are counted.
    pub retry_window: Duration,
    /// The window over which the units that organisations use are counted.
    pub quota_window: Duration,
    /// Fraction by which a quota may be exceeded in that window.
    pub quota_overage: f64,
    /// Units by which it may be exceeded in addition.
    pub quota_slack: f64,
}
