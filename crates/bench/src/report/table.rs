//! Text reports: one line per run, and a Markdown table at the end.

use std::fmt::Write;

use strum::IntoEnumIterator;

use crate::experiment::ExperimentRow;
use crate::experiment::PolicyName;
use crate::load::RunSummary;

/// Formats one run as one line with `label`.
pub fn text_line(label: &str, run: &RunSummary) -> String {
    let mut line = format!(
        "{:<12} {:<12} load {:>4.2}  goodput {:>5.1}%  wasted {:>5.1}% of {} tokens (unused {}, repeated {}, prefix {})",
        run.workload,
        label,
        run.scale,
        run.goodput_share * 100.0,
        run.wasted_share * 100.0,
        run.prefill.computed,
        run.prefill.unused,
        run.prefill.repeated,
        run.prefill.prefix,
    );
    for class in &run.classes {
        let _ = write!(
            line,
            " | {} {}/{} good, p95 {:.0} ms, refused {}, failed {}",
            class.class, class.good, class.owed, class.ttft_p95_ms, class.refused, class.failed
        );
    }
    line
}

/// Mean results of one policy at one load.
struct PolicyMean {
    goodput: f64,
    wasted_share: f64,
    wasted_tokens: f64,
}

/// Formats the mean goodput and wasted prefill of each policy at each load, with the ratio of the
/// affinity policy to each other policy.
pub fn markdown_table(rows: &[ExperimentRow]) -> String {
    let mut table = String::from(
        "| load | policy | goodput | wasted prefill (share) | wasted tokens | goodput vs. it | wasted vs. it |\n|---|---|---|---|---|---|---|\n",
    );
    for scale in scales(rows) {
        let affinity = mean(rows, PolicyName::Affinity, scale);
        for policy in PolicyName::iter() {
            let Some(mean) = mean(rows, policy, scale) else {
                continue;
            };
            let ratio = |affinity: f64, other: f64| match policy {
                PolicyName::Affinity => "—".to_owned(),
                _ if other == 0.0 => "n/a".to_owned(),
                _ => format!("{:.2}×", affinity / other),
            };
            let (goodput, wasted) = affinity
                .as_ref()
                .map_or((0.0, 0.0), |affinity| (affinity.goodput, affinity.wasted_tokens));
            let _ = writeln!(
                table,
                "| {scale:.2} | {policy} | {:.1} % | {:.1} % | {:.0} | {} | {} |",
                mean.goodput * 100.0,
                mean.wasted_share * 100.0,
                mean.wasted_tokens,
                ratio(goodput, mean.goodput),
                ratio(wasted, mean.wasted_tokens),
            );
        }
    }
    table
}

/// Returns the distinct loads of `rows` in the order in which they were run.
pub(super) fn scales(rows: &[ExperimentRow]) -> Vec<f64> {
    let mut scales: Vec<f64> = Vec::new();
    for row in rows {
        if !scales.contains(&row.summary.scale) {
            scales.push(row.summary.scale);
        }
    }
    scales
}

fn mean(rows: &[ExperimentRow], policy: PolicyName, scale: f64) -> Option<PolicyMean> {
    let matching: Vec<&ExperimentRow> =
        rows.iter().filter(|row| row.policy == policy && row.summary.scale == scale).collect();
    if matching.is_empty() {
        return None;
    }
    let count = matching.len() as f64;
    let average = |figure: fn(&ExperimentRow) -> f64| {
        matching.iter().map(|row| figure(row)).sum::<f64>() / count
    };
    Some(PolicyMean {
        goodput: average(|row| row.summary.goodput_share),
        wasted_share: average(|row| row.summary.wasted_share),
        wasted_tokens: average(|row| row.summary.wasted_tokens as f64),
    })
}

/// Returns the percentages of `policy`, one point per load: wasted prefill if `wasted`, else
/// goodput.
pub(super) fn series(rows: &[ExperimentRow], policy: PolicyName, wasted: bool) -> Vec<(f64, f64)> {
    scales(rows)
        .into_iter()
        .filter_map(|scale| {
            let mean = mean(rows, policy, scale)?;
            let figure = if wasted { mean.wasted_share } else { mean.goodput };
            Some((scale, figure * 100.0))
        })
        .collect()
}
