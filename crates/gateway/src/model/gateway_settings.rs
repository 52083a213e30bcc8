//! What a gateway process is told at its start.

use std::net::SocketAddr;
use std::time::Duration;

use super::DomainKey;

/// The settings of one gateway process.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// This instance's name, unique among the instances.
    pub instance: String,
    /// This instance's failure domain.
    pub domain: DomainKey,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where the balancer asks whether this instance takes callers, and
    /// where metrics are read.
    pub ready: SocketAddr,
    /// Where metrics are read besides `ready`, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// Where other gateways send their load reports, over UDP.
    pub peer: SocketAddr,
    /// Where the platform's store answers.
    pub store: SocketAddr,
    /// What this instance's link carries; `None` where that is not known.
    pub link_bytes_per_s: Option<f64>,
    /// How long after its writing a configuration must be in force.
    pub config_bound: Duration,
    /// How long after its announcement a leaving server may get new work.
    pub drain_bound: Duration,
    /// How long a graceful stop may take before the process is killed.
    pub stop_grace: Duration,
    /// The most that repeated sends may add to a service's requests, as a
    /// share of them.
    pub retry_ratio: f64,
    /// Repeated sends allowed besides that share, within `retry_window`,
    /// over all gateways together.
    pub retry_slack: f64,
    /// The window over which repeated sends are counted.
    pub retry_window: Duration,
    /// The window over which what organisations have run is counted.
    pub quota_window: Duration,
    /// The part by which a quota may be exceeded in that window.
    pub quota_overage: f64,
    /// Units by which it may be exceeded besides.
    pub quota_slack: f64,
}
