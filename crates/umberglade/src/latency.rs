//! `umberglade latency`: measures the latency that the router adds to a request.

use umberglade_bench::latency;
use umberglade_bench::latency::PathLatencies;
use umberglade_wire::pool;

use crate::cli::LatencyArgs;
use crate::logging;
use crate::setting::StartError;

/// Threads shared by caller, daemon and stand-ins.
const LATENCY_THREADS: usize = 4;
/// Maximum requests of one run.
const MAX_REQUESTS: u32 = 10_000;

/// Measures the direct and the routed path and prints both and their ratio.
pub fn run(args: LatencyArgs) -> Result<(), StartError> {
    logging::init_errors_only();
    pool::start(LATENCY_THREADS);
    let report = pool::block_on(latency::measure(args.requests.clamp(1, MAX_REQUESTS)))
        .map_err(|error| StartError::Failed { message: error.to_string() })?;
    print_path("direct", &report.direct);
    print_path("routed", &report.routed);
    println!(
        "ratio   first token {:.3}  whole answer {:.3}  ({} requests each way)",
        report.first_token_ratio, report.whole_ratio, report.requests
    );
    Ok(())
}

fn print_path(name: &str, latencies: &PathLatencies) {
    println!(
        "{name:<7} first token p50 {:.2} ms p95 {:.2} ms  whole answer p50 {:.2} ms p95 {:.2} ms",
        latencies.first_token_p50,
        latencies.first_token_p95,
        latencies.whole_p50,
        latencies.whole_p95
    );
}
