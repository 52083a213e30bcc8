//! Repeated sends of all gateways together, against the service's bound.

use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;
use umberglade_gateway::cluster::PeerRetries;
use umberglade_gateway::cluster::RetryBudget;
use umberglade_gateway::cluster::RetryCount;
use umberglade_gateway::cluster::RetryVerdict;
use umberglade_gateway::model::ServiceName;

const RATIO: f64 = 0.2;
const SLACK: f64 = 52.0;
const WINDOW: Duration = Duration::from_secs(10);

/// Gateways with one service, whose reports to each other are `lag` old.
struct Gateways {
    allowances: Vec<RetryBudget>,
    /// Counts as reported last, by gateway.
    reported: Vec<RetryCount>,
    /// Which gateways hear each other.
    hears: bool,
    service: ServiceName,
    /// When each request came, and each repeat.
    requests: Vec<Instant>,
    repeats: Vec<Instant>,
}

impl Gateways {
    fn new(count: usize, hears: bool, begun: Instant) -> Self {
        let allowance = || RetryBudget::new(RATIO, SLACK, WINDOW, begun);
        Gateways {
            allowances: (0..count).map(|_| allowance()).collect(),
            reported: vec![RetryCount::default(); count],
            hears,
            service: "svc".into(),
            requests: Vec::new(),
            repeats: Vec::new(),
        }
    }

    fn request(&mut self, gateway: usize, now: Instant) {
        self.allowances[gateway].note_request(&self.service, now);
        self.requests.push(now);
    }

    fn repeat(&mut self, gateway: usize, now: Instant) -> bool {
        let members = self.allowances.len();
        let heard = if self.hears { self.heard_by(gateway) } else { PeerRetries::default() };
        let is_allowed = self.allowances[gateway].spend(
            &self.service,
            members,
            heard,
            RetryVerdict::Needed,
            now,
        );
        if is_allowed {
            self.repeats.push(now);
        }
        is_allowed
    }

    fn heard_by(&self, gateway: usize) -> PeerRetries {
        let others = self.reported.iter().enumerate().filter(|(at, _)| *at != gateway);
        others.fold(PeerRetries::default(), |sum, (_, count)| PeerRetries {
            gateways: sum.gateways + 1,
            count: RetryCount {
                requests: sum.count.requests + count.requests,
                repeats: sum.count.repeats + count.repeats,
            },
        })
    }

    fn report(&mut self, now: Instant) {
        for (allowance, reported) in self.allowances.iter_mut().zip(&mut self.reported) {
            let counts = allowance.own_counts(now);
            *reported = counts.first().map_or(RetryCount::default(), |(_, count)| *count);
        }
    }

