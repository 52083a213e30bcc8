//! Runs the subcommands of `umberctl` and formats their output.

use std::time::Duration;

use snafu::Snafu;
use umberglade_router::operator::MemberInfo;
use umberglade_router::operator::OperatorActions;
use umberglade_router::operator::OperatorError;
use umberglade_router::preset::Preset;
use umberglade_wire::engine::EngineRole;
use umberglade_wire::platform::PRESETS_TABLE;

use crate::args::Command;
use crate::args::SnapshotAction;
use crate::explain::explain;

/// Why a command failed.
#[derive(Debug, Snafu)]
pub enum CommandError {
    #[snafu(display("{source}"))]
    Operator { source: OperatorError },
    #[snafu(display("reading {path}: {source}"))]
    ReadFile { path: String, source: std::io::Error },
    #[snafu(display("role `{role}`: must be prefill or decode"))]
    BadRole { role: String },
}

impl From<OperatorError> for CommandError {
    fn from(source: OperatorError) -> Self {
        CommandError::Operator { source }
    }
}

/// Runs `command` and returns the text to print.
pub async fn run(actions: &OperatorActions, command: Command) -> Result<String, CommandError> {
    match command {
        Command::Explain(args) => {
            let files = if args.files.is_empty() { vec!["-".to_owned()] } else { args.files };
            explain(&args.request_id, &files)
        }
        Command::List(_) => {
            let list = actions
                .platform
                .list(PRESETS_TABLE)
                .await
                .map_err(|source| OperatorError::Platform { step: "list presets", source })?;
            let lines: Vec<String> = list
                .rows
                .iter()
                .map(|row| format!("{}\tversion {}", row.key, row.version))
                .collect();
            Ok(lines.join("\n"))
        }
        Command::Show(args) => {
            let row = actions
                .platform
                .get(PRESETS_TABLE, &args.name)
                .await
                .map_err(|source| OperatorError::Platform { step: "read preset", source })?
                .ok_or(OperatorError::NoSuchPreset { name: args.name.clone() })?;
            let pretty = serde_json::to_string_pretty(&row.value).unwrap_or_default();
            Ok(format!("{} version {}\n{pretty}", row.key, row.version))
        }
        Command::Put(args) => {
            let text = read_file(&args.file)?;
            let row = actions.put_preset(&args.name, &text, args.expect_version).await?;
            Ok(format!("preset {} written at version {}", args.name, row.version))
        }
        Command::Check(args) => {
            let text = read_file(&args.file)?;
            Preset::from_toml(&text).map_err(|source| OperatorError::Invalid { source })?;
            Ok(format!("{}: valid", args.file))
        }
        Command::Activate(args) => {
            let row = actions.activate(&args.name, args.expect_active).await?;
            Ok(format!(
                "preset {} in force at version {} (daemons follow within seconds)",
                args.name, row.version
            ))
        }
        Command::Status(_) => match actions.active().await? {
            Some((version, active)) => Ok(format!(
                "in force: {} (preset version {}), active version {version}, activated by {}",
                active.preset, active.preset_version, active.activated_by
            )),
            None => Ok("no preset has been activated".into()),
        },
        Command::Drain(args) => {
            let row = actions.drain(&args.server).await?;
            Ok(format!("{} drained (drains version {})", args.server, row.version))
        }
        Command::Undrain(args) => {
            let row = actions.undrain(&args.server).await?;
            Ok(format!("{} back in service (drains version {})", args.server, row.version))
        }
        Command::Org(args) => {
            let row = actions.set_organisation(&args.name, args.key).await?;
            Ok(format!("organisation {} set (organisations version {})", args.name, row.version))
        }
        Command::Role(args) => {
            let role = args.role.parse().ok().filter(|role| *role != EngineRole::Plain);
            let role = role.ok_or(CommandError::BadRole { role: args.role })?;
            let row = actions.set_role_order(&args.server, role).await?;
            Ok(format!("{} is to serve {role} (role orders version {})", args.server, row.version))
        }
        Command::Members(args) => {
            let members = actions.members(Duration::from_millis(args.lease_ms)).await?;
            Ok(members.iter().map(member_line).collect::<Vec<_>>().join("\n"))
        }
        Command::Snapshot(args) => snapshot(actions, args.action).await,
    }
}

async fn snapshot(
    actions: &OperatorActions,
    action: SnapshotAction,
) -> Result<String, CommandError> {
    match action {
        SnapshotAction::Save(args) => {
            let rows = actions.save_snapshot(&args.name).await?;
            Ok(format!("snapshot {} saved: {rows} rows", args.name))
        }
        SnapshotAction::List(_) => Ok(actions.list_snapshots().await?.join("\n")),
        SnapshotAction::Restore(args) => {
            let changed = actions.restore_snapshot(&args.name).await?;
            Ok(format!("snapshot {} restored: {changed} rows written", args.name))
        }
    }
}

fn member_line(member: &MemberInfo) -> String {
    let record = &member.record;
    format!(
        "{}\t{}\t{}/{}\tfence {}\t{}\tseen {:.1} s ago{}",
        record.daemon,
        record.addr,
        record.region,
        record.domain,
        record.fence,
        if record.serving { "serving" } else { "stopping" },
        member.age.as_secs_f64(),
        if member.is_live { "" } else { "\tLAPSED" },
    )
}

fn read_file(path: &str) -> Result<String, CommandError> {
    std::fs::read_to_string(path)
        .map_err(|source| CommandError::ReadFile { path: path.to_owned(), source })
}
