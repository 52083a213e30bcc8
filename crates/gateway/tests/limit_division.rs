//! Division of servers' rate limits among many gateways, simulated without a network.

use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;
use umberglade_gateway::cluster::Fleet;
use umberglade_gateway::cluster::LimitRank;
use umberglade_gateway::cluster::LoadShare;
use umberglade_gateway::cluster::PeerUpdate;
use umberglade_gateway::cluster::PlacementRequest;
use umberglade_gateway::cluster::TokenBucket;
use umberglade_gateway::cluster::limit_share;
use umberglade_gateway::cluster::name_digest;
use umberglade_gateway::cluster::place_plain;
use umberglade_gateway::model::DomainKey;
use umberglade_gateway::model::RequestRate;
use umberglade_gateway::model::ServerEntry;
use umberglade_gateway::model::ServerStage;
use umberglade_gateway::model::StatedLimit;
use umberglade_gateway::model::StoreStamp;

/// Returns the stamp with `version` of a store that has never come back from a copy.
fn stamp(version: u64) -> StoreStamp {
    StoreStamp::new(0, version)
}

/// Interval over which arrivals at a server are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after a limit is first stated within which every gateway must apply it.
const PROPAGATION_DELAY: Duration = Duration::from_secs(3);
/// Simulated time per step.
const STEP: Duration = Duration::from_millis(50);
/// Interval between reports of a gateway.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// How long a call takes.
const CALL_DURATION: Duration = Duration::from_millis(50);
const RUN_DURATION: Duration = Duration::from_secs(24);
/// Minimum fraction of the limits that must be used when demand exceeds them.
const MIN_USED_FRACTION: f64 = 0.8;
const SERVERS: usize = 4;

fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).expect("a rate")
}

/// Returns the number of requests that a server with `limit` may receive in [`WINDOW`].
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

fn entry(server: &str) -> ServerEntry {
    ServerEntry {
        server: server.into(),
        service: "svc".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: "z".into(),
        slots: 6,
        stage: ServerStage::Plain,
        software: "v1".into(),
        is_leaving: false,
        started_at: None,
    }
}

#[derive(Clone, Copy)]
struct DivisionCase {
    name: &'static str,
    gateways: usize,
    limit: f64,
    /// Number of servers that state `limit`.
    limited: usize,
    /// Fraction of reports that are lost.
    loss: f64,
    /// Requests per second at all gateways together.
    request_rate: f64,
    /// Number of steps whose requests are sent together as one burst; 1 for no bursts.
    burst_steps: u32,
    /// Fraction of the gateways that restart after 10 s.
    restarted_fraction: f64,
}

const BASE_CASE: DivisionCase = DivisionCase {
    name: "",
    gateways: 6,
    limit: 4.0,
    limited: 2,
    loss: 0.0,
    request_rate: 60.0,
    burst_steps: 1,
    restarted_fraction: 0.0,
};

struct Simulation {
    case: DivisionCase,
    random: fastrand::Rng,
    now: Instant,
    fleets: Vec<Fleet>,
    /// Calls in progress: end time, gateway and server.
    calls: Vec<(Instant, usize, usize)>,
    /// When requests reached each server.
    arrivals: [Vec<Instant>; SERVERS],
    sequence: u64,
}

impl Simulation {
    fn new(case: DivisionCase) -> Self {
        let now = Instant::now();
        let mut simulation = Simulation {
            case,
            random: fastrand::Rng::with_seed(7),
            now,
            fleets: Vec::new(),
            calls: Vec::new(),
            arrivals: Default::default(),
            sequence: 0,
        };
        simulation.fleets = (0..case.gateways).map(|gateway| simulation.fleet(gateway)).collect();
        simulation.report();
        simulation
    }

    fn fleet(&self, gateway: usize) -> Fleet {
        let mut fleet = Fleet::new(name_digest(&format!("gw-{gateway}")));
        fleet.set_gateways(self.case.gateways);
        for server in 0..SERVERS {
            fleet.upsert(entry(&format!("s-{server}")), stamp(1));
        }
        fleet
    }

