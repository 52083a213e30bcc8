//! `umberglade load`: the load and experiment tool's command line.

use std::time::Duration;

use umberglade_standin::load;
use umberglade_standin::load::LoadPlan;
use umberglade_wire::pool;

use crate::cli::LoadArgs;
use crate::setting::StartError;

/// Threads driving the callers.
const LOAD_THREADS: usize = 4;
/// The brief's targets: first token within 0.91 s, 48 ms between tokens.
const URGENT_TTFT: Duration = Duration::from_millis(910);
const TPOT: Duration = Duration::from_millis(48);
/// Long briefs may wait a little for their first token.
const STANDARD_TTFT: Duration = Duration::from_secs(20);

/// Runs the load and prints a table and one JSON line.
pub fn run(args: LoadArgs) -> Result<(), StartError> {
    if args.key.is_empty() {
        return Err(StartError::Setting {
            flag: "key",
            env: "-",
            problem: "give at least one --key".into(),
        });
    }
    if !(0.0..=1.0).contains(&args.long_share) {
        return Err(StartError::Setting {
            flag: "long-share",
            env: "-",
            problem: "must be from 0 to 1".into(),
        });
    }
    let plan = LoadPlan {
        target: args.target,
        keys: args.key,
        model: args.model,
        requests: args.requests,
        rate: args.rate,
        long_share: args.long_share,
        short_prompt_tokens: args.short_prompt_tokens,
        long_prompt_tokens: args.long_prompt_tokens,
        shared_prefix_tokens: args.shared_prefix_tokens.min(args.long_prompt_tokens),
        max_tokens: args.max_tokens.max(1),
        urgent_ttft: URGENT_TTFT,
        standard_ttft: STANDARD_TTFT,
        tpot: TPOT,
        engines: args.engine,
        limit: Duration::from_secs(args.seconds),
    };
    pool::start(LOAD_THREADS);
    let summary = pool::block_on(load::run(plan));
    println!(
        "class     sent  whole  refused  failed  good  goodput  ttft_p50  ttft_p95  tpot_p50  tpot_p95"
    );
    for class in &summary.classes {
        println!(
            "{:<8} {:>5} {:>6} {:>8} {:>7} {:>5} {:>7.1}% {:>7.1}ms {:>7.1}ms {:>7.1}ms {:>7.1}ms",
            class.class.to_string(),
            class.sent,
            class.whole,
            class.refused,
            class.failed,
            class.good,
            class.goodput_share * 100.0,
            class.ttft_p50_ms,
            class.ttft_p95_ms,
            class.tpot_p50_ms,
            class.tpot_p95_ms
        );
    }
    println!(
        "prefill tokens computed {} wasted {}; goodput {:.1}/s over {:.1}s",
        summary.prefill_computed_tokens,
        summary.prefill_wasted_tokens,
        summary.goodput_per_s,
        summary.elapsed_s
    );
    println!("{}", serde_json::to_string(&summary).expect("serialising the summary"));
    Ok(())
}
