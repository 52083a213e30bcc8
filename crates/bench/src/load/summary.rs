//! Summarises a run per class and over all classes.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use umberglade_wire::engine::EngineStats;

use super::CallOutcome;
use super::CallResult;
use crate::workload::RequestClass;
use crate::workload::RequestKind;
use crate::workload::Workload;

/// Histogram range: 1 µs to 10 minutes, with 3 significant figures.
const HISTOGRAM_MAX_US: u64 = 600_000_000;
const HISTOGRAM_FIGURES: u8 = 3;

/// Prompt tokens computed by the engines during a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct PrefillTotals {
    pub computed: u64,
    /// Computed, then evicted or cancelled without being used.
    pub unused: u64,
    /// Computed by a repeated prefill of the same request.
    pub repeated: u64,
    /// Computed for shared prefixes, including the first time of each.
    pub prefix: u64,
}

impl PrefillTotals {
    /// Adds one engine's statistics.
    pub fn add(&mut self, stats: &EngineStats) {
        self.computed += stats.computed_tokens;
        self.unused += stats.wasted_tokens;
        self.repeated += stats.repeated_tokens;
        self.prefix += stats.prefix_tokens;
    }

    /// Returns the tokens added since `earlier`.
    pub fn since(&self, earlier: &PrefillTotals) -> PrefillTotals {
        PrefillTotals {
            computed: self.computed.saturating_sub(earlier.computed),
            unused: self.unused.saturating_sub(earlier.unused),
            repeated: self.repeated.saturating_sub(earlier.repeated),
            prefix: self.prefix.saturating_sub(earlier.prefix),
        }
    }
}

/// Results of one class as its callers saw them.
#[derive(Debug, Clone, Serialize)]
pub struct ClassSummary {
    pub class: String,
    /// Requests sent, except those whose caller hung up, as the workload specifies.
    pub owed: u32,
    pub whole: u32,
    /// Rejections with status 429 or 503.
    pub refused: u32,
    /// Rejections without `Retry-After`.
    pub refused_without_retry_after: u32,
    /// Errors, cut responses, responses past the caller's deadline.
    pub failed: u32,
    pub hung_up: u32,
    /// Complete responses that meet both the first-token and the per-token target.
    pub good: u32,
    /// `good / owed`.
    pub goodput_share: f64,
    pub ttft_p50_ms: f64,
    pub ttft_p95_ms: f64,
    pub tpot_p95_ms: f64,
    /// Rejections and failures by result, status and error type of the response body.
    pub reasons: BTreeMap<String, u32>,
}

/// The results of one run.
#[derive(Debug, Clone, Serialize)]
pub struct RunSummary {
    pub workload: String,
    pub scale: f64,
    pub elapsed_s: f64,
    pub classes: Vec<ClassSummary>,
    pub prefill: PrefillTotals,
    /// Prompt tokens computed without need: unused, repeated, or of a shared prefix that was
    /// computed before.
    pub wasted_tokens: u64,
    /// `wasted_tokens / computed`.
    pub wasted_share: f64,
    /// `good / owed` over all classes.
    pub goodput_share: f64,
    /// `good` responses a second over all classes.
    pub goodput_per_s: f64,
}

impl RunSummary {
    /// Summarises the `outcomes` of a run and the engines' prefill statistics.
    pub fn new(
        workload: &Workload,
        scale: f64,
        outcomes: &[CallOutcome],
        elapsed: Duration,
        prefill: PrefillTotals,
    ) -> RunSummary {
        let classes: Vec<ClassSummary> = workload
            .class
            .iter()
            .enumerate()
            .map(|(index, class)| {
                let class_outcomes = outcomes.iter().filter(|outcome| outcome.class == index);
                summarise(class, class_outcomes)
            })
            .collect();
        let good: u32 = classes.iter().map(|class| class.good).sum();
        let owed: u32 = classes.iter().map(|class| class.owed).sum();
        let distinct_prefix_tokens = sum_distinct_prefix_tokens(workload);
        let repeated_prefix_tokens = prefill.prefix.saturating_sub(distinct_prefix_tokens);
        let wasted_tokens = prefill.unused + prefill.repeated + repeated_prefix_tokens;
        RunSummary {
            workload: workload.name.clone(),
            scale,
            elapsed_s: elapsed.as_secs_f64(),
            classes,
            prefill,
            wasted_tokens,
            wasted_share: wasted_tokens as f64 / prefill.computed.max(1) as f64,
            goodput_share: f64::from(good) / f64::from(owed.max(1)),
            goodput_per_s: f64::from(good) / elapsed.as_secs_f64().max(1e-9),
        }
    }
}

/// Returns the sum of the tokens of all shared prefixes, each counted once.
fn sum_distinct_prefix_tokens(workload: &Workload) -> u64 {
    workload
        .class
        .iter()
        .filter(|class| class.kind == RequestKind::Completion)
        .map(|class| u64::from(class.prefix_tokens) * u64::from(class.prefixes))
        .sum()
}

fn summarise<'a>(
    class: &RequestClass,
    outcomes: impl Iterator<Item = &'a CallOutcome>,
) -> ClassSummary {
    let mut ttft = new_histogram();
    let mut tpot = new_histogram();
    let mut summary = ClassSummary {
        class: class.name.clone(),
        owed: 0,
        whole: 0,
        refused: 0,
        refused_without_retry_after: 0,
        failed: 0,
        hung_up: 0,
        good: 0,
        goodput_share: 0.0,
        ttft_p50_ms: 0.0,
        ttft_p95_ms: 0.0,
        tpot_p95_ms: 0.0,
        reasons: BTreeMap::new(),
    };
    for outcome in outcomes {
        summary.owed += 1;
        match outcome.result {
            CallResult::Whole => summary.whole += 1,
            CallResult::Refused => summary.refused += 1,
            CallResult::Cut | CallResult::Failed => summary.failed += 1,
            CallResult::HungUp => {
                summary.hung_up += 1;
                summary.owed -= 1;
            }
        }
        if outcome.refused_without_retry_after {
            summary.refused_without_retry_after += 1;
        }
        if matches!(outcome.result, CallResult::Refused | CallResult::Cut | CallResult::Failed) {
            let reason =
                format!("{} {} {}", outcome.result, outcome.status, outcome.rejection_type);
            *summary.reasons.entry(reason).or_default() += 1;
        }
        if outcome.result != CallResult::Whole {
            continue;
        }
        let first = outcome.ttft.unwrap_or(Duration::MAX);
        let between = outcome.tpot.unwrap_or(Duration::ZERO);
        let _ = ttft.record(micros(first));
        let _ = tpot.record(micros(between));
        if first <= class.ttft() && between <= class.tpot() {
            summary.good += 1;
        }
    }
    summary.goodput_share = f64::from(summary.good) / f64::from(summary.owed.max(1));
    summary.ttft_p50_ms = millis_at(&ttft, 0.50);
    summary.ttft_p95_ms = millis_at(&ttft, 0.95);
    summary.tpot_p95_ms = millis_at(&tpot, 0.95);
    summary
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, HISTOGRAM_MAX_US, HISTOGRAM_FIGURES)
        .expect("valid histogram bounds")
}

fn millis_at(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

fn micros(duration: Duration) -> u64 {
    (duration.as_micros() as u64).clamp(1, HISTOGRAM_MAX_US)
}
