//! `umberglade load`: runs one load against daemons that are already running.

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;

use umberglade_bench::load;
use umberglade_bench::load::LoadTarget;
use umberglade_bench::report;
use umberglade_bench::workload::Workload;
use umberglade_wire::pool;

use crate::cli::LoadArgs;
use crate::setting::StartError;

/// Worker threads that run the callers.
const LOAD_THREADS: usize = 4;

/// Runs the load and prints the summary as a line of text and a line of JSON.
pub fn run(args: LoadArgs) -> Result<(), StartError> {
    require("key", !args.key.is_empty(), "give at least one --key")?;
    require("target", !args.target.is_empty(), "give at least one --target")?;
    require("scale", args.scale > 0.0 && args.scale <= 100.0, "must be above 0, at most 100")?;
    for target in args.target.iter().chain(&args.engine) {
        let is_loopback =
            target.parse::<SocketAddr>().is_ok_and(|address| address.ip().is_loopback());
        require("target", is_loopback, "load goes only to loopback addresses (ip:port)")?;
    }
    let workload = Arc::new(read_workload(&args.workload)?);
    let target = LoadTarget { daemons: args.target, keys: args.key, engines: args.engine };
    pool::start(LOAD_THREADS);
    let summary = pool::block_on(load::run(&workload, &Arc::new(target), args.scale, args.seed));
    println!("{}", report::text_line("load", &summary));
    println!("{}", serde_json::to_string(&summary).expect("serialising the summary"));
    Ok(())
}

/// Reads and validates the workload file at `path`.
pub fn read_workload(path: &str) -> Result<Workload, StartError> {
    let text = fs::read_to_string(path).map_err(|error| bad_workload(path, &error))?;
    Workload::from_toml(&text).map_err(|error| bad_workload(path, &error))
}

fn bad_workload(path: &str, error: &dyn std::fmt::Display) -> StartError {
    StartError::Setting { flag: "workload", env: "-", problem: format!("{path}: {error}") }
}

fn require(flag: &'static str, condition: bool, problem: &str) -> Result<(), StartError> {
    if condition {
        return Ok(());
    }
    Err(StartError::Setting { flag, env: "-", problem: problem.to_owned() })
}
