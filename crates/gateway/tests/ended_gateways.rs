//! Retries of all gateways together while gateways end and start again, compared with the bound.

use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::PeerRetries;
use umberglade_gateway::cluster::RetryBudget;
use umberglade_gateway::cluster::RetryCount;
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
    /// The last report that its peers have received.
    reported: Option<(Duration, RetryCount)>,
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
        let gateway = || Gateway {
            budget: RetryBudget::new(RATIO, SLACK, WINDOW, started_at),
            away_until: None,
            reported: None,
        };
        Simulation {
            started_at,
            now: Duration::ZERO,
            gateways: (0..count).map(|_| gateway()).collect(),
            service: "svc".into(),
            draw: fastrand::Rng::with_seed(seed),
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
        let mut peers = PeerRetries::default();
        for (peer, gateway) in self.gateways.iter().enumerate() {
            let Some((at, count)) = gateway.reported else { continue };
            if peer != index && self.now - at < REPORT_LIFETIME {
                peers.fresh_peers += 1;
                peers.count.requests += count.requests;
                peers.count.repeats += count.repeats;
            }
        }
        let gateways = self.gateways.len();
        let budget = &mut self.gateways[index].budget;
        budget.consume(&self.service, gateways, peers, RetryPriority::Needed, now)
    }

    fn report(&mut self) {
        let now = self.started_at + self.now;
        for gateway in self.gateways.iter_mut().filter(|gateway| gateway.away_until.is_none()) {
            let counts = gateway.budget.local_counts(now);
            let count = counts.first().map_or(RetryCount::default(), |(_, count)| *count);
            gateway.reported = Some((self.now, count));
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
    }
    let cases = [
        Case { name: "half once", gateways: 6, how: End::Killed, ends: &[(3, 0)] },
        Case { name: "most twice", gateways: 7, how: End::Killed, ends: &[(4, 0), (4, 3)] },
        Case { name: "all but one", gateways: 6, how: End::Killed, ends: &[(5, 0), (5, 4)] },
        Case { name: "all twice", gateways: 6, how: End::Killed, ends: &[(6, 0), (6, 3)] },
        Case {
            name: "in turn",
            gateways: 6,
            how: End::Killed,
            ends: &[(2, 0), (2, 1), (2, 2), (2, 3), (2, 4), (2, 5)],
        },
        Case { name: "replaced", gateways: 6, how: End::Replaced, ends: &[(4, 0), (4, 3)] },
        Case { name: "frozen", gateways: 6, how: End::Frozen, ends: &[(4, 0), (3, 5)] },
        Case { name: "many", gateways: 63, how: End::Killed, ends: &[(38, 0), (38, 3)] },
    ];
    let mut exceeded = Vec::new();
    for case in cases {
        for seed in 0..8 {
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
