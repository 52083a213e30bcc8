//! The platform protocol: the table service and the instance list.
//!
//! Routes of the platform stand-in (and, in production, of an adapter to
//! the platform's own service):
//! - `GET /v1/rows/{table}/{key}` → [`Row`], 404 when absent
//! - `PUT /v1/rows/{table}/{key}` [`RowWrite`] → [`Row`], 409 [`WriteConflict`]
//! - `DELETE /v1/rows/{table}/{key}?version=V`, 409 [`WriteConflict`]
//! - `GET /v1/rows/{table}?from=K&limit=N` → [`RowList`]: rows with key K
//!   or after it, at most N (all by default)
//! - `POST /v1/rows/{table}/remove` [`RowRemovals`] → [`RowList`] (empty):
//!   removes all rows or none, 409 [`WriteConflict`]
//! - `GET /v1/feed/{table}?after=G&wait_ms=W` → [`FeedPage`]: rows changed
//!   after generation G; a long poll that waits up to W ms for the first
//!   one; 410 when the service has not reached generation G
//! - `GET /v1/instances?after=G&wait_ms=W` → [`InstanceList`] (may be out
//!   of date): the entries changed after G, or all when G is 0 or unknown;
//!   a long poll that waits up to W ms for a change
//! - `PUT`, `GET`, `DELETE /v1/objects/{name}` → raw bytes of the object
//!   store; `GET /v1/objects?prefix=P` → [`ObjectList`]
//! - `PUT /v1/instances/{server}` [`InstanceEntry`] → [`InstanceEntry`]
//! - `POST /v1/faults` [`FaultPlan`] → [`FaultPlan`]
//!
//! Over its rate limit the service responds with 429 and `Retry-After`, in an
//! outage with 503. When the reply to a write is lost, the connection ends or
//! stalls without a response although the write was processed.

use serde::Deserialize;
use serde::Serialize;

use crate::engine::EngineRole;
use crate::ids::DaemonId;
use crate::ids::DomainName;
use crate::ids::ModelName;
use crate::ids::RegionName;
use crate::ids::RowVersion;
use crate::ids::ServerId;

/// The table of presets, keyed by preset name.
pub const PRESETS_TABLE: &str = "presets";
/// The table that every daemon follows, with the rows [`ACTIVE_KEY`], [`ORGANISATIONS_KEY`],
/// [`DRAINS_KEY`] and [`ROLE_ORDERS_KEY`].
pub const CONTROL_TABLE: &str = "control";
/// The key of the [`ActivePreset`] row of [`CONTROL_TABLE`].
pub const ACTIVE_KEY: &str = "active";
/// The key of the [`OrganisationRegistry`] row of [`CONTROL_TABLE`].
pub const ORGANISATIONS_KEY: &str = "organisations";
/// The key of the [`DrainRegistry`] row of [`CONTROL_TABLE`].
pub const DRAINS_KEY: &str = "drains";

/// One row of a table with its version.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Row {
    pub key: String,
    /// Starts at 1 and increases by one with each accepted write.
    pub version: RowVersion,
    /// When the row was written, in milliseconds of the service's monotonic clock; comparable only
    /// with a `now_ms` of the same service.
    #[serde(default)]
    pub written_ms: u64,
    pub value: serde_json::Value,
}

/// A conditional write of one row.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RowWrite {
    /// The version that the writer last read. The write succeeds only if the row still has it; 0
    /// means that the row must not exist yet.
    pub expect_version: RowVersion,
    pub value: serde_json::Value,
}

/// The reason why a conditional write was rejected.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct WriteConflict {
    /// The current version of the row; 0 when absent.
    pub current_version: RowVersion,
}

/// One row to remove, on condition that it still has `version`.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct RowRemoval {
    pub key: String,
    pub version: RowVersion,
}

/// Rows to remove in one transaction.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq, Default)]
pub struct RowRemovals {
    pub rows: Vec<RowRemoval>,
}

/// Rows of a table, sorted by key.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Default)]
pub struct RowList {
    /// The time of the service's monotonic clock when the list was read, in milliseconds.
    #[serde(default)]
    pub now_ms: u64,
    pub rows: Vec<Row>,
}

/// The rows of a table that changed after the requested generation.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Default)]
pub struct FeedPage {
    /// The `after` of the next request.
    pub generation: u64,
    /// The changed rows, each at its latest version.
    pub rows: Vec<Row>,
}

/// The names in the object store that start with a prefix.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq, Default)]
pub struct ObjectList {
    pub names: Vec<String>,
}

