//! Retries of all gateways together, compared with the service's bound.

use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;
use umberglade_gateway::cluster::RetryBudget;
use umberglade_gateway::cluster::RetryPriority;
use umberglade_gateway::model::ServiceName;

const RATIO: f64 = 0.2;
const SLACK: f64 = 52.0;
const WINDOW: Duration = Duration::from_secs(10);

/// Gateways with one service, which exchange their counts by `report`.
struct Gateways {
    budgets: Vec<RetryBudget>,
    /// Whether gateways receive each other's reports.
    are_connected: bool,
    service: ServiceName,
    /// Arrival times of requests and times of retries.
    requests: Vec<Instant>,
    repeats: Vec<Instant>,
}

impl Gateways {
    fn new(count: usize, are_connected: bool, started_at: Instant) -> Self {
        let budget = || RetryBudget::new(RATIO, SLACK, WINDOW, started_at);
        Gateways {
            budgets: (0..count).map(|_| budget()).collect(),
            are_connected,
            service: "svc".into(),
            requests: Vec::new(),
            repeats: Vec::new(),
        }
    }

    fn request(&mut self, gateway: usize, now: Instant) {
        self.budgets[gateway].record_request(&self.service, now);
        self.requests.push(now);
    }

    fn repeat(&mut self, gateway: usize, now: Instant) -> bool {
        let gateways = self.budgets.len();
        let fresh_peers = if self.are_connected { gateways - 1 } else { 0 };
        let is_allowed = self.budgets[gateway].consume(
            &self.service,
            gateways,
            fresh_peers,
            RetryPriority::Needed,
            now,
        );
        if is_allowed {
            self.repeats.push(now);
        }
        is_allowed
    }

    /// Each gateway reports to all others, if they are connected.
    fn report(&mut self, now: Instant) {
        if !self.are_connected {
            return;
        }
        for from in 0..self.budgets.len() {
            let used = self.budgets[from].local_usage(now);
            for (to, budget) in self.budgets.iter_mut().enumerate() {
                if to != from {
                    budget.apply_report(from as u64, &used, now);
                }
            }
        }
    }

    /// Returns the largest fraction of the bound that retries reach in any window.
    fn peak_fraction(&self) -> f64 {
        let within = |times: &[Instant], end: Instant| {
            times.iter().filter(|at| **at <= end && end.duration_since(**at) < WINDOW).count()
        };
        self.repeats
            .iter()
            .map(|end| {
                let bound = RATIO * within(&self.requests, *end) as f64 + SLACK;
                within(&self.repeats, *end) as f64 / bound
            })
            .fold(0.0, f64::max)
    }
}

/// Servers crash under high load, and each gateway tries to retry every request. Prevents the
/// service from getting more retries than its bound allows, whatever the gateways' shares of the
/// traffic and whether or not they receive each other's reports.
#[test]
fn all_gateways_together_keep_within_the_bound() {
    struct Case {
        name: &'static str,
        gateways: usize,
        are_connected: bool,
        /// Requests per second; all arrive at one gateway if `is_skewed` is set.
        rate: u32,
        is_skewed: bool,
        /// Minimum fraction of the bound that should be used.
        min_used: f64,
    }
    let cases = [
        Case {
            name: "even",
            gateways: 6,
            are_connected: true,
            rate: 80,
            is_skewed: false,
            min_used: 0.7,
        },
        Case {
            name: "one gets all",
            gateways: 6,
            are_connected: true,
            rate: 80,
            is_skewed: true,
            min_used: 0.7,
        },
        Case {
            name: "disconnected",
            gateways: 6,
            are_connected: false,
            rate: 80,
            is_skewed: false,
            min_used: 0.5,
        },
        Case {
            name: "disconnected, skewed",
            gateways: 6,
            are_connected: false,
            rate: 80,
            is_skewed: true,
            min_used: 0.3,
        },
        Case {
            name: "low rate",
            gateways: 6,
            are_connected: true,
            rate: 8,
            is_skewed: true,
            min_used: 0.6,
        },
        Case {
            name: "many",
            gateways: 80,
            are_connected: true,
            rate: 300,
            is_skewed: false,
            min_used: 0.7,
        },
        Case {
            name: "alone",
            gateways: 1,
            are_connected: true,
            rate: 20,
            is_skewed: true,
            min_used: 0.6,
        },
    ];
    for case in cases {
        let started_at = Instant::now();
        let mut gateways = Gateways::new(case.gateways, case.are_connected, started_at);
        let gap = Duration::from_secs(1) / case.rate;
        let warm = started_at + WINDOW;
        for at in 0..case.rate * 20 {
            let now = warm + gap * at;
            let gateway = if case.is_skewed { 0 } else { at as usize % case.gateways };
            gateways.request(gateway, now);
            gateways.repeat(gateway, now);
            // One report every 50 ms or less often, as between real gateways.
            if at % (case.rate / 20).max(1) == 0 {
                gateways.report(now);
            }
        }
        let fraction = gateways.peak_fraction();
        assert!(fraction <= 1.0, "{}: {fraction:.2} of the bound", case.name);
        assert!(fraction >= case.min_used, "{}: only {fraction:.2} of the bound used", case.name);
    }
}

