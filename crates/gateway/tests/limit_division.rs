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
use umberglade_gateway::cluster::place_plain;
use umberglade_gateway::cluster::server_digest;
use umberglade_gateway::model::DomainKey;
use umberglade_gateway::model::RequestRate;
use umberglade_gateway::model::ServerEntry;
use umberglade_gateway::model::ServerStage;
use umberglade_gateway::model::StatedLimit;

/// Interval over which arrivals at a server are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after a limit is first stated within which every gateway must apply it.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Simulated time per step.
const STEP: Duration = Duration::from_millis(50);
/// Interval between reports of a gateway.
const REPORT_EVERY: Duration = Duration::from_secs(1);
/// How long a call takes.
const CALL_TIME: Duration = Duration::from_millis(50);
const RUN_TIME: Duration = Duration::from_secs(24);
/// Minimum fraction of the limits that must be used when demand exceeds them.
const MIN_USED: f64 = 0.8;
const SERVERS: usize = 4;

fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).expect("a rate")
}

/// Requests that a server with `limit` may get in [`WINDOW`].
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
        is_leaving: false,
        started_at: None,
    }
}

#[derive(Clone, Copy)]
struct DivisionCase {
    name: &'static str,
    gateways: usize,
    limit: f64,
    /// How many of the servers state `limit`.
    limited: usize,
    /// Fraction of reports that are lost.
    loss: f64,
    /// Requests per second at all gateways together.
    request_rate: f64,
    /// Steps whose requests are sent together as one burst; 1 for no bursts.
    burst_steps: u32,
    /// Fraction of the gateways that restart after 10 s.
    restarted_share: f64,
}

const BASE_CASE: DivisionCase = DivisionCase {
    name: "",
    gateways: 6,
    limit: 4.0,
    limited: 2,
    loss: 0.0,
    request_rate: 60.0,
    burst_steps: 1,
    restarted_share: 0.0,
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
        let mut fleet = Fleet::new(server_digest(&format!("gw-{gateway}")));
        fleet.set_gateways(self.case.gateways);
        for server in 0..SERVERS {
            fleet.upsert(entry(&format!("s-{server}")), 1);
        }
        fleet
    }

    /// Delivers a report of each gateway, with all its known limits, to the others.
    fn report(&mut self) {
        self.sequence += 1;
        for from in 0..self.fleets.len() {
            let limits = self.fleets[from].limits.news(true, self.now);
            for to in (0..self.fleets.len()).filter(|to| *to != from) {
                if self.random.f64() < self.case.loss {
                    continue;
                }
                let (peer, news) = (format!("gw-{from}"), PeerUpdate::default());
                self.fleets[to].peers.record(&peer, 1, self.sequence, news, self.now);
                for news in &limits {
                    self.fleets[to].apply_peer_limit(*news, self.now);
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
        let need = PlacementRequest {
            service: "svc",
            gateway: gateway as u64,
            domain: &domain,
            tried: &[],
            now: self.now,
        };
        let fleet = &mut self.fleets[gateway];
        let Ok(place) = place_plain(fleet, &need) else { return };
        let incarnation = fleet.server(&place.server).expect("a known server").incarnation;
        assert!(fleet.take_send_token(incarnation, self.now), "placed on a server without a token");
        fleet.add_load(&place.server, LoadShare::of_call(), self.now);
        let server: usize = place.server[2..].parse().expect("a number");
        self.arrivals[server].push(self.now);
        self.calls.push((self.now + CALL_TIME, gateway, server));
    }

    /// Ends the calls that are due; their answers state the limits.
    fn answer(&mut self) {
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
            fleet.record_limit(incarnation, stated, now - CALL_TIME, now);
        }
    }

    fn run(&mut self) {
        let begun = self.now;
        let mut report_at = begun + REPORT_EVERY;
        let restart_at = begun + Duration::from_secs(10);
        let mut has_restarted = false;
        let (mut step, mut backlog) = (0, 0.0);
        while self.now < begun + RUN_TIME {
            self.answer();
            if self.now >= report_at {
                self.report();
                report_at += REPORT_EVERY;
            }
            if self.now >= restart_at && !has_restarted {
                has_restarted = true;
                let restarted = (self.case.gateways as f64 * self.case.restarted_share) as usize;
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

    /// The most arrivals at `server` in any [`WINDOW`] that begins at `from` or later.
    fn busiest_window(&self, server: usize, from: Instant) -> usize {
        let late: Vec<Instant> =
            self.arrivals[server].iter().copied().filter(|at| *at >= from).collect();
        let within =
            |begun: Instant| late.iter().filter(|at| (begun..begun + WINDOW).contains(at)).count();
        late.iter().map(|begun| within(*begun)).max().unwrap_or(0)
    }
}

/// Guards against limits that are exceeded with many gateways, bursts of requests, lost
/// reports or restarts, and against limits left unused.
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
        DivisionCase { name: "six, all restart", restarted_share: 1.0, ..BASE_CASE },
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
            restarted_share: 0.5,
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
        let begun = simulation.now;
        simulation.run();
        for server in 0..case.limited {
            let most = simulation.busiest_window(server, begun + PROPAGATION_TIME);
            let allowed = allowed(case.limit);
            assert!(most <= allowed, "{}: {most} in {WINDOW:?}, {allowed} allowed", case.name);
        }
        if case.limited == SERVERS {
            let late =
                simulation.arrivals.iter().flatten().filter(|at| **at >= begun + PROPAGATION_TIME);
            let time = (RUN_TIME - PROPAGATION_TIME).as_secs_f64();
            let used = late.count() as f64 / (time * case.limit * SERVERS as f64);
            assert!(used >= MIN_USED, "{}: {used:.2} of the limits used", case.name);
        }
    }
}

/// Guards against shares whose sum differs from the limit.
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
    /// Guards against a bucket that grants more tokens than have accrued.
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
