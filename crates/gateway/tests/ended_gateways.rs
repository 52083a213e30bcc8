//! Retries of all gateways together while gateways end and start again, compared with the bound.

use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::ProcessId;
use umberglade_gateway::cluster::RetryBudget;
use umberglade_gateway::cluster::RetryPriority;
use umberglade_gateway::model::ServiceName;

const RATIO: f64 = 0.2;
const SLACK: f64 = 52.0;
const WINDOW: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(10);
const REPORT_INTERVAL: Duration = Duration::from_millis(60);
const REPORT_LIFETIME: Duration = Duration::from_millis(600);
/// Time from a kill until the process starts again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// How long the gateways run before the first of them ends.
const WARM_UP: Duration = Duration::from_secs(20);
const REQUESTS_PER_S: u32 = 24;
/// How long before the first end the servers begin to reject nearly all.
const REJECTING_BEFORE: Duration = Duration::from_secs(3);
/// Number of retries that each request asks for from then on.
const RETRIES_WANTED: u32 = 3;

/// What happens to some gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// They start again under their names.
    Killed,
    /// They start again under other names, at once; their names leave the table.
    Replaced,
    /// They are away for three seconds.
    Frozen,
}

struct Gateway {
    budget: RetryBudget,
    /// When it runs again after an end.
    away_until: Option<Duration>,
    /// True until it has asked a peer what was used before its start.
    is_new: bool,
    process: ProcessId,
    /// When its last report was sent.
    reported_at: Option<Duration>,
}

/// Gateways with one service in simulated time.
struct Simulation {
    started_at: Instant,
    now: Duration,
    gateways: Vec<Gateway>,
    service: ServiceName,
    draw: fastrand::Rng,
    requests: Vec<Duration>,
    retries: Vec<Duration>,
}

impl Simulation {
    fn new(count: usize, seed: u64) -> Self {
        let started_at = Instant::now();
        let mut draw = fastrand::Rng::with_seed(seed);
        let mut gateway = || Gateway {
            budget: RetryBudget::new(RATIO, SLACK, WINDOW, started_at),
            away_until: None,
            is_new: false,
            process: draw.u64(..),
            reported_at: None,
        };
        Simulation {
            gateways: (0..count).map(|_| gateway()).collect(),
            started_at,
            now: Duration::ZERO,
            service: "svc".into(),
            draw,
            requests: Vec::new(),
            retries: Vec::new(),
        }
    }

    /// Ends the first `count` gateways of a random order.
    fn end(&mut self, count: usize, how: End) {
        let mut order: Vec<usize> = (0..self.gateways.len()).collect();
        self.draw.shuffle(&mut order);
        for index in order.into_iter().take(count) {
            let away = match how {
                End::Killed => RESTART_DELAY,
                End::Replaced => Duration::ZERO,
                End::Frozen => Duration::from_secs(3),
            };
            let at = self.started_at + self.now + away;
            let gateway = &mut self.gateways[index];
            gateway.away_until = Some(self.now + away);
            if how != End::Frozen {
                gateway.budget = RetryBudget::new(RATIO, SLACK, WINDOW, at);
                gateway.process = self.draw.u64(..);
                gateway.is_new = true;
            }
        }
    }

    fn run_until(&mut self, end: Duration) {
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        for gateway in &mut self.gateways {
            gateway.away_until = gateway.away_until.filter(|until| *until > self.now);
        }
        if self.now.as_millis().is_multiple_of(REPORT_INTERVAL.as_millis()) {
            self.report();
        }
        let steps_per_s = 1.0 / STEP.as_secs_f64();
        if self.draw.f64() * steps_per_s < f64::from(REQUESTS_PER_S) {
            self.request();
        }
    }

    /// A request arrives at one of the gateways that run.
    fn request(&mut self) {
        let running: Vec<usize> = (0..self.gateways.len())
            .filter(|index| self.gateways[*index].away_until.is_none())
            .collect();
        self.requests.push(self.now);
        let Some(index) = self.draw.choice(running) else { return };
        let now = self.started_at + self.now;
        self.gateways[index].budget.record_request(&self.service, now);
        if self.now < WARM_UP - REJECTING_BEFORE {
            return;
        }
        for _ in 0..RETRIES_WANTED {
            if self.consume(index) {
                self.retries.push(self.now);
            }
        }
    }

    fn consume(&mut self, index: usize) -> bool {
        let now = self.started_at + self.now;
        let is_fresh = |at: Duration| self.now - at < REPORT_LIFETIME;
        let others = self.gateways.iter().enumerate().filter(|(peer, _)| *peer != index);
        let fresh_peers =
            others.filter(|(_, gateway)| gateway.reported_at.is_some_and(is_fresh)).count();
        let gateways = self.gateways.len();
        let budget = &mut self.gateways[index].budget;
        budget.consume(&self.service, gateways, fresh_peers, RetryPriority::Needed, now)
    }

