//! Which parts of prompts are held back, and what that costs: single decisions, and a simulation of
//! gateways before servers.

use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::BrokenRun;
use umberglade_gateway::cluster::CrashDetector;
use umberglade_gateway::cluster::PartEvidence;
use umberglade_gateway::cluster::QuarantineVerdict;
use umberglade_gateway::cluster::SURVIVAL_TIME;
use umberglade_gateway::model::CrashSuspects;
use umberglade_gateway::model::PromptParts;
use umberglade_gateway::model::StoreStamp;
use umberglade_gateway::model::is_prompt_part;
use umberglade_gateway::model::prompt_part;

/// Prevents parts from being held back that are at crashes by chance, and fatal ones from being let
/// through because they were answered before.
#[test]
fn evidence_decides_which_part_is_suspect() {
    struct Case {
        name: &'static str,
        evidence: PartEvidence,
        is_suspect: bool,
    }
    let fatal =
        PartEvidence { crashes: 3, moments: 1, unexplained: 3, all_crashes: 3, is_trusted: false };
    let cases = [
        Case { name: "at each of three crashes", evidence: fatal, is_suspect: true },
        Case {
            name: "at two crashes",
            evidence: PartEvidence { crashes: 2, unexplained: 2, all_crashes: 2, ..fatal },
            is_suspect: false,
        },
        Case {
            name: "at few of the servers that lose power together",
            evidence: PartEvidence { all_crashes: 8, ..fatal },
            is_suspect: false,
        },
        Case {
            name: "at two moments, among crashes for other reasons",
            evidence: PartEvidence { all_crashes: 8, moments: 2, ..fatal },
            is_suspect: true,
        },
        Case {
            name: "another part explains all crashes",
            evidence: PartEvidence { unexplained: 0, ..fatal },
            is_suspect: false,
        },
        Case {
            name: "another part explains all crashes but one",
            evidence: PartEvidence { crashes: 4, unexplained: 1, all_crashes: 4, ..fatal },
            is_suspect: false,
        },
        Case {
            name: "another part explains one crash of three",
            evidence: PartEvidence { unexplained: 2, moments: 2, all_crashes: 4, ..fatal },
            is_suspect: false,
        },
        Case {
            name: "another part explains one crash of four",
            evidence: PartEvidence { crashes: 4, unexplained: 3, all_crashes: 4, ..fatal },
            is_suspect: true,
        },
        Case {
            name: "another part explains some crashes",
            evidence: PartEvidence { crashes: 5, unexplained: 2, all_crashes: 5, ..fatal },
            is_suspect: true,
        },
        Case {
            name: "answered lately, and at three crashes at once",
            evidence: PartEvidence { is_trusted: true, ..fatal },
            is_suspect: false,
        },
        Case {
            name: "answered lately, and at all of four crashes",
            evidence: PartEvidence {
                is_trusted: true,
                crashes: 4,
                unexplained: 4,
                all_crashes: 4,
                ..fatal
            },
            is_suspect: true,
        },
        Case {
            name: "answered lately, and at crashes at three moments",
            evidence: PartEvidence { is_trusted: true, moments: 3, all_crashes: 9, ..fatal },
            is_suspect: true,
        },
    ];
    for case in cases {
        assert_eq!(case.evidence.is_suspect(), case.is_suspect, "{}", case.name);
    }
}

const GATEWAYS: usize = 6;
const SERVERS: usize = 8;
const STEP: Duration = Duration::from_millis(10);
const REPORT_INTERVAL: Duration = Duration::from_millis(60);
const RESTART_PAUSE: Duration = Duration::from_millis(2500);
const SOUND_PER_S: f64 = 8.0;
const FATAL_PER_S: f64 = 2.0;
/// Number of parts that are judged where not all of them are.
const FEW_PARTS: usize = 16;
/// Time from the arrival of a request at its server until its first event.
const FIRST_EVENT_AFTER: Duration = Duration::from_millis(250);
/// Time from the arrival of a fatal request at its server until that crashes.
const CRASH_AFTER: Duration = Duration::from_millis(120);
const STREAM_LENGTH: Duration = Duration::from_millis(2500);
const DURATION: Duration = Duration::from_secs(40);
/// Time by which a part must be known everywhere after it has crashed the fifth server.
const KNOWN_AFTER: Duration = Duration::from_secs(3);
const KNOWN_AFTER_CRASHES: usize = 5;
const MAX_LATE_ARRIVALS: usize = 3;
/// Number of simulations of each case.
const SEEDS: u64 = 8;
/// The same where only some of the parts are judged, for comparison.
const COMPARED_SEEDS: u64 = 2;
/// Fraction of the sound requests that may be held back.
const MAX_HELD: f64 = 0.05;

