//! Quotas that gateways give out together: within the bound for any schedule, and
//! of full use where gateways hear each other.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;
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

const NAME: &str = "studios";
const WINDOW: Duration = Duration::from_secs(8);
const OVERAGE: f64 = 0.1;
const RATE: f64 = 200_000.0;
const BURST: f64 = 200_000.0;
const SLACK: f64 = 120_000.0;
const COST: u64 = 6_000;
const STEP: Duration = Duration::from_millis(5);

fn book(rate: f64, burst: f64) -> OrganisationRegistry {
    let quota = QuotaLimit { unit: QuotaUnit::Tokens { plain: 200 }, rate, burst };
    let organisation = Organisation { name: NAME.into(), priority: None, quota: Some(quota) };
    let mut book = OrganisationRegistry::default();
    book.add(organisation, [KeyDigest::of(b"key")]);
    book
}

/// A report on its way.
struct Sent {
    arrives: Duration,
    from: usize,
    to: usize,
    incarnation: u64,
    age: Duration,
    charges: Vec<(OrganisationDigest, ChargeUpdate)>,
}

struct Gateway {
    pool: QuotaPool,
    incarnation: u64,
    begun: Duration,
    reports_at: Duration,
    tells_all_at: Duration,
    is_cut: bool,
    heard_at: Vec<Option<Duration>>,
}

/// Gateways in simulated time that tell each other what they charged.
struct Fleet {
    begun: Instant,
    now: Duration,
    limit: (f64, f64),
    gateways: Vec<Gateway>,
    sent: VecDeque<Sent>,
    /// Reports lost, of a hundred.
    loss: u32,
    draw: fastrand::Rng,
    /// What was let run, and when.
    runs: VecDeque<(Duration, u64)>,
    refused: u64,
    asked: u64,
}

impl Fleet {
    fn new(count: usize, loss: u32, seed: u64) -> Self {
        let begun = Instant::now();
        let mut fleet = Fleet {
            begun,
            now: Duration::ZERO,
            limit: (RATE, BURST),
            gateways: Vec::new(),
            sent: VecDeque::new(),
            loss,
            draw: fastrand::Rng::with_seed(seed),
            runs: VecDeque::new(),
            refused: 0,
            asked: 0,
        };
        for _ in 0..count {
            fleet.gateways.push(Gateway {
                pool: QuotaPool::new(begun),
                incarnation: 0,
                begun: Duration::ZERO,
                reports_at: Duration::ZERO,
                tells_all_at: Duration::ZERO,
                is_cut: false,
                heard_at: vec![None; count],
            });
        }
        for place in 0..count {
            fleet.start(place);
        }
        fleet
    }

    fn start(&mut self, place: usize) {
        let count = self.gateways.len();
        let now = self.begun + self.now;
        let gateway = &mut self.gateways[place];
        gateway.pool = QuotaPool::new(now);
        gateway.incarnation += 1;
        gateway.begun = self.now;
        gateway.heard_at = vec![None; count];
        gateway.reports_at = self.now + STEP * (place as u32 % 10);
        let view = self.view(place);
        let (rate, burst) = self.limit;
        self.gateways[place].pool.set_limits(&book(rate, burst), &view, now);
    }

    fn set_limit(&mut self, rate: f64, burst: f64) {
        self.limit = (rate, burst);
        let now = self.begun + self.now;
        for place in 0..self.gateways.len() {
            let view = self.view(place);
            self.gateways[place].pool.set_limits(&book(rate, burst), &view, now);
        }
    }

    fn view(&self, place: usize) -> QuotaView {
        let is_live = |at: &&Option<Duration>| at.is_some_and(|at| self.now - at < PEER_LIFE);
        let heard = self.gateways[place].heard_at.iter().filter(is_live).count();
        let newest = self.gateways[place].heard_at.iter().flatten().max();
        let unheard_for = newest.map_or(Duration::MAX, |at| self.now - *at);
        let unheard_for = unheard_for.max(report_interval(heard) + STEP);
        QuotaView {
            heard,
            members: self.gateways.len(),
            report_age: report_interval(heard) + STEP,
            unheard_for,
            window: WINDOW,
            overage: OVERAGE,
            slack: SLACK,
        }
    }

