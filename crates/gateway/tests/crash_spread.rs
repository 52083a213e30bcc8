//! Gateways that tell each other of a fatal request, few and many, over a
//! network that loses and delays what they tell.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::CrashDetector;
use umberglade_gateway::cluster::OutcomeUpdate;
use umberglade_gateway::cluster::QuarantineVerdict;
use umberglade_gateway::cluster::RowChange;
use umberglade_gateway::cluster::report_interval;

const FATAL: u64 = 7;
const STEP: Duration = Duration::from_millis(20);
/// Reports that tell all come this often.
const TELL_ALL_EVERY: Duration = Duration::from_secs(2);
/// From holding a content back until its row is written and read.
const ROW_TIME: Duration = Duration::from_millis(340);
/// How long a server works on the request before it ends.
const RUN_TIME: Duration = Duration::from_millis(100);
const PLAY_TIME: Duration = Duration::from_secs(100);
/// All must know within this of the third end, and let few through after it.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
const ALLOWED_AFTER: usize = 3;

#[derive(Clone, Copy)]
struct SpreadCase {
    name: &'static str,
    gateways: usize,
    /// Share of datagrams lost.
    loss: f64,
    /// The longest delay of a datagram.
    lag: Duration,
    /// Between two tries of the request.
    repeat_every: Duration,
    /// False while the store can't be written or read.
    has_store: bool,
    /// The first gateways hear nobody and are heard by nobody.
    cut_off: usize,
}

const USUAL: SpreadCase = SpreadCase {
    name: "six",
    gateways: 6,
    loss: 0.0,
    lag: Duration::from_millis(2),
    repeat_every: Duration::from_millis(400),
    has_store: true,
    cut_off: 0,
};

/// A fatal request comes every now and then, each time at any gateway; each end
/// is seen by one of them. However many they are, and though reports are lost or
/// late, a few seconds after the third end hardly any may reach a server, and
/// one probe is let through by all of them together.
#[test]
fn all_know_in_time() {
    let ms = Duration::from_millis;
    let cases = [
        USUAL,
        SpreadCase { name: "three", gateways: 3, ..USUAL },
        SpreadCase { name: "six, a third lost", loss: 0.33, ..USUAL },
        SpreadCase { name: "six, late", lag: ms(900), ..USUAL },
        SpreadCase { name: "six, at once", repeat_every: ms(20), ..USUAL },
        SpreadCase { name: "six, rarely", repeat_every: ms(4000), ..USUAL },
        SpreadCase { name: "six, no store", has_store: false, loss: 0.33, ..USUAL },
        SpreadCase { name: "eighty", gateways: 80, loss: 0.1, ..USUAL },
        SpreadCase { name: "many", gateways: 340, loss: 0.1, ..USUAL },
        SpreadCase {
            name: "many, a third lost, late",
            gateways: 340,
            loss: 0.33,
            lag: ms(500),
            repeat_every: ms(100),
            ..USUAL
        },
        SpreadCase { name: "one in three cut off", gateways: 6, cut_off: 2, ..USUAL },
    ];
    for case in cases {
        for seed in 0..3 {
            let late = Fleet::new(case, seed).play();
            assert!(late <= ALLOWED_AFTER, "{}, seed {seed}: {late} let through", case.name);
        }
    }
}

/// What is on its way to a gateway.
enum Mail {
    News(OutcomeUpdate),
    Row { probes: u32, version: u64 },
}

struct Fleet {
    case: SpreadCase,
    draw: fastrand::Rng,
    watches: Vec<CrashDetector>,
    /// By arrival, then by a count.
    mail: BTreeMap<(Instant, u64), (usize, Mail)>,
    sent: u64,
    /// Runs that have not ended their server yet, by the end's time.
    runs: Vec<(Instant, usize)>,
    /// When servers ended.
    ends: Vec<Instant>,
    /// When requests were let through.
    sends: Vec<Instant>,
    /// The version of the row; 0 while there is none.
    version: u64,
}

impl Fleet {
    fn new(case: SpreadCase, seed: u64) -> Fleet {
        Fleet {
            case,
            draw: fastrand::Rng::with_seed(seed),
            watches: (0..case.gateways).map(|_| CrashDetector::default()).collect(),
            mail: BTreeMap::new(),
            sent: 0,
            runs: Vec::new(),
            ends: Vec::new(),
            sends: Vec::new(),
            version: 0,
        }
    }