struct Run {
    gateway: usize,
    server: usize,
    suspects: CrashSuspects,
    sent_at: Duration,
    /// Its fatal part.
    fatal_part: Option<u64>,
    has_survived: bool,
}

/// What of a request a gateway judges.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Judged {
    /// Only its content.
    Content,
    /// Its parts too, of more than [`FEW_PARTS`] the first ones.
    FirstParts,
    /// The same, of more than [`FEW_PARTS`] as many drawn anew for each request.
    DrawnParts,
    AllParts,
}

/// Where the fatal part of a prompt stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FatalPlace {
    First,
    Last,
}

struct Case {
    name: &'static str,
    /// Number of parts that all prompts share.
    shared_parts: usize,
    /// Number of further parts of each fatal prompt, which no other one has.
    invented_parts: usize,
    place: FatalPlace,
    /// Number of fatal parts.
    fatal_parts: u64,
    fatal_from: Duration,
    /// Whether prompts with fatal parts were sound before.
    is_known_as_sound: bool,
    /// Whether single servers also crash for reasons of their own, each second.
    has_other_crashes: bool,
    /// When all servers lose power.
    power_loss_at: Option<Duration>,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Crashes under fatal parts, and when.
    crashes: Vec<(u64, Duration)>,
    /// Fatal parts of requests that reached servers, and when.
    fatal_arrivals: Vec<(u64, Duration)>,
    sound: usize,
    /// Sound requests that a server could have run.
    held: usize,
}

impl Outcome {
    /// Returns how many requests with `part` reached servers after it had to be known.
    fn late_arrivals(&self, part: u64) -> usize {
        let mut crashes = self.crashes.iter().filter(|(of, _)| *of == part);
        let Some((_, fifth)) = crashes.nth(KNOWN_AFTER_CRASHES - 1) else { return 0 };
        let is_late = |(of, at): &&(u64, Duration)| *of == part && *at > *fifth + KNOWN_AFTER;
        self.fatal_arrivals.iter().filter(is_late).count()
    }
}

struct Simulation<'a> {
    case: &'a Case,
    judged: Judged,
    started_at: Instant,
    now: Duration,
    gateways: Vec<CrashDetector>,
    /// The incarnation of each server, and when it is back after a crash.
    servers: Vec<(u64, Option<Duration>)>,
    runs: Vec<Run>,
    /// Number of claims of probes in the store.
    claims: u64,
    requests: u64,
    draw: fastrand::Rng,
    outcome: Outcome,
}

