//! `umberglade experiment`: compares placement policies and writes the result files.

use std::fs;
use std::io;
use std::path::Path;
use std::sync::Arc;

use strum::IntoEnumIterator;
use umberglade_bench::experiment;
use umberglade_bench::experiment::ExperimentRow;
use umberglade_bench::experiment::PolicyName;
use umberglade_bench::report;
use umberglade_wire::pool;

use crate::cli::ExperimentArgs;
use crate::load::read_workload;
use crate::logging;
use crate::setting::StartError;

/// Threads shared by callers, daemons and stand-ins.
const EXPERIMENT_THREADS: usize = 6;

/// Runs the experiment and writes its result files.
pub fn run(args: ExperimentArgs) -> Result<(), StartError> {
    logging::init_errors_only();
    let mut workload = read_workload(&args.workload)?;
    if let Some(scale) = args.scale {
        workload.scales = vec![scale];
    }
    let policies = policies(&args.policy)?;
    let name = args.name.unwrap_or_else(|| workload.name.clone());
    pool::start(EXPERIMENT_THREADS);
    let rows = pool::block_on(experiment::run(
        Arc::new(workload),
        &policies,
        args.runs.clamp(1, 20),
        |row| println!("{}", report::text_line(&row.policy.to_string(), &row.summary)),
    ))
    .map_err(|error| StartError::Failed { message: error.to_string() })?;
    write_files(&rows, Path::new(&args.out), &name)
        .map_err(|error| StartError::Failed { message: format!("writing {}: {error}", args.out) })
}

fn policies(names: &[String]) -> Result<Vec<PolicyName>, StartError> {
    if names.is_empty() {
        return Ok(PolicyName::iter().collect());
    }
    names
        .iter()
        .map(|name| {
            name.parse().map_err(|_| StartError::Setting {
                flag: "policy",
                env: "-",
                problem: format!("`{name}`: must be affinity, least-loaded or round-robin"),
            })
        })
        .collect()
}

fn write_files(rows: &[ExperimentRow], out: &Path, name: &str) -> io::Result<()> {
    fs::create_dir_all(out)?;
    report::write_csv(rows, &mut fs::File::create(out.join(format!("{name}.csv")))?)?;
    let table = report::markdown_table(rows);
    fs::write(out.join(format!("{name}.md")), &table)?;
    report::write_plot(rows, &out.join(format!("{name}.svg"))).map_err(io::Error::other)?;
    println!("\n{table}");
    Ok(())
}
