//! A simulation of gateways that share the quota of one organisation.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::ChargeUpdate;
use umberglade_gateway::cluster::OrganisationDigest;
use umberglade_gateway::cluster::QuotaPool;
use umberglade_gateway::cluster::QuotaView;
use umberglade_gateway::cluster::organisation_digest;
use umberglade_gateway::cluster::report_interval;
use umberglade_gateway::model::KeyDigest;
use umberglade_gateway::model::Organisation;
use umberglade_gateway::model::OrganisationRegistry;
use umberglade_gateway::model::QuotaLimit;
use umberglade_gateway::model::QuotaUnit;

pub const NAME: &str = "studios";
pub const WINDOW: Duration = Duration::from_secs(8);
pub const OVERAGE: f64 = 0.1;
pub const RATE: f64 = 200_000.0;
pub const BURST: f64 = 200_000.0;
pub const SLACK: f64 = 120_000.0;
pub const COST: u64 = 6_000;
/// Time from a start until the gateway asks a peer what was charged before.
const ASK_DELAY: Duration = Duration::from_millis(60);
pub const STEP: Duration = Duration::from_millis(5);

/// A peer without a report for this long does not count as live.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

pub fn registry(rate: f64, burst: f64) -> OrganisationRegistry {
    let quota = QuotaLimit { unit: QuotaUnit::Tokens { plain: 200 }, rate, burst };
    let organisation = Organisation { name: NAME.into(), priority: None, quota: Some(quota) };
    let mut registry = OrganisationRegistry::default();
    registry.add(organisation, [KeyDigest::of(b"key")]);
    registry
}

/// Returns the units that may run in a window.
pub fn bound(rate: f64, burst: f64) -> f64 {
    (rate * WINDOW.as_secs_f64() + burst) * (1.0 + OVERAGE) + SLACK
}

/// A report in transit.
struct SentReport {
    arrives: Duration,
    from: usize,
    to: usize,
    process: u64,
    age: Duration,
    charges: Vec<(OrganisationDigest, ChargeUpdate)>,
}

pub struct Gateway {
    pub pool: QuotaPool,
    process: u64,
    /// True until it has asked a peer what was charged before its start.
    is_new: bool,
    started_at: Duration,
    asks_at: Duration,
    next_report_at: Duration,
    next_full_report_at: Duration,
    pub is_partitioned: bool,
    received_at: Vec<Option<Duration>>,
}

/// Gateways in simulated time that report their charges to each other.
pub struct Fleet {
    started_at: Instant,
    now: Duration,
    limit: (f64, f64),
    pub gateways: Vec<Gateway>,
    sent: VecDeque<SentReport>,
    /// Percentage of reports that are lost.
    loss: u32,
    /// Time that reports take.
    pub delay: Duration,
    pub draw: fastrand::Rng,
    /// Time and cost of each granted request.
    pub runs: VecDeque<(Duration, u64)>,
    pub rejected: u64,
    pub requests: u64,
}

impl Fleet {
    pub fn new(count: usize, loss: u32, seed: u64) -> Self {
        let started_at = Instant::now();
        let mut fleet = Fleet {
            started_at,
            now: Duration::ZERO,
            limit: (RATE, BURST),
            gateways: Vec::new(),
            sent: VecDeque::new(),
            loss,
            delay: STEP,
            draw: fastrand::Rng::with_seed(seed),
            runs: VecDeque::new(),
            rejected: 0,
            requests: 0,
        };
        fleet.add(count);
        fleet
    }

    /// Starts `count` more gateways.
    pub fn add(&mut self, count: usize) {
        let known = self.gateways.len();
        let total = known + count;
        self.gateways.iter_mut().for_each(|gateway| gateway.received_at.resize(total, None));
        for _ in 0..count {
            self.gateways.push(Gateway {
                pool: QuotaPool::new(self.started_at),
                process: 0,
                is_new: false,
                started_at: Duration::ZERO,
                asks_at: Duration::ZERO,
                next_report_at: Duration::ZERO,
                next_full_report_at: Duration::ZERO,
                is_partitioned: false,
                received_at: vec![None; total],
            });
        }
        for index in known..total {
            self.start(index);
        }
    }

    pub fn start(&mut self, index: usize) {
        let count = self.gateways.len();
        let now = self.started_at + self.now;
        let gateway = &mut self.gateways[index];
        gateway.pool = QuotaPool::new(now);
        gateway.process = self.draw.u64(..);
        gateway.is_new = true;
        gateway.started_at = self.now;
        gateway.asks_at = self.now + ASK_DELAY;
        gateway.received_at = vec![None; count];
        gateway.next_report_at = self.now + STEP * (index as u32 % 10);
        let view = self.view(index);
        let (rate, burst) = self.limit;
        self.gateways[index].pool.set_limits(&registry(rate, burst), &view, now);
    }