    /// One step: reports arrive, `arrivals` requests come at gateways drawn by
    /// `at`, reports go out.
    fn step(&mut self, arrivals: usize, at: impl Fn(&mut fastrand::Rng, usize) -> usize) {
        self.now += STEP;
        let now = self.begun + self.now;
        while self.sent.front().is_some_and(|sent| sent.arrives <= self.now) {
            let Some(sent) = self.sent.pop_front() else { break };
            if self.gateways[sent.to].is_cut {
                continue;
            }
            self.gateways[sent.to].heard_at[sent.from] = Some(self.now);
            if !sent.charges.is_empty() {
                let view = self.view(sent.to);
                let pool = &mut self.gateways[sent.to].pool;
                pool.hear(sent.from as u64, sent.incarnation, sent.age, &sent.charges, &view, now);
            }
        }
        for _ in 0..arrivals {
            let place = at(&mut self.draw, self.gateways.len());
            let view = self.view(place);
            self.asked += 1;
            let draw = self.draw.f64();
            let pool = &mut self.gateways[place].pool;
            match pool.charge(organisation_digest(NAME), COST, &view, draw, now) {
                Ok(()) => self.runs.push_back((self.now, COST)),
                Err(_) => self.refused += 1,
            }
        }
        for place in 0..self.gateways.len() {
            self.report(place);
        }
    }

    fn report(&mut self, place: usize) {
        let count = self.gateways.len();
        let gateway = &mut self.gateways[place];
        if self.now < gateway.reports_at {
            return;
        }
        gateway.reports_at = self.now + report_interval(count);
        let tells_all = self.now >= gateway.tells_all_at;
        if tells_all {
            gateway.tells_all_at = self.now + Duration::from_secs(2);
        }
        let charges = gateway.pool.news(tells_all);
        let age = self.now - gateway.begun;
        let incarnation = gateway.incarnation;
        if gateway.is_cut {
            return;
        }
        for to in (0..count).filter(|to| *to != place) {
            if self.draw.u32(..100) < self.loss {
                continue;
            }
            let arrives = self.now + STEP;
            let charges = charges.clone();
            self.sent.push_back(Sent { arrives, from: place, to, incarnation, age, charges });
        }
    }

    /// The most that ran in any window so far.
    fn most_in_window(&self) -> u64 {
        let mut most = 0;
        let mut sum = 0;
        let mut first = 0;
        for (at, cost) in &self.runs {
            sum += cost;
            while self.runs[first].0 + WINDOW <= *at {
                sum -= self.runs[first].1;
                first += 1;
            }
            most = most.max(sum);
        }
        most
    }
}

/// When a case's trouble begins, in seconds.
const DISTURBED_AT: u32 = 6;
/// After this long without a report a gateway no longer counts as heard.
const PEER_LIFE: Duration = Duration::from_secs(1);

fn bound(rate: f64, burst: f64) -> f64 {
    (rate * WINDOW.as_secs_f64() + burst) * (1.0 + OVERAGE) + SLACK
}

/// What disturbs a fleet under a hot organisation.
#[derive(Clone, Copy, PartialEq)]
enum Trouble {
    None,
    /// All start anew at this moment.
    AllRestart,
    /// A third hears nobody and is not heard.
    ThirdCut,
    /// The limit falls to a tenth.
    LimitFalls,
}

struct HotCase {
    name: &'static str,
    gateways: usize,
    seconds: u32,
    loss: u32,
    /// Requests in each step; the limit allows one each 30 ms.
    arrivals: usize,
    /// True where all come at one gateway.
    is_skewed: bool,
    trouble: Trouble,
    /// The least part of the allowance that has to be used.
    least_use: f64,
}

