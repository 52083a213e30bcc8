//! `umberctl`: the operators' command line. It talks only to the platform, whose table service is
//! the source of truth, and never to a daemon.

mod args;
mod commands;
mod explain;

use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use umberglade_router::operator::OperatorActions;
use umberglade_router::platform::PlatformClient;

/// Timeout of each call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);

/// umberctl: list, edit and activate presets; drain backend servers.
#[derive(FromArgs, Debug)]
pub struct Cli {
    /// host:port of the platform's table service [UMBERCTL_PLATFORM, default 127.0.0.1:7100]
    #[argh(option)]
    pub platform: Option<String>,
    /// name of the operator, for the audit trail, e.g. night-shift/alice
    /// [UMBERCTL_ACTOR, default $USER]
    #[argh(option)]
    pub actor: Option<String>,
    #[argh(subcommand)]
    pub command: args::Command,
}

fn main() -> ExitCode {
    let cli: Cli = argh::from_env();
    let platform = cli
        .platform
        .or_else(|| std::env::var("UMBERCTL_PLATFORM").ok())
        .unwrap_or_else(|| "127.0.0.1:7100".into());
    let actor = cli
        .actor
        .or_else(|| std::env::var("UMBERCTL_ACTOR").ok())
        .or_else(|| std::env::var("USER").ok())
        .unwrap_or_else(|| "unknown".into());
    let actions =
        OperatorActions { platform: PlatformClient::new(platform, PLATFORM_TIMEOUT), actor };
    umberglade_wire::pool::start(1);
    match umberglade_wire::pool::block_on(commands::run(&actions, cli.command)) {
        Ok(output) => {
            println!("{output}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("umberctl: {error}");
            ExitCode::FAILURE
        }
    }
}