impl<'a> Simulation<'a> {
    fn new(case: &'a Case, judged: Judged, seed: u64) -> Self {
        Simulation {
            case,
            judged,
            started_at: Instant::now(),
            now: Duration::ZERO,
            gateways: (0..GATEWAYS).map(|_| CrashDetector::default()).collect(),
            servers: (0..SERVERS).map(|server| (server as u64 + 1, None)).collect(),
            runs: Vec::new(),
            claims: 0,
            requests: 0,
            draw: fastrand::Rng::with_seed(seed),
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        while self.now < DURATION {
            self.now += STEP;
            self.step();
        }
        self.outcome
    }

    fn instant(&self) -> Instant {
        self.started_at + self.now
    }

    fn step(&mut self) {
        for (incarnation, back_at) in &mut self.servers {
            if back_at.is_some_and(|at| at <= self.now) {
                *back_at = None;
                *incarnation += 100;
            }
        }
        self.progress();
        if self.case.power_loss_at == Some(self.now) {
            (0..SERVERS).for_each(|server| self.crash(server));
        }
        if self.case.has_other_crashes && self.now.as_millis().is_multiple_of(1000) {
            let server = self.draw.usize(..SERVERS);
            self.crash(server);
        }
        if self.now.as_millis().is_multiple_of(REPORT_INTERVAL.as_millis()) {
            self.report();
        }
        if self.draw.f64() < SOUND_PER_S * STEP.as_secs_f64() {
            self.request(false);
        }
        let has_fatal = self.case.fatal_parts > 0
            && (self.now >= self.case.fatal_from || self.case.is_known_as_sound);
        if has_fatal && self.draw.f64() < FATAL_PER_S * STEP.as_secs_f64() {
            self.request(true);
        }
    }

    /// Ends streams, records what they show, and crashes servers.
    fn progress(&mut self) {
        let now = self.instant();
        let mut crashing = Vec::new();
        for run in &mut self.runs {
            let age = self.now - run.sent_at;
            let fatal_part = run.fatal_part.filter(|_| run.sent_at >= self.case.fatal_from);
            if let Some(part) = fatal_part.filter(|_| age >= CRASH_AFTER) {
                crashing.push((part, run.server));
            } else if age >= FIRST_EVENT_AFTER + SURVIVAL_TIME && !run.has_survived {
                run.has_survived = true;
                let incarnation = self.servers[run.server].0;
                let parts = run.suspects.parts.clone();
                self.gateways[run.gateway].record_answered_parts(&parts, incarnation, now);
            }
        }
        for (part, server) in crashing {
            if self.servers[server].1.is_none() {
                self.outcome.crashes.push((part, self.now));
                self.crash(server);
            }
        }
        self.runs.retain(|run| self.now - run.sent_at < STREAM_LENGTH);
    }

    fn crash(&mut self, server: usize) {
        let (incarnation, back_at) = self.servers[server];
        if back_at.is_some() {
            return;
        }
        self.servers[server].1 = Some(self.now + RESTART_PAUSE);
        let now = self.instant();
        let (broken, kept) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition::<Vec<Run>, _>(|run| run.server == server);
        self.runs = kept;
        for run in broken {
            let age = self.now - run.sent_at;
            let sent_events_for = age.saturating_sub(FIRST_EVENT_AFTER);
            let sent_at = self.started_at + run.sent_at;
            let broken = BrokenRun { sent_at, duration: age, sent_events_for };
            let detector = &mut self.gateways[run.gateway];
            detector.record_broken_run(&run.suspects, incarnation, broken, now);
        }
    }

    fn report(&mut self) {
        let now = self.instant();
        let is_full = self.now.as_millis().is_multiple_of(1980);
        let updates: Vec<_> =
            self.gateways.iter_mut().map(|gateway| gateway.updates(is_full, now)).collect();
        for (from, updates) in updates.into_iter().enumerate() {
            for (to, gateway) in self.gateways.iter_mut().enumerate() {
                if to != from {
                    updates.iter().for_each(|update| {
                        gateway.apply_peer_outcome(*update, now);
                    });
                }
            }
        }
    }

    fn request(&mut self, is_fatal: bool) {
        self.requests += 1;
        let fatal_part = is_fatal.then(|| self.draw.u64(..self.case.fatal_parts));
        let second = match fatal_part {
            Some(part) => format!("f{part}"),
            None => format!("b{}", self.draw.u32(..6)),
        };
        let parts = self.judged_parts(prompt_part(&second), is_fatal);
        let suspects = CrashSuspects { content: self.requests << 16, parts };
        let gateway = self.draw.usize(..GATEWAYS);
        let is_sound = !is_fatal;
        self.outcome.sound += usize::from(is_sound);
        if !self.admits(gateway, &suspects) {
            let has_server = self.servers.iter().any(|(_, back_at)| back_at.is_none());
            self.outcome.held += usize::from(is_sound && has_server);
            return;
        }
        let up: Vec<usize> =
            (0..SERVERS).filter(|server| self.servers[*server].1.is_none()).collect();
        let Some(server) = self.draw.choice(up) else { return };
        if let Some(part) = fatal_part.filter(|_| self.now >= self.case.fatal_from) {
            self.outcome.fatal_arrivals.push((part, self.now));
        }
        let sent_at = self.now;
        self.runs.push(Run { gateway, server, suspects, sent_at, fatal_part, has_survived: false });
    }

    /// Returns the parts that are judged of a prompt with the part `own`.
    fn judged_parts(&mut self, own: u64, is_fatal: bool) -> PromptParts {
        let shared = (0..self.case.shared_parts).map(|part| prompt_part(&format!("a{part}")));
        let invented = if is_fatal { self.case.invented_parts } else { 0 };
        let request = self.requests;
        let invented = (0..invented).map(|part| prompt_part(&format!("{request}-{part}")));
        let mut parts: PromptParts = shared.chain(invented).collect();
        match self.case.place {
            FatalPlace::First if is_fatal => parts.insert(0, own),
            _ => parts.push(own),
        }
        match self.judged {
            Judged::Content => parts.clear(),
            Judged::FirstParts => parts.truncate(FEW_PARTS),
            Judged::DrawnParts => {
                self.draw.shuffle(&mut parts);
                parts.truncate(FEW_PARTS);
            }
            Judged::AllParts => {}
        }
        parts
    }

    /// Decides as a gateway does, with a store in which each probe is claimed once.
    fn admits(&mut self, gateway: usize, suspects: &CrashSuspects) -> bool {
        let now = self.instant();
        let detector = &mut self.gateways[gateway];
        for fingerprint in suspects.iter() {
            detector.quarantine_if_suspect(fingerprint, now);
        }
        let held: Vec<u64> =
            suspects.iter().filter(|of| detector.status(*of, now).is_some()).collect();
        let [fingerprint] = held[..] else { return held.is_empty() };
        if self.servers.iter().all(|(_, back_at)| back_at.is_some()) {
            return false;
        }
        let QuarantineVerdict::ProbeDue(status) = detector.admit(fingerprint, now) else {
            return false;
        };
        self.claims += 1;
        let stamp = StoreStamp::new(0, self.claims);
        for (index, detector) in self.gateways.iter_mut().enumerate() {
            detector.apply_row(fingerprint, status.probes + 1, stamp, index == gateway, now);
        }
        self.gateways[gateway].begin_probe(fingerprint);
        true
    }
}

/// The case that the others vary.
const ONE_PART: Case = Case {
    name: "one part",
    shared_parts: 1,
    invented_parts: 0,
    place: FatalPlace::Last,
    fatal_parts: 1,
    fatal_from: Duration::from_secs(5),
    is_known_as_sound: false,
    has_other_crashes: false,
    power_loss_at: None,
};

/// Gateways see requests with fatal parts among sound ones that share their first part. Prevents
/// more of them from reaching servers, and more than a few sound ones from being held back: while
/// several parts are fatal, servers crash for other reasons or lose power, before anything was
/// answered, and when a part that was sound begins to be fatal. Also counts what happens where only
/// whole requests are judged.
#[test]
fn fatal_parts_are_held_back_and_sound_ones_are_not() {
    let usual = ONE_PART;
    let cases = [
        Case { name: "three parts", fatal_parts: 3, ..usual },
        Case { name: "a cold start", fatal_from: Duration::ZERO, ..usual },
        Case {
            name: "a cold start, two parts",
            fatal_parts: 2,
            fatal_from: Duration::ZERO,
            ..usual
        },
        Case { name: "other crashes", has_other_crashes: true, ..usual },
        Case { name: "two parts, other crashes", fatal_parts: 2, has_other_crashes: true, ..usual },
        Case {
            name: "a cold start, two parts, other crashes",
            fatal_parts: 2,
            fatal_from: Duration::ZERO,
            has_other_crashes: true,
            ..usual
        },
        Case { name: "sound before", is_known_as_sound: true, ..usual },
        Case { name: "a loss of power", power_loss_at: Some(Duration::from_millis(4990)), ..usual },
        Case {
            name: "a loss of power, nothing fatal",
            fatal_parts: 0,
            power_loss_at: Some(Duration::from_millis(600)),
            ..usual
        },
        usual,
    ];
    let mut violations = Vec::new();
    for case in &cases {
        let mut crashes = [0, 0];
        let mut held = 0;
        for seed in 0..SEEDS {
            let outcome = Simulation::new(case, Judged::AllParts, seed).run();
            let before = Simulation::new(case, Judged::Content, seed).run();
            crashes = [crashes[0] + outcome.crashes.len(), crashes[1] + before.crashes.len()];
            held += outcome.held;
            for part in 0..case.fatal_parts {
                let late = outcome.late_arrivals(part);
                if late > MAX_LATE_ARRIVALS {
                    violations.push(format!("{} (seed {seed}): {late} late arrivals", case.name));
                }
            }
            if outcome.held as f64 > outcome.sound as f64 * MAX_HELD {
                let Outcome { held, sound, .. } = outcome;
                violations.push(format!("{} (seed {seed}): {held} of {sound} held", case.name));
            }
        }
        println!(
            "{}: {} crashes, {} where only requests are judged; {held} sound ones held",
            case.name, crashes[0], crashes[1]
        );
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// The outcomes of all seeds of one case.
#[derive(Debug, Default)]
struct Total {
    crashes: usize,
    late: usize,
    sound: usize,
    held: usize,
    /// Seeds with more late arrivals of a part, or more sound requests held back, than allowed.
    violations: usize,
}

impl Total {
    fn of(case: &Case, judged: Judged) -> Total {
        let seeds = if judged == Judged::AllParts { SEEDS } else { COMPARED_SEEDS };
        let mut total = Total::default();
        for seed in 0..seeds {
            let outcome = Simulation::new(case, judged, seed).run();
            let late = (0..case.fatal_parts).map(|part| outcome.late_arrivals(part));
            let most_late = late.clone().max().unwrap_or(0);
            let is_held = outcome.held as f64 > outcome.sound as f64 * MAX_HELD;
            total.crashes += outcome.crashes.len();
            total.late += late.sum::<usize>();
            total.sound += outcome.sound;
            total.held += outcome.held;
            total.violations += usize::from(most_late > MAX_LATE_ARRIVALS || is_held);
        }
        total
    }
}

/// Prevents a part that crashes servers from being let through because its prompts have many other
/// parts, shared or invented, wherever it stands. Also counts what happens where only some of the
/// parts are judged.
#[test]
fn no_place_of_a_prompt_hides_a_fatal_part() {
    let behind = Case { name: "behind eighteen shared ones", shared_parts: 18, ..ONE_PART };
    let cases = [
        Case { name: "before eighteen shared ones", place: FatalPlace::First, ..behind },
        Case { name: "behind three hundred shared ones", shared_parts: 300, ..behind },
        Case { name: "a cold start", fatal_from: Duration::ZERO, ..behind },
        Case {
            name: "a cold start, before forty shared ones",
            shared_parts: 40,
            place: FatalPlace::First,
            fatal_from: Duration::ZERO,
            ..behind
        },
        Case { name: "sound before", is_known_as_sound: true, ..behind },
        Case { name: "three parts", fatal_parts: 3, ..behind },
        Case { name: "other crashes", has_other_crashes: true, ..behind },
        Case {
            name: "a loss of power",
            power_loss_at: Some(Duration::from_millis(4990)),
            ..behind
        },
        Case { name: "among two thousand invented ones", invented_parts: 2000, ..behind },
        Case {
            name: "before two thousand invented ones",
            invented_parts: 2000,
            place: FatalPlace::First,
            ..behind
        },
        behind,
    ];
    let mut violations = Vec::new();
    for case in &cases {
        for judged in [Judged::FirstParts, Judged::DrawnParts, Judged::AllParts] {
            let total = Total::of(case, judged);
            let Total { crashes, late, sound, held, .. } = total;
            println!(
                "{}, {judged:?}: {crashes} crashes, {late} late; {held} of {sound} sound ones held",
                case.name
            );
            if judged == Judged::AllParts && total.violations > 0 {
                violations.push(format!("{}: {total:?}", case.name));
            }
        }
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Prevents the digest of a part from being taken for that of a request.
#[test]
fn parts_are_told_from_requests() {
    assert!(is_prompt_part(prompt_part("5c1e07a2")));
    assert_ne!(prompt_part("5c1e07a2"), prompt_part("5c1e07a3"));
    assert!(!is_prompt_part(7 << 16));
}
