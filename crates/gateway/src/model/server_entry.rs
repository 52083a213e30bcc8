//! A backend server as it registers itself.

use std::net::SocketAddr;
use std::time::SystemTime;

use strum::Display;

use super::DomainKey;
use super::ServerIncarnation;
use super::ServerKey;
use super::ServiceName;

/// The part of a request that a model engine does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ServerStage {
    /// Not a model engine.
    Plain,
    /// Reads prompts.
    Prefill,
    /// Generates tokens; reads prompts too, more slowly.
    Decode,
}

/// One registered server.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ServerEntry {
    pub server: ServerKey,
    pub service: ServiceName,
    pub address: SocketAddr,
    pub domain: DomainKey,
    /// Requests it works on at a time.
    pub slots: u32,
    pub stage: ServerStage,
    /// True once it has announced that it leaves.
    pub is_leaving: bool,
    /// When this start of the server was, by its own clock; `None` if it does
    /// not say. A server may start again under its id: it then knows nothing
    /// of before.
    pub started_at: Option<SystemTime>,
}

impl ServerEntry {
    /// Names this start of the server, among all starts of all servers.
    pub fn incarnation(&self) -> ServerIncarnation {
        server_incarnation(&self.server, self.started_at)
    }
}

/// Names the start of `server` at `started_at`.
pub fn server_incarnation(server: &str, started_at: Option<SystemTime>) -> ServerIncarnation {
    let since_epoch = started_at.and_then(|at| at.duration_since(SystemTime::UNIX_EPOCH).ok());
    let seed = since_epoch.map_or(0, |since| since.as_millis() as u64);
    umberglade_wire::digest_seeded(server.as_bytes(), seed)
}