    /// Delivers a report of each gateway, with all its known limits, to its peers.
    fn report(&mut self) {
        self.sequence += 1;
        for from in 0..self.fleets.len() {
            let limits = self.fleets[from].limits.updates(true, self.now);
            for to in (0..self.fleets.len()).filter(|to| *to != from) {
                if self.random.f64() < self.case.loss {
                    continue;
                }
                let (peer, update) = (format!("gw-{from}"), PeerUpdate::default());
                self.fleets[to].peers.record(&peer, 1, self.sequence, update, self.now);
                for update in &limits {
                    self.fleets[to].apply_peer_limit(*update, self.now);
                }
            }
        }
        for fleet in &mut self.fleets {
            fleet.tick(self.now);
        }
    }

    /// Places one request at a gateway and sends it.
    fn call(&mut self, gateway: usize) {
        let domain: DomainKey = "z".into();
        let request = PlacementRequest {
            service: "svc",
            gateway: gateway as u64,
            domain: &domain,
            tried: &[],
            software: None,
            now: self.now,
        };
        let fleet = &mut self.fleets[gateway];
        let Ok(placement) = place_plain(fleet, &request) else { return };
        let incarnation = fleet.server(&placement.server).expect("a known server").incarnation;
        assert!(fleet.take_send_token(incarnation, self.now), "placed on a server without a token");
        fleet.add_load(&placement.server, LoadShare::of_call(), self.now);
        let server: usize = placement.server[2..].parse().expect("a number");
        self.arrivals[server].push(self.now);
        self.calls.push((self.now + CALL_DURATION, gateway, server));
    }

    /// Completes the calls that are due; their responses state the limits.
    fn complete_calls(&mut self) {
        let now = self.now;
        let (due, open) =
            std::mem::take(&mut self.calls).into_iter().partition(|call| call.0 <= now);
        self.calls = open;
        let due: Vec<(Instant, usize, usize)> = due;
        for (_, gateway, server) in due {
            let fleet = &mut self.fleets[gateway];
            let key = format!("s-{server}");
            let Some(incarnation) = fleet.server(&key).map(|server_state| server_state.incarnation)
            else {
                continue;
            };
            fleet.remove_load(&key, incarnation, LoadShare::of_call());
            let is_limited = server < self.case.limited;
            let stated = if is_limited {
                StatedLimit::Rate(rate(self.case.limit))
            } else {
                StatedLimit::None
            };
            fleet.record_limit(incarnation, stated, now - CALL_DURATION, now);
        }
    }

    fn run(&mut self) {
        let started_at = self.now;
        let mut report_at = started_at + REPORT_INTERVAL;
        let restart_at = started_at + Duration::from_secs(10);
        let mut has_restarted = false;
        let (mut step, mut backlog) = (0, 0.0);
        while self.now < started_at + RUN_DURATION {
            self.complete_calls();
            if self.now >= report_at {
                self.report();
                report_at += REPORT_INTERVAL;
            }
            if self.now >= restart_at && !has_restarted {
                has_restarted = true;
                let restarted = (self.case.gateways as f64 * self.case.restarted_fraction) as usize;
                for gateway in 0..restarted {
                    self.fleets[gateway] = self.fleet(gateway);
                    self.calls.retain(|call| call.1 != gateway);
                }
                self.report();
            }
            backlog += self.case.request_rate * STEP.as_secs_f64();
            step += 1;
            if step % self.case.burst_steps == 0 {
                while backlog >= 1.0 {
                    backlog -= 1.0;
                    let gateway = self.random.usize(..self.case.gateways);
                    self.call(gateway);
                }
            }
            self.now += STEP;
        }
    }

    /// Returns the maximum number of arrivals at `server` in any [`WINDOW`] that starts at `from`
    /// or later.
    fn busiest_window(&self, server: usize, from: Instant) -> usize {
        let after: Vec<Instant> =
            self.arrivals[server].iter().copied().filter(|at| *at >= from).collect();
        let within =
            |start: Instant| after.iter().filter(|at| (start..start + WINDOW).contains(at)).count();
        after.iter().map(|start| within(*start)).max().unwrap_or(0)
    }
}

