//! Writes CSV with one line per policy, load, run and class.

use std::io;
use std::io::Write;

use crate::experiment::ExperimentRow;

/// The columns, in order.
const HEADER: &str = "workload,policy,scale,run,class,owed,whole,refused,failed,hung_up,good,\
goodput_share,ttft_p50_ms,ttft_p95_ms,tpot_p95_ms,refused_without_retry_after,\
computed_tokens,wasted_tokens,wasted_share";

/// Writes `rows` to `output`.
pub fn write_csv(rows: &[ExperimentRow], output: &mut impl Write) -> io::Result<()> {
    writeln!(output, "{HEADER}")?;
    for row in rows {
        let run = &row.summary;
        for class in &run.classes {
            writeln!(
                output,
                "{},{},{},{},{},{},{},{},{},{},{},{:.4},{:.1},{:.1},{:.1},{},{},{},{:.4}",
                run.workload,
                row.policy,
                run.scale,
                row.run,
                class.class,
                class.owed,
                class.whole,
                class.refused,
                class.failed,
                class.hung_up,
                class.good,
                class.goodput_share,
                class.ttft_p50_ms,
                class.ttft_p95_ms,
                class.tpot_p95_ms,
                class.refused_without_retry_after,
                run.prefill.computed,
                run.wasted_tokens,
                run.wasted_share,
            )?;
        }
    }
    Ok(())
}
