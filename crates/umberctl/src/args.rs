//! The subcommands of `umberctl` and their arguments.

use argh::FromArgs;

/// The subcommands.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    Explain(ExplainArgs),
    List(ListArgs),
    Show(ShowArgs),
    Put(PutArgs),
    Check(CheckArgs),
    Activate(ActivateArgs),
    Status(StatusArgs),
    Drain(DrainArgs),
    Undrain(UndrainArgs),
    Org(OrgArgs),
    Role(RoleArgs),
    Members(MembersArgs),
    Snapshot(SnapshotArgs),
}

/// Show one request's timeline from the instances' log lines.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// the request's id
    #[argh(positional)]
    pub request_id: String,
    /// log files; - or none reads standard input
    #[argh(positional)]
    pub files: Vec<String>,
}

/// List presets with their versions.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "list")]
pub struct ListArgs {}

/// Show one preset as stored.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "show")]
pub struct ShowArgs {
    /// preset name
    #[argh(positional)]
    pub name: String,
}

/// Create or edit a preset from a TOML file (checked before it is written).
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "put")]
pub struct PutArgs {
    /// preset name
    #[argh(positional)]
    pub name: String,
    /// TOML file
    #[argh(positional)]
    pub file: String,
    /// version that the edit is based on (0 for a new preset); the write fails if the stored
    /// version differs
    #[argh(option)]
    pub expect_version: u64,
}

/// Check a preset file without writing it.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// TOML file
    #[argh(positional)]
    pub file: String,
}

/// Activate a preset on every daemon.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "activate")]
pub struct ActivateArgs {
    /// preset name
    #[argh(positional)]
    pub name: String,
    /// active version as printed by `status`; the command fails if another operator has changed
    /// it since
    #[argh(option)]
    pub expect_active: u64,
}

/// Show the active preset and its version.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {}

/// Stop sending new work to a backend server.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "drain")]
pub struct DrainArgs {
    /// backend server id
    #[argh(positional)]
    pub server: String,
}

/// Return a drained backend server to service.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "undrain")]
pub struct UndrainArgs {
    /// backend server id
    #[argh(positional)]
    pub server: String,
}

/// Add or replace an organisation and its API keys.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "org")]
pub struct OrgArgs {
    /// organisation name
    #[argh(positional)]
    pub name: String,
    /// an API key of the organisation's callers (repeatable)
    #[argh(option)]
    pub key: Vec<String>,
}

/// Assign another role to a backend server (the leader sends it the order).
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "role")]
pub struct RoleArgs {
    /// backend server id
    #[argh(positional)]
    pub server: String,
    /// prefill or decode
    #[argh(positional)]
    pub role: String,
}

/// Show every daemon, its fencing token (the version of its active preset) and whether its lease is
/// live.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "members")]
pub struct MembersArgs {
    /// lease duration in milliseconds (3 times the daemons' heartbeat interval) [default 15000]
    #[argh(option, default = "15000")]
    pub lease_ms: u64,
}

/// Manage copies, in the object store, of every preset and control row (active preset,
/// organisations, drains, role orders).
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "snapshot")]
pub struct SnapshotArgs {
    #[argh(subcommand)]
    pub action: SnapshotAction,
}

/// The subcommands of `snapshot`.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum SnapshotAction {
    Save(SaveArgs),
    List(ListSnapshotsArgs),
    Restore(RestoreArgs),
}

/// Save a snapshot.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "save")]
pub struct SaveArgs {
    /// snapshot name
    #[argh(positional)]
    pub name: String,
}

/// List snapshot names.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "list")]
pub struct ListSnapshotsArgs {}

/// Restore a snapshot: its rows are written as new versions on top of the current ones.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "restore")]
pub struct RestoreArgs {
    /// snapshot name
    #[argh(positional)]
    pub name: String,
}