/// Guards against an organisation that sends many times its usual and gets more
/// than its quota, or far less, from gateways that only hear of each other.
#[test]
fn a_hot_organisation_gets_its_quota_and_no_more() {
    let calm = HotCase {
        name: "calm",
        gateways: 63,
        seconds: 14,
        loss: 0,
        arrivals: 2,
        is_skewed: false,
        trouble: Trouble::None,
        least_use: 0.95,
    };
    let cases = [
        HotCase { name: "few gateways", gateways: 6, ..calm },
        HotCase { name: "one gateway gets all", is_skewed: true, ..calm },
        HotCase { name: "195 gateways", gateways: 195, seconds: 9, ..calm },
        HotCase { name: "340 gateways", gateways: 340, seconds: 9, ..calm },
        HotCase { name: "reports are lost", loss: 30, ..calm },
        HotCase { name: "restart", trouble: Trouble::AllRestart, ..calm },
        HotCase { name: "a third is cut off", trouble: Trouble::ThirdCut, least_use: 0.6, ..calm },
        HotCase { name: "limit falls", trouble: Trouble::LimitFalls, least_use: 0.0, ..calm },
        HotCase { ..calm },
    ];
    for case in cases {
        let mut fleet = Fleet::new(case.gateways, case.loss, 7);
        let seconds = case.seconds;
        for step in 0..seconds * 200 {
            if step == DISTURBED_AT * 200 {
                disturb(&mut fleet, case.trouble);
            }
            let is_skewed = case.is_skewed;
            fleet
                .step(case.arrivals, |draw, count| if is_skewed { 0 } else { draw.usize(..count) });
        }
        let most = fleet.most_in_window() as f64;
        let allowed = bound(RATE, BURST);
        assert!(most <= allowed, "{}: {most} in a window of {allowed}", case.name);
        let used: u64 = fleet.runs.iter().map(|(_, cost)| cost).sum();
        let share = used as f64 / (RATE * f64::from(seconds) + BURST);
        assert!(share >= case.least_use, "{}: {share:.3} used", case.name);
        if case.trouble == Trouble::LimitFalls {
            let disturbed_at = Duration::from_secs(u64::from(DISTURBED_AT));
            let late = fleet.runs.iter().filter(|(at, _)| *at > disturbed_at);
            let used: u64 = late.map(|(_, cost)| cost).sum();
            let left = f64::from(seconds - DISTURBED_AT);
            let allowed = RATE / 10.0 * left * (1.0 + OVERAGE) + SLACK;
            assert!((used as f64) < allowed, "{}: {used} after the fall", case.name);
        }
    }
}

fn disturb(fleet: &mut Fleet, trouble: Trouble) {
    let count = fleet.gateways.len();
    match trouble {
        Trouble::None => {}
        Trouble::AllRestart => (0..count).for_each(|place| fleet.start(place)),
        Trouble::ThirdCut => {
            fleet.gateways.iter_mut().take(count / 3).for_each(|gateway| gateway.is_cut = true);
        }
        Trouble::LimitFalls => fleet.set_limit(RATE / 10.0, BURST / 10.0),
    }
}

/// Guards against requests within their limit that are refused since gateways
/// guess what others give out.
#[test]
fn nothing_within_the_limit_is_refused() {
    for gateways in [6, 63, 195] {
        let mut fleet = Fleet::new(gateways, 5, 3);
        // 0.9 of the rate, at any gateway.
        for step in 0..20 * 200 {
            if step == 200 {
                // From here on all have heard each other.
                fleet.refused = 0;
            }
            fleet.step(usize::from(step % 20 < 3), |draw, count| draw.usize(..count));
        }
        assert_eq!(fleet.refused, 0, "{gateways} gateways, of {}", fleet.asked);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    /// Guards against any order of arrivals, losses, restarts, cuts and falling
    /// limits in which more runs than the bound.
    #[test]
    fn the_bound_holds_for_any_schedule(
        seed in any::<u64>(),
        gateways in 1usize..24,
        loss in 0u32..30,
        troubles in prop::collection::vec((0u32..4, any::<u32>()), 0..6),
    ) {
        let mut fleet = Fleet::new(gateways, loss, seed);
        let mut next = troubles.into_iter();
        for step in 0..12 * 200 {
            if step % 400 == 399 && let Some((kind, place)) = next.next() {
                let place = place as usize % gateways;
                match kind {
                    0 => fleet.start(place),
                    1 => fleet.gateways[place].is_cut = true,
                    2 => fleet.gateways[place].is_cut = false,
                    _ => (0..gateways).for_each(|place| fleet.start(place)),
                }
            }
            let arrivals = if step % 40 < 10 { 8 } else { 1 };
            fleet.step(arrivals, |draw, count| draw.usize(..count));
        }
        let most = fleet.most_in_window() as f64;
        prop_assert!(most <= bound(RATE, BURST), "{most} of {}", bound(RATE, BURST));
    }
}
