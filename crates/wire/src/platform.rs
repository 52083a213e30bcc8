//! The platform protocol: the table service and the instance list.
//!
//! Routes of the platform stand-in (and, in production, of an adapter to
//! the platform's own service):
//! - `GET /v1/rows/{table}/{key}` → [`Row`], 404 when absent
//! - `PUT /v1/rows/{table}/{key}` [`RowWrite`] → [`Row`], 409 [`WriteConflict`]
//! - `DELETE /v1/rows/{table}/{key}?version=V`, 409 [`WriteConflict`]
//! - `GET /v1/rows/{table}?from=K&limit=N` → [`RowList`]: rows whose key
//!   is K or after it, at most N (all by default)
//! - `POST /v1/rows/{table}/remove` [`RowRemovals`] → [`RowList`] (empty):
//!   all removed or none, 409 [`WriteConflict`]
//! - `GET /v1/feed/{table}?after=G&wait_ms=W` → [`FeedPage`]: rows changed
//!   after generation G, held open up to W ms while there are none; 410
//!   when the table's history does not reach G
//! - `GET /v1/instances?after=G&wait_ms=W` → [`InstanceList`] (lags behind
//!   reality): the entries changed after G, or all with G = 0 or unknown
//! - `PUT`, `GET`, `DELETE /v1/objects/{name}` → raw bytes of the object
//!   store; `GET /v1/objects?prefix=P` → [`ObjectList`]
//! - `PUT /v1/instances/{server}` [`InstanceEntry`] → [`InstanceEntry`]
//! - `POST /v1/faults` [`FaultPlan`] → [`FaultPlan`]
//!
//! Over its rate the service answers 429 with `Retry-After`; in an outage,
//! 503. A lost reply shows as a dropped connection after the write.

use serde::Deserialize;
use serde::Serialize;

use crate::engine::EngineRole;
use crate::ids::DaemonId;
use crate::ids::DomainName;
use crate::ids::ModelName;
use crate::ids::RegionName;
use crate::ids::RowVersion;
use crate::ids::ServerId;

/// The table holding presets, keyed by preset name.
pub const PRESETS_TABLE: &str = "presets";
/// The table every daemon follows: rows [`ACTIVE_KEY`],
/// [`ORGANISATIONS_KEY`] and [`DRAINS_KEY`].
pub const CONTROL_TABLE: &str = "control";
/// The [`ActivePreset`] row: the preset in force, whole.
pub const ACTIVE_KEY: &str = "active";
/// The [`OrganisationBook`] row.
pub const ORGANISATIONS_KEY: &str = "organisations";
/// The [`DrainBook`] row.
pub const DRAINS_KEY: &str = "drains";

/// One row with its version.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Row {
    pub key: String,
    /// Starts at 1 and grows by one with each accepted write.
    pub version: RowVersion,
    /// The service's own steady clock when the row was written; compare
    /// only with a `now_ms` of the same service.
    #[serde(default)]
    pub written_ms: u64,
    pub value: serde_json::Value,
}

/// A conditional write.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RowWrite {
    /// The version the writer last read: the write succeeds only if the row
    /// is still at it. 0 means "the row must not exist yet".
    pub expect_version: RowVersion,
    pub value: serde_json::Value,
}

/// Why a conditional write was refused.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct WriteConflict {
    /// The row's version now (0 when absent).
    pub current_version: RowVersion,
}

/// One row to remove, if it is still at `version`.
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
    /// The service's steady clock now.
    #[serde(default)]
    pub now_ms: u64,
    pub rows: Vec<Row>,
}

/// The rows of a table that changed after the generation asked for.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Default)]
pub struct FeedPage {
    /// What to ask `after` next.
    pub generation: u64,
    /// Changed rows, each at its newest version.
    pub rows: Vec<Row>,
}

/// Names in the object store under a prefix.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq, Default)]
pub struct ObjectList {
    pub names: Vec<String>,
}

/// The row that says which preset is in force, carrying the preset whole
/// so that one conditional write puts it in force everywhere: no daemon can
/// pair a pointer with a different edit of the preset.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct ActivePreset {
    /// Name of the preset in force.
    pub preset: String,
    /// The version of that preset's row that was activated.
    pub preset_version: RowVersion,
    /// Who activated it (operator and shift), for the audit trail.
    pub activated_by: String,
    /// The preset's body as stored in the presets table.
    pub body: serde_json::Value,
}

