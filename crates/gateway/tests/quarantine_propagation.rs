//! Simulates few and many gateways that report a poison request to each other over a
//! network that loses and delays datagrams.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::CrashDetector;
use umberglade_gateway::cluster::OutcomeUpdate;
use umberglade_gateway::cluster::QuarantineVerdict;
use umberglade_gateway::cluster::RowChange;
use umberglade_gateway::cluster::report_interval;
use umberglade_gateway::model::StoreStamp;

/// Returns the stamp with `version` of a store that has never come back from a copy.
fn stamp(version: u64) -> StoreStamp {
    StoreStamp::new(0, version)
}

const POISON: u64 = 7;
const STEP: Duration = Duration::from_millis(20);
/// Interval of full reports.
const FULL_REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Delay from the quarantine of a fingerprint until its row is written and read.
const ROW_DELAY: Duration = Duration::from_millis(340);
/// How long a server processes the request before it crashes.
const RUN_DURATION: Duration = Duration::from_millis(100);
const RUN_LENGTH: Duration = Duration::from_secs(100);
/// Within this time after the third crash, all gateways must know the request; few may be
/// sent afterwards.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);
const MAX_LATE_SENDS: usize = 3;

#[derive(Clone, Copy)]
struct SpreadCase {
    name: &'static str,
    gateways: usize,
    /// Fraction of datagrams lost.
    loss: f64,
    /// The longest delay of a datagram.
    max_delay: Duration,
    /// Time between two arrivals of the request.
    request_interval: Duration,
    /// False while the store can be neither written nor read.
    has_store: bool,
    /// This many gateways, the first ones, exchange no reports with any other.
    partitioned: usize,
}

const BASE_CASE: SpreadCase = SpreadCase {
    name: "six",
    gateways: 6,
    loss: 0.0,
    max_delay: Duration::from_millis(2),
    request_interval: Duration::from_millis(400),
    has_store: true,
    partitioned: 0,
};

/// A poison request arrives repeatedly, each time at a random gateway, and each crash is
/// seen by one gateway. Whatever the number of gateways, and although reports are lost or
/// late, hardly any request may reach a server a few seconds after the third crash, and all
/// gateways together admit one probe.
#[test]
fn quarantine_reaches_all_gateways_in_time() {
    let ms = Duration::from_millis;
    let cases = [
        BASE_CASE,
        SpreadCase { name: "three", gateways: 3, ..BASE_CASE },
        SpreadCase { name: "six, a third lost", loss: 0.33, ..BASE_CASE },
        SpreadCase { name: "six, delayed", max_delay: ms(900), ..BASE_CASE },
        SpreadCase { name: "six, frequent requests", request_interval: ms(20), ..BASE_CASE },
        SpreadCase { name: "six, rare requests", request_interval: ms(4000), ..BASE_CASE },
        SpreadCase { name: "six, no store", has_store: false, loss: 0.33, ..BASE_CASE },
        SpreadCase { name: "eighty", gateways: 80, loss: 0.1, ..BASE_CASE },
        SpreadCase { name: "many", gateways: 340, loss: 0.1, ..BASE_CASE },
        SpreadCase {
            name: "many, a third lost, delayed",
            gateways: 340,
            loss: 0.33,
            max_delay: ms(500),
            request_interval: ms(100),
            ..BASE_CASE
        },
        SpreadCase { name: "one in three partitioned", gateways: 6, partitioned: 2, ..BASE_CASE },
    ];
    for case in cases {
        for seed in 0..3 {
            let late = Fleet::new(case, seed).run();
            assert!(late <= MAX_LATE_SENDS, "{}, seed {seed}: {late} sends too late", case.name);
        }
    }
}

/// A message in transit to a gateway.
enum Message {
    Update(OutcomeUpdate),
    Row { probes: u32, version: u64 },
}

struct Fleet {
    case: SpreadCase,
    rng: fastrand::Rng,
    detectors: Vec<CrashDetector>,
    /// Ordered by arrival, then by a sequence number.
    messages: BTreeMap<(Instant, u64), (usize, Message)>,
    sent: u64,
    /// Runs that have not crashed their server yet: the time of the crash, and the gateway.
    runs: Vec<(Instant, usize)>,
    /// When servers crashed.
    crashes: Vec<Instant>,
    /// When requests were admitted.
    sends: Vec<Instant>,
    /// The version of the row; 0 while there is none.
    version: u64,
}