    /// Each gateway that runs reports to the others that do. One that has started asks one of them
    /// what was used before.
    fn report(&mut self) {
        let now = self.started_at + self.now;
        let mut reports = Vec::new();
        for gateway in self.gateways.iter_mut().filter(|gateway| gateway.away_until.is_none()) {
            reports.push((gateway.process, gateway.budget.local_usage(now)));
            gateway.reported_at = Some(self.now);
        }
        for gateway in self.gateways.iter_mut().filter(|gateway| gateway.away_until.is_none()) {
            for (process, used) in reports.iter().filter(|(from, _)| *from != gateway.process) {
                gateway.budget.apply_report(*process, used, now);
            }
        }
        let old: Vec<usize> = (0..self.gateways.len())
            .filter(|index| !self.gateways[*index].is_new)
            .filter(|index| self.gateways[*index].away_until.is_none())
            .collect();
        for index in 0..self.gateways.len() {
            let gateway = &self.gateways[index];
            if !gateway.is_new || gateway.away_until.is_some() {
                continue;
            }
            if let Some(source) = self.draw.choice(old.iter().copied()) {
                let records = self.gateways[source].budget.records(now);
                let known_for = self.gateways[source].budget.known_for(now);
                let own = self.gateways[index].process;
                let others: Vec<_> =
                    records.into_iter().filter(|record| record.process != own).collect();
                self.gateways[index].budget.apply_records(&others, known_for, now);
            }
            self.gateways[index].is_new = false;
        }
    }

    /// Returns the largest fraction of the bound that retries reach in any window.
    fn peak_fraction(&self) -> f64 {
        let within = |times: &[Duration], end: Duration| {
            times.iter().filter(|at| **at <= end && end - **at < WINDOW).count() as f64
        };
        let fraction = |end: &Duration| {
            within(&self.retries, *end) / (RATIO * within(&self.requests, *end) + SLACK)
        };
        self.retries.iter().map(fraction).fold(0.0, f64::max)
    }
}

/// Gateways end while servers reject nearly all, and what they sent is forgotten with them.
/// Prevents arrivals beyond the bound in a window that covers both what they sent and what the
/// others, or their successors, send.
#[test]
fn what_ended_gateways_sent_counts_until_the_window_is_over() {
    struct Case {
        name: &'static str,
        gateways: usize,
        how: End,
        /// How many end, and how many seconds after the warm-up, each time.
        ends: &'static [(usize, u64)],
        seeds: u64,
    }
    let cases = [
        Case { name: "half once", gateways: 6, how: End::Killed, ends: &[(3, 0)], seeds: 8 },
        Case {
            name: "most twice",
            gateways: 7,
            how: End::Killed,
            ends: &[(4, 0), (4, 3)],
            seeds: 8,
        },
        Case {
            name: "all but one",
            gateways: 6,
            how: End::Killed,
            ends: &[(5, 0), (5, 4)],
            seeds: 8,
        },
        Case {
            name: "all twice",
            gateways: 6,
            how: End::Killed,
            ends: &[(6, 0), (6, 3)],
            seeds: 8,
        },
        Case {
            name: "in turn",
            gateways: 6,
            how: End::Killed,
            ends: &[(2, 0), (2, 1), (2, 2), (2, 3), (2, 4), (2, 5)],
            seeds: 8,
        },
        Case {
            name: "replaced",
            gateways: 6,
            how: End::Replaced,
            ends: &[(4, 0), (4, 3)],
            seeds: 8,
        },
        Case { name: "frozen", gateways: 6, how: End::Frozen, ends: &[(4, 0), (3, 5)], seeds: 8 },
        Case { name: "many", gateways: 63, how: End::Killed, ends: &[(38, 0), (38, 3)], seeds: 3 },
    ];
    let mut exceeded = Vec::new();
    for case in cases {
        for seed in 0..case.seeds {
            fastrand::seed(seed);
            let mut simulation = Simulation::new(case.gateways, seed);
            for (count, at) in case.ends {
                simulation.run_until(WARM_UP + Duration::from_secs(*at));
                simulation.end(*count, case.how);
            }
            simulation.run_until(simulation.now + WINDOW * 2);
            let fraction = simulation.peak_fraction();
            if fraction > 1.0 {
                exceeded.push(format!("{} (seed {seed}): {fraction:.2} of the bound", case.name));
            }
        }
    }
    assert!(exceeded.is_empty(), "{}", exceeded.join("\n"));
}
