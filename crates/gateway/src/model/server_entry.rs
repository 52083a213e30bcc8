//! A backend server as it registers itself.

use std::net::SocketAddr;
use std::time::SystemTime;

use strum::Display;

use super::DomainKey;
use super::ServerIncarnation;
use super::ServerKey;
use super::ServiceName;
use super::SoftwareDigest;
use super::SoftwareVersion;

/// The stage of a request that a model engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ServerStage {
    /// Not a model engine.
    Plain,
    /// Prefills prompts.
    Prefill,
    /// Generates tokens. Can also prefill prompts, but more slowly.
    Decode,
}

/// One registered server.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ServerEntry {
    pub server: ServerKey,
    pub service: ServiceName,
    pub address: SocketAddr,
    pub domain: DomainKey,
    /// Number of requests that the server processes at a time.
    pub slots: u32,
    pub stage: ServerStage,
    /// What servers of two versions write does not fit together: neither the events of one stream
    /// nor the KV cache of one prompt.
    pub software: SoftwareVersion,
    /// True once the server has announced its departure.
    pub is_leaving: bool,
    /// When the server started, by its own clock; `None` if it does not state it. A server may
    /// restart under the same id and then has no state from before.
    pub started_at: Option<SystemTime>,
}

impl ServerEntry {
    /// Returns the digest that identifies this incarnation of the server.
    pub fn incarnation(&self) -> ServerIncarnation {
        server_incarnation(&self.server, self.started_at)
    }
}

/// Returns the digest of a software version.
pub fn software_digest(software: &str) -> SoftwareDigest {
    umberglade_wire::digest(software.as_bytes())
}

/// Returns the digest of the incarnation of `server` that started at `started_at`.
pub fn server_incarnation(server: &str, started_at: Option<SystemTime>) -> ServerIncarnation {
    let since_epoch = started_at.and_then(|at| at.duration_since(SystemTime::UNIX_EPOCH).ok());
    let seed = since_epoch.map_or(0, |since| since.as_millis() as u64);
    umberglade_wire::digest_seeded(server.as_bytes(), seed)
}