/// Every organisation, with its callers' API keys.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq, Default)]
pub struct OrganisationRegistry {
    pub organisations: std::collections::BTreeMap<crate::ids::OrganisationId, OrganisationEntry>,
}

/// Backend servers that operators have drained: no new work goes there.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq, Default)]
pub struct DrainRegistry {
    pub servers: std::collections::BTreeMap<ServerId, DrainOrder>,
}

/// A backend server as the instance list knows it.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct InstanceEntry {
    pub server: ServerId,
    /// `host:port` of the server's HTTP endpoint.
    pub addr: String,
    pub role: EngineRole,
    /// The model it serves; the service name for plain services.
    pub model: ModelName,
    pub domain: DomainName,
    /// Empty at a site of one region.
    #[serde(default)]
    pub region: RegionName,
    pub state: InstanceState,
}

/// Whether an instance takes new work.
#[derive(
    Debug, Clone, Copy, Serialize, Deserialize, PartialEq, Eq, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum InstanceState {
    Live,
    Leaving,
    /// No longer there; only ever in a list of changes.
    Gone,
}

/// The instance list, or what changed in it (behind reality).
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq, Default)]
pub struct InstanceList {
    /// Counts the changes visible so far; grows with each one. What to ask
    /// `after` next.
    pub generation: u64,
    /// True when `instances` holds only what changed; false for the whole.
    #[serde(default)]
    pub delta: bool,
    pub instances: Vec<InstanceEntry>,
}

/// Faults to inject into the platform stand-in.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq, Default)]
#[serde(default)]
pub struct FaultPlan {
    /// Answer every table call with 503.
    pub outage: bool,
    /// Delay every answer by this many milliseconds.
    pub delay_ms: u64,
    /// Read every call and never answer, as a connection gone silent does.
    pub silent: bool,
    /// Percent of writes whose reply is lost after the write took effect
    /// or met a conflict.
    pub lose_reply_percent: u8,
}

/// The table of [`MemberRecord`]s, keyed by daemon id.
pub const MEMBERS_TABLE: &str = "members";
/// The table of the duty lease: one [`DutyRecord`] under [`DUTY_KEY`].
pub const LEADER_TABLE: &str = "duty";
/// The one row of [`DUTY_TABLE`].
pub const LEADER_KEY: &str = "holder";
/// The [`RoleOrderBook`] row of [`CONTROL_TABLE`].
pub const ROLE_ORDERS_KEY: &str = "role-orders";

/// A daemon's membership: renewed while it runs, left to lapse when it
/// dies.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct MemberRecord {
    pub daemon: DaemonId,
    pub addr: String,
    pub domain: DomainName,
    pub region: RegionName,
    /// A new number each start, so a restart shows.
    pub incarnation: u64,
    /// The fence in force on it when it renewed.
    pub fence: u64,
    /// False once it began a graceful stop.
    pub serving: bool,
}

/// Who may send orders that change servers; the row's version is the
/// fencing number of those orders.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct LeaderRecord {
    pub holder: DaemonId,
    pub incarnation: u64,
}

/// What operators want servers to be; the holder of the duty sees to it.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq, Default)]
pub struct RoleOrderRegistry {
    pub servers: std::collections::BTreeMap<ServerId, RoleOrder>,
}

/// An operator's wish for one server's role.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct RoleOrder {
    pub role: EngineRole,
    pub by: String,
}

/// An operator's drain of one backend server.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct DrainOrder {
    pub server: ServerId,
    pub by: String,
}

/// An organisation and the API keys its callers present.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct OrganisationEntry {
    pub api_keys: Vec<String>,
}

/// What the platform stand-in has served since it started (`GET /v1/usage`).
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq, Default)]
pub struct PlatformUsage {
    pub reads: u64,
    pub writes: u64,
    /// Calls refused for rate (429) or outage (503).
    pub refused: u64,
    /// Request body bytes received.
    pub bytes_in: u64,
    /// Response body bytes sent.
    pub bytes_out: u64,
}