/// All processes are killed while they retry as much as allowed, and restart at once without
/// knowing what was sent before. A window that covers both runs must keep the bound.
#[test]
fn a_restart_does_not_renew_the_bound() {
    let started_at = Instant::now();
    let mut before = Gateways::new(6, true, started_at);
    let killed = started_at + WINDOW + Duration::from_secs(1);
    for at in 0..200 {
        let now = killed - Duration::from_millis(200 - at);
        before.request(at as usize % 6, now);
        before.repeat(at as usize % 6, now);
        before.report(now);
    }
    let mut after = Gateways::new(6, true, killed);
    for at in 0..2000 {
        let now = killed + Duration::from_millis(at);
        after.request(at as usize % 6, now);
        after.repeat(at as usize % 6, now);
        after.report(now);
    }
    let mut both = Gateways::new(1, true, started_at);
    both.requests = [before.requests, after.requests].concat();
    both.repeats = [before.repeats, after.repeats].concat();
    let fraction = both.peak_fraction();
    assert!(fraction <= 1.0, "{fraction:.2} of the bound");
}

/// Three engines crash at once. Their streams need one retry each to continue; a second one, by
/// which a prefill server prefills the prompt, only makes that faster. Without a reserve, streams
/// would break for lack of the first.
#[test]
fn helpful_repeats_leave_some_for_needed_ones() {
    let started_at = Instant::now();
    let now = started_at + WINDOW;
    let service: ServiceName = "svc".into();
    let mut budget = RetryBudget::new(RATIO, SLACK, WINDOW, started_at);
    let mut consume =
        |priority| (0..1000).filter(|_| budget.consume(&service, 1, 0, priority, now)).count();
    let helpful = consume(RetryPriority::Helpful);
    let needed = consume(RetryPriority::Needed);
    assert!((1..=38).contains(&helpful), "{helpful}");
    assert!(needed >= 1 && helpful + needed <= 42, "{helpful} and {needed}");
}

proptest! {
    /// The bound holds for any order of requests, retries and reports.
    #[test]
    fn any_traffic_keeps_the_bound(
        steps in prop::collection::vec((0usize..6, 0u64..80, any::<bool>()), 1..600),
        are_connected in any::<bool>(),
    ) {
        let started_at = Instant::now();
        let mut gateways = Gateways::new(6, are_connected, started_at);
        let mut now = started_at + WINDOW;
        for (gateway, millis, is_request) in steps {
            now += Duration::from_millis(millis);
            if is_request {
                gateways.request(gateway, now);
            }
            gateways.repeat(gateway, now);
            gateways.report(now);
        }
        prop_assert!(gateways.peak_fraction() <= 1.0);
    }
}

/// Servers crash and come back under new ids at their old addresses. Prompts sent to the old ids
/// are rejected, and each such arrival counts against the bound, so budgeted retries must leave
/// capacity for them.
#[test]
fn rejected_first_attempts_count_against_the_bound() {
    let started_at = Instant::now();
    let now = started_at + WINDOW * 2;
    let service: ServiceName = "svc".into();
    let allowed_after = |rejected: u32| {
        let mut budget = RetryBudget::new(RATIO, SLACK, WINDOW, started_at);
        (0..100).for_each(|_| budget.record_request(&service, now));
        (0..rejected).for_each(|_| budget.record_retry(&service, now));
        // Further apart than the maximum age of reports, all within one window.
        let consume = |at: u32| {
            let later = now + Duration::from_millis(120) * (at + 1);
            budget.consume(&service, 1, 0, RetryPriority::Needed, later)
        };
        (0..75).map(consume).filter(|is_allowed| *is_allowed).count() as u32
    };
    let freely = allowed_after(0);
    assert!(freely > 20, "{freely} allowed");
    assert_eq!(allowed_after(10) + 10, freely);
    assert_eq!(allowed_after(100), 0);
}