impl Fleet {
    fn new(case: SpreadCase, seed: u64) -> Fleet {
        Fleet {
            case,
            rng: fastrand::Rng::with_seed(seed),
            detectors: (0..case.gateways).map(|_| CrashDetector::default()).collect(),
            messages: BTreeMap::new(),
            sent: 0,
            runs: Vec::new(),
            crashes: Vec::new(),
            sends: Vec::new(),
            version: 0,
        }
    }

    /// Runs the case, and returns how many requests were admitted after the propagation limit.
    fn run(&mut self) -> usize {
        let started_at = Instant::now();
        let steps = (RUN_LENGTH.as_millis() / STEP.as_millis()) as u32;
        for step in 0..steps {
            let now = started_at + STEP * step;
            self.deliver(now);
            self.crash_servers(now);
            if is_due(STEP * step, self.case.request_interval) {
                self.send_request(now);
            }
            if is_due(STEP * step, report_interval(self.case.gateways - 1)) {
                self.report(is_due_within(STEP * step, FULL_REPORT_INTERVAL), now);
            }
            self.write_rows(now);
        }
        let Some(third) = self.crashes.get(2) else { return usize::MAX };
        let known = *third + PROPAGATION_LIMIT;
        self.sends.iter().filter(|at| **at > known).count()
    }

    /// The request arrives at a random gateway.
    fn send_request(&mut self, now: Instant) {
        let gateway = self.rng.usize(..self.detectors.len());
        match self.detectors[gateway].admit(POISON, now) {
            QuarantineVerdict::Admitted | QuarantineVerdict::Probe(_) => {}
            QuarantineVerdict::Quarantined(_) => return,
            QuarantineVerdict::ProbeDue(status) => {
                if !self.case.has_store || status.stamp.version() != self.version {
                    return;
                }
                self.version += 1;
                self.detectors[gateway].apply_row(
                    POISON,
                    status.probes + 1,
                    stamp(self.version),
                    true,
                    now,
                );
                self.detectors[gateway].begin_probe(POISON);
                self.broadcast_row(status.probes + 1, now);
            }
        }
        self.sends.push(now);
        self.runs.push((now + RUN_DURATION, gateway));
    }

    fn crash_servers(&mut self, now: Instant) {
        let ended: Vec<usize> =
            self.runs.iter().filter(|(at, _)| *at <= now).map(|(_, gateway)| *gateway).collect();
        self.runs.retain(|(at, _)| *at > now);
        for gateway in ended {
            self.crashes.push(now);
            let server = self.crashes.len() as u64;
            self.detectors[gateway].record_crash(POISON, server, Duration::ZERO, now);
        }
    }

    fn report(&mut self, reports_all: bool, now: Instant) {
        for from in 0..self.detectors.len() {
            let updates = self.detectors[from].updates(reports_all, now);
            for to in (0..self.detectors.len()).filter(|to| *to != from && !updates.is_empty()) {
                let is_partitioned = from.min(to) < self.case.partitioned;
                if is_partitioned || self.rng.f64() < self.case.loss {
                    continue;
                }
                let delay = self.case.max_delay.mul_f64(self.rng.f64());
                for update in &updates {
                    self.enqueue(now + delay, to, Message::Update(*update));
                }
            }
        }
    }

    fn write_rows(&mut self, now: Instant) {
        for gateway in 0..self.detectors.len() {
            let writes = self.detectors[gateway].take_row_changes();
            let is_first_write = writes.contains(&RowChange::Write(POISON)) && self.version == 0;
            if is_first_write && self.case.has_store {
                self.version = 1;
                self.broadcast_row(0, now + ROW_DELAY);
            }
        }
    }

    /// Sends the row to all gateways.
    fn broadcast_row(&mut self, probes: u32, at: Instant) {
        let version = self.version;
        for to in 0..self.detectors.len() {
            self.enqueue(at, to, Message::Row { probes, version });
        }
    }

    fn enqueue(&mut self, at: Instant, to: usize, message: Message) {
        self.sent += 1;
        self.messages.insert((at, self.sent), (to, message));
    }

    fn deliver(&mut self, now: Instant) {
        while let Some(entry) = self.messages.first_entry().filter(|entry| entry.key().0 <= now) {
            let (to, message) = entry.remove();
            match message {
                Message::Update(update) => drop(self.detectors[to].apply_peer_outcome(update, now)),
                Message::Row { probes, version } => {
                    self.detectors[to].apply_row(POISON, probes, stamp(version), false, now);
                }
            }
        }
    }
}

fn is_due(at: Duration, every: Duration) -> bool {
    at.as_millis() % every.as_millis().max(1) < STEP.as_millis()
}

/// Returns true for one report in each `every`, at the longest report interval.
fn is_due_within(at: Duration, every: Duration) -> bool {
    at.as_millis() % every.as_millis() < 250
}
