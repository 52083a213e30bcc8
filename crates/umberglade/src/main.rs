//! `umberglade`: the daemon of an entry instance, the gateway of a platform instance, a one-process
//! dev setup, load tools and the stand-ins used by tests. The work is done by the library crates.

mod allocator;
mod cli;
mod dev;
mod experiment;
mod gateway;
mod latency;
mod line_limit;
mod load;
mod logging;
mod serve;
mod setting;
mod standin;

use std::process::ExitCode;

use crate::cli::Cli;
use crate::cli::Command;
use crate::cli::StandinKind;

fn main() -> ExitCode {
    allocator::give_back_early();
    let cli: Cli = argh::from_env();
    let result = match cli.command {
        Command::Serve(args) => serve::run(args),
        Command::Gateway(args) => gateway::run(args),
        Command::Dev(args) => dev::run(args),
        Command::Load(args) => load::run(args),
        Command::Experiment(args) => experiment::run(args),
        Command::Latency(args) => latency::run(args),
        Command::Standin(args) => match args.kind {
            StandinKind::Platform(args) => standin::platform(args),
            StandinKind::Engine(args) => standin::engine(args),
            StandinKind::Plain(args) => standin::plain(args),
        },
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("umberglade: {error}");
            ExitCode::from(2)
        }
    }
}
