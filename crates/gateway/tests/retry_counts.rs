//! What gateway processes tell each other of their requests and retries.

use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;
use umberglade_gateway::cluster::RetryBudget;
use umberglade_gateway::cluster::RetryCount;
use umberglade_gateway::cluster::RetryUsage;
use umberglade_gateway::model::ServiceName;

const WINDOW: Duration = Duration::from_secs(10);
const PROCESSES: usize = 4;

fn budget(now: Instant) -> RetryBudget {
    RetryBudget::new(0.2, 52.0, WINDOW, now)
}

#[derive(Debug, Clone)]
enum Step {
    /// A process counts requests and retries, and reports.
    Count { process: usize, requests: u32, repeats: u32 },
    /// A report, counted from the newest, arrives at an observer.
    Deliver { process: usize, back: usize, observer: usize },
    /// One observer tells the other what it knows.
    Tell { from: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..PROCESSES, 0u32..4, 0u32..4)
            .prop_map(|(process, requests, repeats)| Step::Count { process, requests, repeats }),
        4 => (0..PROCESSES, 0usize..4, 0usize..2)
            .prop_map(|(process, back, observer)| Step::Deliver { process, back, observer }),
        1 => (0usize..2).prop_map(|from| Step::Tell { from }),
    ]
}

type Report = Vec<(u64, RetryUsage)>;

proptest! {
    /// Prevents what a process counted from being counted twice, or not at all, where reports are
    /// lost, repeated or overtake each other, and where peers tell of it too.
    #[test]
    fn each_count_is_counted_once(steps in prop::collection::vec(step(), 1..80)) {
        let now = Instant::now();
        let service: ServiceName = "svc".into();
        let mut processes: Vec<RetryBudget> = (0..PROCESSES).map(|_| budget(now)).collect();
        let mut reports: Vec<Vec<Report>> = vec![Vec::new(); PROCESSES];
        let mut observers = [budget(now), budget(now)];
        let mut counted = RetryCount::default();
        for step in steps {
            match step {
                Step::Count { process, requests, repeats } => {
                    (0..requests).for_each(|_| processes[process].record_request(&service, now));
                    (0..repeats).for_each(|_| processes[process].record_retry(&service, now));
                    counted += RetryCount { requests, repeats };
                    reports[process].push(processes[process].local_usage(now));
                }
                Step::Deliver { process, back, observer } => {
                    if let Some(report) = reports[process].iter().rev().nth(back) {
                        observers[observer].apply_report(process as u64, report, now);
                    }
                }
                Step::Tell { from } => {
                    let records = observers[from].records(now);
                    observers[1 - from].apply_records(&records, Duration::ZERO, now);
                }
            }
        }
        for observer in &mut observers {
            for (process, reports) in reports.iter().enumerate() {
                if let Some(newest) = reports.last() {
                    observer.apply_report(process as u64, newest, now);
                }
            }
            prop_assert_eq!(observer.window_count(&service, now), counted);
        }
    }
}

/// A peer is frozen, or cut off, for longer than the window. Prevents what it sent before from
/// counting again when it is heard again, and what it sent last from not counting.
#[test]
fn a_peer_that_was_away_counts_once() {
    let started_at = Instant::now();
    let service: ServiceName = "svc".into();
    let mut peer = budget(started_at);
    let mut observer = budget(started_at);
    let mut now = started_at;
    for seconds in [0, 3, 14, 2] {
        now += Duration::from_secs(seconds);
        (0..5).for_each(|_| peer.record_retry(&service, now));
        observer.apply_report(1, &peer.local_usage(now), now);
    }
    assert_eq!(observer.window_count(&service, now).repeats, 10);
    assert_eq!(peer.window_count(&service, now).repeats, 10);
}

/// Gateways of the previous build report the counts of the window only. Prevents those from being
/// added up with each report.
#[test]
fn window_counts_of_the_previous_build_are_not_added_up() {
    let now = Instant::now();
    let service: ServiceName = "svc".into();
    let mut peer = budget(now);
    let mut observer = budget(now);
    for _ in 0..6 {
        peer.record_request(&service, now);
        peer.record_retry(&service, now);
        let usage = peer.local_usage(now);
        let counts: Vec<_> = usage.iter().map(|(digest, usage)| (*digest, usage.recent)).collect();
        observer.apply_window_counts(1, &counts, now);
    }
    assert_eq!(observer.window_count(&service, now), RetryCount { requests: 6, repeats: 6 });
}