    /// The window in which repeats come closest to their bound, as a share
    /// of it.
    fn worst_share(&self) -> f64 {
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

/// Servers crash at a time of high load: each gateway would repeat every
/// request it has. Whatever the gateways' shares of the traffic, and whether
/// they hear each other or not, the service sees no more repeats than its
/// bound allows.
#[test]
fn all_gateways_together_keep_the_bound() {
    struct Case {
        name: &'static str,
        gateways: usize,
        hears: bool,
        /// Requests a second; all come to one gateway in `skewed` cases.
        pace: u32,
        skewed: bool,
        /// The least share of the bound that should be used.
        used: f64,
    }
    let cases = [
        Case { name: "even", gateways: 6, hears: true, pace: 80, skewed: false, used: 0.7 },
        Case { name: "one has all", gateways: 6, hears: true, pace: 80, skewed: true, used: 0.7 },
        Case { name: "deaf", gateways: 6, hears: false, pace: 80, skewed: false, used: 0.5 },
        Case { name: "deaf, skewed", gateways: 6, hears: false, pace: 80, skewed: true, used: 0.3 },
        Case { name: "quiet", gateways: 6, hears: true, pace: 8, skewed: true, used: 0.6 },
        Case { name: "many", gateways: 80, hears: true, pace: 300, skewed: false, used: 0.7 },
        Case { name: "alone", gateways: 1, hears: true, pace: 20, skewed: true, used: 0.6 },
    ];
    for case in cases {
        let begun = Instant::now();
        let mut gateways = Gateways::new(case.gateways, case.hears, begun);
        let gap = Duration::from_secs(1) / case.pace;
        let warm = begun + WINDOW;
        for at in 0..case.pace * 20 {
            let now = warm + gap * at;
            let gateway = if case.skewed { 0 } else { at as usize % case.gateways };
            gateways.request(gateway, now);
            gateways.repeat(gateway, now);
            // A report each 50 ms or less often, as between real gateways.
            if at % (case.pace / 20).max(1) == 0 {
                gateways.report(now);
            }
        }
        let share = gateways.worst_share();
        assert!(share <= 1.0, "{}: {share:.2} of the bound", case.name);
        assert!(share >= case.used, "{}: only {share:.2} of the bound used", case.name);
    }
}

/// All processes are killed while they repeat as much as they may, and start
/// again at once, knowing nothing of what was sent before. The window over
/// both lives must keep the bound.
#[test]
fn a_restart_does_not_grant_the_bound_anew() {
    let begun = Instant::now();
    let mut before = Gateways::new(6, true, begun);
    let killed = begun + WINDOW + Duration::from_secs(1);
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
    let mut both = Gateways::new(1, true, begun);
    both.requests = [before.requests, after.requests].concat();
    both.repeats = [before.repeats, after.repeats].concat();
    let share = both.worst_share();
    assert!(share <= 1.0, "{share:.2} of the bound");
}

/// Three engines crash at once. Their streams need a repeat each to go on;
/// a second one, by which a prefill server reads the prompt, only makes that
/// faster. Were both paid alike, streams would break for want of the first.
#[test]
fn helpful_repeats_leave_some_for_needed_ones() {
    let begun = Instant::now();
    let now = begun + WINDOW;
    let service: ServiceName = "svc".into();
    let mut allowance = RetryBudget::new(RATIO, SLACK, WINDOW, begun);
    let mut spend = |use_for| {
        let heard = PeerRetries::default();
        (0..1000).filter(|_| allowance.spend(&service, 1, heard, use_for, now)).count()
    };
    let helpful = spend(RetryVerdict::Helpful);
    let needed = spend(RetryVerdict::Needed);
    assert!((1..=38).contains(&helpful), "{helpful}");
    assert!(needed >= 1 && helpful + needed <= 42, "{helpful} and {needed}");
}

proptest! {
    /// Whatever comes in whichever order, the bound holds.
    #[test]
    fn any_traffic_keeps_the_bound(
        steps in prop::collection::vec((0usize..6, 0u64..80, any::<bool>()), 1..600),
        hears in any::<bool>(),
    ) {
        let begun = Instant::now();
        let mut gateways = Gateways::new(6, hears, begun);
        let mut now = begun + WINDOW;
        for (gateway, millis, is_request) in steps {
            now += Duration::from_millis(millis);
            if is_request {
                gateways.request(gateway, now);
            }
            gateways.repeat(gateway, now);
            gateways.report(now);
        }
        prop_assert!(gateways.worst_share() <= 1.0);
    }
}

/// Servers crash and come back under new ids at their old addresses. Prompts
/// sent to the old ids are rejected, and each such arrival counts against the
/// bound: repeats that are asked for must leave room for them.
#[test]
fn rejected_first_sends_count_against_the_bound() {
    let begun = Instant::now();
    let now = begun + WINDOW * 2;
    let service: ServiceName = "svc".into();
    let allowed_after = |rejected: u32| {
        let mut allowance = RetryBudget::new(RATIO, SLACK, WINDOW, begun);
        (0..100).for_each(|_| allowance.note_request(&service, now));
        (0..rejected).for_each(|_| allowance.note_repeat(&service, now));
        // Further apart than reports may be old, all within one window.
        let spend = |at: u32| {
            let later = now + Duration::from_millis(120) * (at + 1);
            allowance.spend(&service, 1, PeerRetries::default(), RetryVerdict::Needed, later)
        };
        (0..75).map(spend).filter(|is_allowed| *is_allowed).count() as u32
    };
    let freely = allowed_after(0);
    assert!(freely > 20, "{freely} allowed");
    assert_eq!(allowed_after(10) + 10, freely);
    assert_eq!(allowed_after(100), 0);
}
