//! Summing up a run: per class and in all.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use umberglade_wire::engine::Priority;

use super::CallOutcome;
use super::LoadPlan;
use super::PrefillTotals;

/// Histogram range: 1 µs to 10 minutes, 3 significant figures.
const HISTOGRAM_MAX_US: u64 = 600_000_000;
const HISTOGRAM_FIGURES: u8 = 3;

/// What callers of one class saw.
#[derive(Debug, Clone, Serialize)]
pub struct ClassSummary {
    pub class: Priority,
    pub sent: u32,
    /// Answers that arrived whole, ending in `[DONE]`.
    pub whole: u32,
    /// Honest refusals (429/503), each with `Retry-After`.
    pub refused: u32,
    /// Refusals that carried no `Retry-After`.
    pub refused_without_retry_after: u32,
    /// Anything else: errors, cut answers, no answer.
    pub failed: u32,
    /// Whole answers meeting both the first-token and per-token targets.
    pub good: u32,
    /// `good / sent`.
    pub goodput_share: f64,
    pub ttft_p50_ms: f64,
    pub ttft_p95_ms: f64,
    pub tpot_p50_ms: f64,
    pub tpot_p95_ms: f64,
}

/// What one run came to.
#[derive(Debug, Clone, Serialize)]
pub struct RunSummary {
    pub offered_rate: f64,
    pub elapsed_s: f64,
    pub classes: Vec<ClassSummary>,
    /// Prompt tokens computed by the engines during the run.
    pub prefill_computed_tokens: u64,
    /// Prompt tokens computed and thrown away (evicted or cancelled unused).
    pub prefill_wasted_tokens: u64,
    /// `good` answers a second, all classes.
    pub goodput_per_s: f64,
}

impl RunSummary {
    /// Sums `outcomes` of `plan`, with the engines' prefill `totals`.
    pub fn from_outcomes(
        plan: &LoadPlan,
        outcomes: &[CallOutcome],
        elapsed: Duration,
        totals: PrefillTotals,
    ) -> RunSummary {
        let classes: Vec<ClassSummary> = [Priority::Urgent, Priority::Standard]
            .into_iter()
            .map(|class| summarise(plan, class, outcomes))
            .filter(|summary| summary.sent > 0)
            .collect();
        let good: u32 = classes.iter().map(|class| class.good).sum();
        RunSummary {
            offered_rate: plan.rate,
            elapsed_s: elapsed.as_secs_f64(),
            classes,
            prefill_computed_tokens: totals.computed,
            prefill_wasted_tokens: totals.wasted,
            goodput_per_s: f64::from(good) / elapsed.as_secs_f64().max(1e-9),
        }
    }
}

fn summarise(plan: &LoadPlan, class: Priority, outcomes: &[CallOutcome]) -> ClassSummary {
    let ttft_target = match class {
        Priority::Urgent => plan.urgent_ttft,
        Priority::Standard => plan.standard_ttft,
    };
    let mut ttft = new_histogram();
    let mut tpot = new_histogram();
    let mut summary = ClassSummary {
        class,
        sent: 0,
        whole: 0,
        refused: 0,
        refused_without_retry_after: 0,
        failed: 0,
        good: 0,
        goodput_share: 0.0,
        ttft_p50_ms: 0.0,
        ttft_p95_ms: 0.0,
        tpot_p50_ms: 0.0,
        tpot_p95_ms: 0.0,
    };
    for outcome in outcomes.iter().filter(|outcome| outcome.class == class) {
        summary.sent += 1;
        match outcome.status {
            200 if outcome.whole => summary.whole += 1,
            429 | 503 => {
                summary.refused += 1;
                if outcome.retry_after_s.is_none() {
                    summary.refused_without_retry_after += 1;
                }
                continue;
            }
            _ => {
                summary.failed += 1;
                continue;
            }
        }
        let first = outcome.ttft.unwrap_or(Duration::MAX);
        let between = outcome.tpot.unwrap_or(Duration::ZERO);
        let _ = ttft.record(micros(first));
        let _ = tpot.record(micros(between));
        if first <= ttft_target && between <= plan.tpot {
            summary.good += 1;
        }
    }
    summary.goodput_share = f64::from(summary.good) / f64::from(summary.sent.max(1));
    summary.ttft_p50_ms = ttft.value_at_quantile(0.50) as f64 / 1000.0;
    summary.ttft_p95_ms = ttft.value_at_quantile(0.95) as f64 / 1000.0;
    summary.tpot_p50_ms = tpot.value_at_quantile(0.50) as f64 / 1000.0;
    summary.tpot_p95_ms = tpot.value_at_quantile(0.95) as f64 / 1000.0;
    summary
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, HISTOGRAM_MAX_US, HISTOGRAM_FIGURES)
        .expect("valid histogram bounds")
}

fn micros(duration: Duration) -> u64 {
    (duration.as_micros() as u64).clamp(1, HISTOGRAM_MAX_US)
}
