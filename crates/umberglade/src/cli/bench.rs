//! Arguments of the load, experiment and latency commands.

use argh::FromArgs;

/// Send a bounded open-loop load to daemons and report goodput, latency
/// percentiles, rejections and wasted prefill.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "load")]
pub struct LoadArgs {
    /// host:port of a daemon on loopback (repeatable: used in rotation)
    #[argh(option)]
    pub target: Vec<String>,
    /// API key to send with (repeatable: one per organisation)
    #[argh(option)]
    pub key: Vec<String>,
    /// workload file (bench/workloads/*.toml)
    #[argh(option)]
    pub workload: String,
    /// factor on the workload's rates [default 1]
    #[argh(option, default = "1.0")]
    pub scale: f64,
    /// seed of the arrivals [default 1]
    #[argh(option, default = "1")]
    pub seed: u64,
    /// host:port of an engine whose prefill statistics are read (repeatable)
    #[argh(option)]
    pub engine: Vec<String>,
}

/// Compare placement policies over a range of loads, with everything in one process on loopback;
/// write CSV, SVG and a Markdown table.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "experiment")]
pub struct ExperimentArgs {
    /// workload file (bench/workloads/*.toml)
    #[argh(option)]
    pub workload: String,
    /// folder for NAME.csv, NAME.svg and NAME.md [default bench/results]
    #[argh(option, default = "String::from(\"bench/results\")")]
    pub out: String,
    /// policy to run: affinity, least-loaded or round-robin (repeatable)
    /// [default all]
    #[argh(option)]
    pub policy: Vec<String>,
    /// number of runs of each policy at each load [default 1]
    #[argh(option, default = "1")]
    pub runs: u32,
    /// name of the files written [default the workload's name]
    #[argh(option)]
    pub name: Option<String>,
    /// run only this load, a factor on the workload's rates
    #[argh(option)]
    pub scale: Option<f64>,
}

/// Measure the latency that the router adds: send the same requests alternately straight to the
/// engine stand-ins and through a daemon, in one process.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "latency")]
pub struct LatencyArgs {
    /// requests on each path [default 300]
    #[argh(option, default = "300")]
    pub requests: u32,
}