/// The active preset. The row contains the complete preset, so that a single conditional write
/// activates it everywhere and no daemon can combine the name of the active preset with another
/// edit of it.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct ActivePreset {
    /// The name of the active preset.
    pub preset: String,
    /// The version of the row of that preset that was activated.
    pub preset_version: RowVersion,
    /// The operator and shift that activated it, for the audit trail.
    pub activated_by: String,
    /// The body of the preset as stored in [`PRESETS_TABLE`].
    pub body: serde_json::Value,
}

/// All organisations with the API keys of their callers.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq, Default)]
pub struct OrganisationRegistry {
    pub organisations: std::collections::BTreeMap<crate::ids::OrganisationId, OrganisationEntry>,
}

/// The backend servers that operators have drained; they receive no new work.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq, Default)]
pub struct DrainRegistry {
    pub servers: std::collections::BTreeMap<ServerId, DrainOrder>,
}

/// A backend server in the instance list.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct InstanceEntry {
    pub server: ServerId,
    /// The `host:port` of the HTTP endpoint of the server.
    pub addr: String,
    pub role: EngineRole,
    /// The model that the server serves; the service name for plain services.
    pub model: ModelName,
    pub domain: DomainName,
    /// Empty at a site with a single region.
    #[serde(default)]
    pub region: RegionName,
    pub state: InstanceState,
}

/// Whether an instance accepts new work.
#[derive(
    Debug, Clone, Copy, Serialize, Deserialize, PartialEq, Eq, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum InstanceState {
    Live,
    Leaving,
    /// Removed; appears only in lists of changes.
    Gone,
}

/// The instance list or the changes in it; may be out of date.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq, Default)]
pub struct InstanceList {
    /// The number of changes that are visible so far, and the `after` of the next request.
    pub generation: u64,
    /// True when `instances` has only the changed entries, false when it has all entries.
    #[serde(default)]
    pub delta: bool,
    pub instances: Vec<InstanceEntry>,
}

/// Faults to inject into the platform stand-in.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq, Default)]
#[serde(default)]
pub struct FaultPlan {
    /// Reject every call to the rows, feeds, instances and objects with 503.
    pub outage: bool,
    /// Milliseconds by which the response to every such call is delayed.
    pub delay_ms: u64,
    /// Read every such call and leave it without a response, like a connection that has stalled.
    pub silent: bool,
    /// The percentage of writes, 0 to 100, whose reply is lost after the write took effect or was
    /// rejected with a conflict.
    pub lose_reply_percent: u8,
}

/// The table of [`MemberRecord`]s, keyed by daemon id.
pub const MEMBERS_TABLE: &str = "members";
/// The table of the leader lease: one [`LeaderRecord`] under [`LEADER_KEY`].
pub const LEADER_TABLE: &str = "duty";
/// The key of the only row of [`LEADER_TABLE`].
pub const LEADER_KEY: &str = "holder";
/// The key of the [`RoleOrderRegistry`] row of [`CONTROL_TABLE`].
pub const ROLE_ORDERS_KEY: &str = "role-orders";

/// The membership lease of a daemon: renewed by heartbeats while the daemon runs, expires when it
/// dies.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct MemberRecord {
    pub daemon: DaemonId,
    pub addr: String,
    pub domain: DomainName,
    pub region: RegionName,
    /// A new number at each start, which makes restarts visible.
    pub incarnation: u64,
    /// The fencing token (version of the active preset) that the daemon had when it renewed the
    /// lease.
    pub fence: u64,
    /// False when the daemon has started a graceful stop.
    pub serving: bool,
}

/// The holder of the leader lease: the daemon that may send
/// [`EngineOrder`](crate::engine::EngineOrder)s. The version of the row is their fencing token.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct LeaderRecord {
    pub holder: DaemonId,
    pub incarnation: u64,
}

/// The roles that operators have ordered for servers; the leader applies them.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq, Default)]
pub struct RoleOrderRegistry {
    pub servers: std::collections::BTreeMap<ServerId, RoleOrder>,
}

/// The role that an operator has ordered for one server.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct RoleOrder {
    pub role: EngineRole,
    pub by: String,
}

/// The order of an operator to drain one backend server.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct DrainOrder {
    pub server: ServerId,
    pub by: String,
}

/// The API keys that callers of an organisation present.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct OrganisationEntry {
    pub api_keys: Vec<String>,
}

/// What the platform stand-in has served since it started (`GET /v1/usage`). Accepted calls
/// count as reads or writes.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq, Default)]
pub struct PlatformUsage {
    pub reads: u64,
    pub writes: u64,
    /// Calls rejected over the rate limit (429) or in an outage (503).
    pub refused: u64,
    /// Request body bytes received.
    pub bytes_in: u64,
    /// Response body bytes sent.
    pub bytes_out: u64,
}