    pub fn set_limit(&mut self, rate: f64, burst: f64) {
        self.limit = (rate, burst);
        let now = self.started_at + self.now;
        for index in 0..self.gateways.len() {
            let view = self.view(index);
            self.gateways[index].pool.set_limits(&registry(rate, burst), &view, now);
        }
    }

    pub fn view(&self, index: usize) -> QuotaView {
        let is_live = |at: &&Option<Duration>| at.is_some_and(|at| self.now - at < PEER_TIMEOUT);
        let live_peers = self.gateways[index].received_at.iter().filter(is_live).count();
        let newest = self.gateways[index].received_at.iter().flatten().max();
        let since_last_report = newest.map_or(Duration::MAX, |at| self.now - *at);
        let report_age = report_interval(live_peers) + STEP;
        let since_last_report = since_last_report.max(report_age);
        let now = self.started_at + self.now;
        let known_until = self.gateways[index].pool.known_until(now);
        QuotaView {
            live_peers,
            gateways: self.gateways.len(),
            report_age,
            known_age: known_until
                .map_or(report_age, |at| report_age.max(now.saturating_duration_since(at))),
            since_last_report,
            window: WINDOW,
            overage: OVERAGE,
            slack: SLACK,
        }
    }

    /// Simulates one step: delivers reports, sends `arrivals` requests to gateways chosen by `at`,
    /// and sends reports.
    pub fn step(&mut self, arrivals: usize, at: impl Fn(&mut fastrand::Rng, usize) -> usize) {
        self.now += STEP;
        let now = self.started_at + self.now;
        while self.sent.front().is_some_and(|sent| sent.arrives <= self.now) {
            let Some(sent) = self.sent.pop_front() else { break };
            if self.gateways[sent.to].is_partitioned {
                continue;
            }
            self.gateways[sent.to].received_at[sent.from] = Some(self.now);
            let view = self.view(sent.to);
            let pool = &mut self.gateways[sent.to].pool;
            pool.apply_peer_charges(sent.process, sent.age, &sent.charges, &view, now);
        }
        for _ in 0..arrivals {
            let index = at(&mut self.draw, self.gateways.len());
            let view = self.view(index);
            self.requests += 1;
            let draw = self.draw.f64();
            let pool = &mut self.gateways[index].pool;
            match pool.charge(organisation_digest(NAME), COST, &view, draw, now) {
                Ok(()) => self.runs.push_back((self.now, COST)),
                Err(_) => self.rejected += 1,
            }
        }
        for index in 0..self.gateways.len() {
            self.report(index);
            if self.gateways[index].is_new && self.now >= self.gateways[index].asks_at {
                self.take_over(index);
            }
        }
    }

    /// The gateway asks the one that it hears and that has run for longest.
    fn take_over(&mut self, index: usize) {
        let is_heard = |peer: &usize| {
            let gateway = &self.gateways[index];
            let peer_gateway = &self.gateways[*peer];
            gateway.received_at[*peer].is_some()
                && !gateway.is_partitioned
                && !peer_gateway.is_partitioned
                && peer_gateway.started_at < gateway.started_at
        };
        let heard = (0..self.gateways.len()).filter(is_heard);
        let Some(source) = heard.min_by_key(|peer| self.gateways[*peer].started_at) else { return };
        let now = self.started_at + self.now;
        let process = self.gateways[source].process;
        let snapshot = self.gateways[source].pool.snapshot(process, &self.view(source), now);
        let view = self.view(index);
        let gateway = &mut self.gateways[index];
        gateway.pool.take_over(&snapshot, gateway.process, &view, now);
        gateway.is_new = false;
    }

    fn report(&mut self, index: usize) {
        let count = self.gateways.len();
        let gateway = &mut self.gateways[index];
        if self.now < gateway.next_report_at {
            return;
        }
        gateway.next_report_at = self.now + report_interval(count);
        let reports_all = self.now >= gateway.next_full_report_at;
        if reports_all {
            gateway.next_full_report_at = self.now + Duration::from_secs(2);
        }
        let charges = gateway.pool.updates(reports_all);
        let age = self.now - gateway.started_at;
        let process = gateway.process;
        if gateway.is_partitioned {
            return;
        }
        for to in (0..count).filter(|to| *to != index) {
            if self.draw.u32(..100) < self.loss {
                continue;
            }
            let arrives = self.now + self.delay;
            let charges = charges.clone();
            self.sent.push_back(SentReport { arrives, from: index, to, process, age, charges });
        }
    }

    /// Returns the maximum number of units granted in any window so far.
    pub fn max_in_window(&self) -> u64 {
        let mut max_units = 0;
        let mut sum = 0;
        let mut first = 0;
        for (at, cost) in &self.runs {
            sum += cost;
            while self.runs[first].0 + WINDOW <= *at {
                sum -= self.runs[first].1;
                first += 1;
            }
            max_units = max_units.max(sum);
        }
        max_units
    }
}