/// Checks that limits are not exceeded with many gateways, bursts of requests, lost reports or
/// restarts, and that they are not left unused.
#[test]
fn limits_hold_over_any_number_of_gateways() {
    let cases = [
        DivisionCase { name: "six", ..BASE_CASE },
        DivisionCase { name: "six, a high limit", limit: 40.0, request_rate: 400.0, ..BASE_CASE },
        DivisionCase { name: "six, less than one a second", limit: 0.4, ..BASE_CASE },
        DivisionCase { name: "six, none", limit: 0.0, ..BASE_CASE },
        DivisionCase { name: "six, bursts", burst_steps: 60, ..BASE_CASE },
        DivisionCase { name: "six, all limited", limited: 4, ..BASE_CASE },
        DivisionCase { name: "six, three in ten reports lost", loss: 0.3, ..BASE_CASE },
        DivisionCase { name: "six, all restart", restarted_fraction: 1.0, ..BASE_CASE },
        DivisionCase { name: "63", gateways: 63, request_rate: 250.0, ..BASE_CASE },
        DivisionCase {
            name: "63, bursts",
            gateways: 63,
            request_rate: 250.0,
            burst_steps: 60,
            ..BASE_CASE
        },
        DivisionCase {
            name: "63, all limited",
            gateways: 63,
            request_rate: 250.0,
            limited: 4,
            ..BASE_CASE
        },
        DivisionCase {
            name: "63, three in ten reports lost",
            gateways: 63,
            request_rate: 250.0,
            loss: 0.3,
            ..BASE_CASE
        },
        DivisionCase {
            name: "63, half restart",
            gateways: 63,
            request_rate: 250.0,
            restarted_fraction: 0.5,
            ..BASE_CASE
        },
        DivisionCase {
            name: "340",
            gateways: 340,
            request_rate: 700.0,
            burst_steps: 20,
            ..BASE_CASE
        },
    ];
    for case in cases {
        let mut simulation = Simulation::new(case);
        let started_at = simulation.now;
        simulation.run();
        for server in 0..case.limited {
            let max_arrivals = simulation.busiest_window(server, started_at + PROPAGATION_DELAY);
            let allowed = allowed(case.limit);
            assert!(
                max_arrivals <= allowed,
                "{}: {max_arrivals} in {WINDOW:?}, {allowed} allowed",
                case.name
            );
        }
        if case.limited == SERVERS {
            let after_propagation = simulation
                .arrivals
                .iter()
                .flatten()
                .filter(|at| **at >= started_at + PROPAGATION_DELAY);
            let time = (RUN_DURATION - PROPAGATION_DELAY).as_secs_f64();
            let used = after_propagation.count() as f64 / (time * case.limit * SERVERS as f64);
            assert!(used >= MIN_USED_FRACTION, "{}: {used:.2} of the limits used", case.name);
        }
    }
}

/// Checks that the sum of the shares equals the limit.
#[test]
fn shares_add_up_to_the_limit() {
    for gateways in [1, 2, 6, 63, 340] {
        for limit in [0.5, 3.5, 4.6, 40.0, 2000.0] {
            let share = |before| limit_share(rate(limit), LimitRank { gateways, before });
            let sum: f64 = (0..gateways).map(share).sum();
            assert!((sum - limit).abs() < 1e-6 * limit, "{gateways} gateways, {limit}: {sum}");
        }
    }
}

proptest! {
    /// Checks that a bucket grants no more tokens than have accrued.
    #[test]
    fn buckets_grant_no_more_than_accrued(
        steps in prop::collection::vec((0u64..800, 0.0f64..20.0, any::<bool>()), 1..80),
    ) {
        let start = Instant::now();
        let (mut now, mut rate, mut accrued, mut taken) = (start, 0.0f64, 0.0f64, 0u32);
        let mut bucket = TokenBucket::new(rate, start);
        for (pause, next_rate, changes_rate) in steps {
            now += Duration::from_millis(pause);
            accrued += rate * pause as f64 / 1000.0;
            taken += u32::from(bucket.take(now));
            if changes_rate {
                bucket.set_rate(next_rate, now);
                rate = next_rate;
            }
            prop_assert!(f64::from(taken) <= accrued + 1e-6, "{taken} of {accrued}");
        }
    }
}