    /// Plays the case; how many were let through once all must know.
    fn play(&mut self) -> usize {
        let begun = Instant::now();
        let steps = (PLAY_TIME.as_millis() / STEP.as_millis()) as u32;
        for step in 0..steps {
            let now = begun + STEP * step;
            self.deliver(now);
            self.end_runs(now);
            if is_due(STEP * step, self.case.repeat_every) {
                self.ask(now);
            }
            if is_due(STEP * step, report_interval(self.case.gateways - 1)) {
                self.report(is_due_within(STEP * step, TELL_ALL_EVERY), now);
            }
            self.write_rows(now);
        }
        let Some(third) = self.ends.get(2) else { return usize::MAX };
        let known = *third + KNOWN_WITHIN;
        self.sends.iter().filter(|at| **at > known).count()
    }

    /// The request comes at some gateway.
    fn ask(&mut self, now: Instant) {
        let gateway = self.draw.usize(..self.watches.len());
        match self.watches[gateway].admit(FATAL, now) {
            QuarantineVerdict::Admitted | QuarantineVerdict::Probe(_) => {}
            QuarantineVerdict::HeldBack(_) => return,
            QuarantineVerdict::ProbeDue(held) => {
                if !self.case.has_store || held.version != self.version {
                    return;
                }
                self.version += 1;
                self.watches[gateway].note_row(FATAL, held.probes + 1, self.version, true, now);
                self.watches[gateway].begin_probe(FATAL);
                self.feed(held.probes + 1, now);
            }
        }
        self.sends.push(now);
        self.runs.push((now + RUN_TIME, gateway));
    }

    fn end_runs(&mut self, now: Instant) {
        let ended: Vec<usize> =
            self.runs.iter().filter(|(at, _)| *at <= now).map(|(_, gateway)| *gateway).collect();
        self.runs.retain(|(at, _)| *at > now);
        for gateway in ended {
            self.ends.push(now);
            let server = self.ends.len() as u64;
            self.watches[gateway].note_crash(FATAL, server, Duration::ZERO, now);
        }
    }

    fn report(&mut self, tells_all: bool, now: Instant) {
        for from in 0..self.watches.len() {
            let news = self.watches[from].news(tells_all, now);
            for to in (0..self.watches.len()).filter(|to| *to != from && !news.is_empty()) {
                let is_cut = from.min(to) < self.case.cut_off;
                if is_cut || self.draw.f64() < self.case.loss {
                    continue;
                }
                let lag = self.case.lag.mul_f64(self.draw.f64());
                for told in &news {
                    self.post(now + lag, to, Mail::News(*told));
                }
            }
        }
    }

    fn write_rows(&mut self, now: Instant) {
        for gateway in 0..self.watches.len() {
            let writes = self.watches[gateway].take_row_changes();
            let is_first = writes.contains(&RowChange::Write(FATAL)) && self.version == 0;
            if is_first && self.case.has_store {
                self.version = 1;
                self.feed(0, now + ROW_TIME);
            }
        }
    }

    /// All gateways read the row.
    fn feed(&mut self, probes: u32, at: Instant) {
        let version = self.version;
        for to in 0..self.watches.len() {
            self.post(at, to, Mail::Row { probes, version });
        }
    }

    fn post(&mut self, at: Instant, to: usize, mail: Mail) {
        self.sent += 1;
        self.mail.insert((at, self.sent), (to, mail));
    }

    fn deliver(&mut self, now: Instant) {
        while let Some(entry) = self.mail.first_entry().filter(|entry| entry.key().0 <= now) {
            let (to, mail) = entry.remove();
            match mail {
                Mail::News(news) => drop(self.watches[to].hear(news, now)),
                Mail::Row { probes, version } => {
                    self.watches[to].note_row(FATAL, probes, version, false, now);
                }
            }
        }
    }
}

fn is_due(at: Duration, every: Duration) -> bool {
    at.as_millis() % every.as_millis().max(1) < STEP.as_millis()
}

/// True for one report in each `every`, at the slowest pace of reports.
fn is_due_within(at: Duration, every: Duration) -> bool {
    at.as_millis() % every.as_millis() < 250
}
