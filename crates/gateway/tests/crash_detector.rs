//! Tests which fingerprints are quarantined, for how long, and what is reported of them.

use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::AttemptOutcome;
use umberglade_gateway::cluster::CrashDetector;
use umberglade_gateway::cluster::OutcomeUpdate;
use umberglade_gateway::cluster::QuarantineVerdict;
use umberglade_gateway::cluster::RowChange;
use umberglade_gateway::model::StoreStamp;

/// Returns the stamp with `version` of a store that has never come back from a copy.
fn stamp(version: u64) -> StoreStamp {
    StoreStamp::new(0, version)
}

const REQUEST: u64 = 7;
const OTHER: u64 = 8;
/// A server that keeps running.
const HEALTHY_SERVER: u64 = 99;
/// The delay of the first probe.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(1500);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// An observation about [`REQUEST`].
#[derive(Clone, Copy)]
enum Step {
    /// An attempt broke at a server incarnation.
    Crash(u64),
    /// That incarnation has completed another request.
    OtherCompletion(u64),
    /// A peer reports a crash with this id, so many milliseconds later.
    PeerCrash(u64, u32),
    Completion,
    PeerCompletion(u32),
    /// The store has a row of this version.
    Row(u64),
    /// The row was removed as of this version.
    MissingRow(u64),
}

impl Step {
    fn take(self, detector: &mut CrashDetector, now: Instant) {
        let apply_outcome = |detector: &mut CrashDetector, outcome, age_ms| {
            detector.apply_peer_outcome(OutcomeUpdate { content: REQUEST, outcome, age_ms }, now);
        };
        match self {
            Step::Crash(id) => drop(detector.record_crash(REQUEST, id, Duration::ZERO, now)),
            Step::PeerCrash(id, age) => apply_outcome(detector, AttemptOutcome::Crashed(id), age),
            Step::OtherCompletion(server) => drop(detector.record_completion(OTHER, server, now)),
            Step::Completion => drop(detector.record_completion(REQUEST, HEALTHY_SERVER, now)),
            Step::PeerCompletion(age) => apply_outcome(detector, AttemptOutcome::Whole, age),
            Step::Row(version) => drop(detector.apply_row(REQUEST, 0, stamp(version), false, now)),
            Step::MissingRow(version) => {
                detector.apply_missing_row(REQUEST, stamp(version), now);
            }
        }
    }
}

struct QuarantineCase {
    name: &'static str,
    /// Milliseconds after the start of the case, and the observation.
    steps: &'static [(u64, Step)],
    is_quarantined: bool,
}

/// A request under which three servers crash is quarantined, whichever gateways saw the
/// crashes. A popular request is in flight whenever a server crashes for other reasons;
/// completions before and between the crashes clear it.
#[test]
fn three_unexplained_crashes_quarantine_a_request() {
    use Step::*;
    let cases = [
        QuarantineCase {
            name: "three servers crash",
            steps: &[(0, Crash(1)), (900, Crash(2)), (1000, Crash(3))],
            is_quarantined: true,
        },
        QuarantineCase {
            name: "two servers crash",
            steps: &[(0, Crash(1)), (900, Crash(2))],
            is_quarantined: false,
        },
        QuarantineCase {
            name: "many sends break at one crash",
            steps: &[(0, Crash(1)), (5, Crash(1)), (9, Crash(1)), (900, PeerCrash(1, 895))],
            is_quarantined: false,
        },
        QuarantineCase {
            name: "one server crashes repeatedly, its new starts not registered yet",
            steps: &[
                (0, Crash(1)),
                (1400, OtherCompletion(1)),
                (1500, Crash(1)),
                (2900, OtherCompletion(1)),
                (3000, Crash(1)),
            ],
            is_quarantined: true,
        },
        QuarantineCase {
            name: "a service is unreachable for a while",
            steps: &[
                (0, Crash(1)),
                (1500, Crash(1)),
                (1501, Crash(2)),
                (3000, Crash(1)),
                (3001, Crash(2)),
                (5000, Crash(1)),
                (5001, Crash(2)),
            ],
            is_quarantined: false,
        },
        QuarantineCase {
            name: "one server crashes again, long after its last use by this gateway",
            steps: &[(0, Crash(1)), (4000, Crash(1)), (8000, Crash(1))],
            is_quarantined: true,
        },
        QuarantineCase {
            name: "three gateways see one crash each",
            steps: &[(0, PeerCrash(1, 40)), (500, Crash(2)), (900, PeerCrash(3, 20))],
            is_quarantined: true,
        },
        QuarantineCase {
            name: "the same crash is received again",
            steps: &[(0, Crash(2)), (0, PeerCrash(1, 40)), (40, PeerCrash(1, 80))],
            is_quarantined: false,
        },
        QuarantineCase {
            name: "a completion in between",
            steps: &[(0, Crash(1)), (500, Crash(2)), (600, Completion), (900, Crash(3))],
            is_quarantined: false,
        },
        QuarantineCase {
            name: "a completion in between, at a peer",
            steps: &[(0, Crash(1)), (500, Crash(2)), (700, PeerCompletion(100)), (900, Crash(3))],
            is_quarantined: false,
        },
        QuarantineCase {
            name: "a crash before the completion is reported late",
            steps: &[(0, Crash(1)), (1, Crash(2)), (500, Completion), (900, PeerCrash(3, 600))],
            is_quarantined: false,
        },
        QuarantineCase {
            name: "popular, and all servers lose power",
            steps: &[
                (0, Completion),
                (500, Crash(1)),
                (502, Crash(2)),
                (503, Crash(3)),
                (505, Crash(4)),
            ],
            is_quarantined: false,
        },
        QuarantineCase {
            name: "popular at a peer, and all servers lose power",
            steps: &[
                (0, Crash(1)),
                (1, PeerCompletion(3)),
                (2, Crash(2)),
                (3, Crash(3)),
                (4, Crash(4)),
            ],
            is_quarantined: false,
        },
        QuarantineCase {
            name: "popular until a new server version crashes under it",
            steps: &[(0, Completion), (500, Crash(1)), (2500, Crash(2)), (4500, Crash(3))],
            is_quarantined: true,
        },
        QuarantineCase {
            name: "popular long ago",
            steps: &[
                (0, Completion),
                (130_000, Crash(1)),
                (130_001, Crash(2)),
                (130_002, Crash(3)),
            ],
            is_quarantined: true,
        },
        QuarantineCase { name: "the store has a row", steps: &[(0, Row(5))], is_quarantined: true },
        QuarantineCase {
            name: "the row is removed from the store",
            steps: &[(0, Row(5)), (900, MissingRow(6))],
            is_quarantined: false,
        },
        QuarantineCase {
            name: "an older listing lacks the row",
            steps: &[(0, Row(5)), (900, MissingRow(4))],
            is_quarantined: true,
        },
        QuarantineCase {
            name: "a request in flight completes",
            steps: &[(0, Crash(1)), (1, Crash(2)), (2, Crash(3)), (400, Row(5)), (900, Completion)],
            is_quarantined: false,
        },
        QuarantineCase {
            name: "the row arrives after the completion that cleared it",
            steps: &[(0, Crash(1)), (1, Crash(2)), (2, Crash(3)), (390, Completion), (400, Row(5))],
            is_quarantined: false,
        },
        QuarantineCase {
            name: "popular until a new server version crashes under it, known from the store",
            steps: &[(0, Completion), (5000, Row(5))],
            is_quarantined: true,
        },
        QuarantineCase {
            name: "quarantined locally before a peer's completion is received",
            steps: &[(0, Crash(1)), (1, Crash(2)), (2, Crash(3)), (60, PeerCompletion(20))],
            is_quarantined: false,
        },
    ];
    let started_at = Instant::now();
    for case in cases {
        let mut detector = CrashDetector::default();
        for (at, step) in case.steps {
            step.take(&mut detector, started_at + ms(*at));
        }
        let last = case.steps.last().map_or(0, |(at, _)| *at);
        let is_quarantined = detector.status(REQUEST, started_at + ms(last)).is_some();
        assert_eq!(is_quarantined, case.is_quarantined, "{}", case.name);
    }
}

/// Returns a detector that quarantines [`REQUEST`] from `now` on.
fn quarantining(now: Instant) -> CrashDetector {
    let mut detector = CrashDetector::default();
    for server in 1..=3 {
        detector.record_crash(REQUEST, server, Duration::ZERO, now);
    }
    detector
}

/// Prevents a harmless request that is quarantined by mistake from being rejected forever.
/// After the probe delay a single request is admitted, and its completion ends the
/// quarantine and removes the store's row.
#[test]
fn completed_probe_ends_quarantine() {
    let started_at = Instant::now();
    let mut detector = quarantining(started_at);
    assert_eq!(detector.take_row_changes(), [RowChange::Write(REQUEST)]);
    detector.apply_row(REQUEST, 0, stamp(11), false, started_at);
    let before = started_at + FIRST_PROBE_DELAY - ms(1);
    assert!(matches!(detector.admit(REQUEST, before), QuarantineVerdict::Quarantined(_)));
    let due = started_at + FIRST_PROBE_DELAY;
    assert!(
        matches!(detector.admit(REQUEST, due), QuarantineVerdict::ProbeDue(of) if of.stamp == stamp(11))
    );
    assert!(
        matches!(detector.admit(REQUEST, due), QuarantineVerdict::Quarantined(_)),
        "one at a time"
    );
    detector.apply_row(REQUEST, 1, stamp(12), true, due);
    detector.record_completion(REQUEST, HEALTHY_SERVER, due + ms(50));
    assert_eq!(detector.admit(REQUEST, due + ms(50)), QuarantineVerdict::Admitted);
    assert_eq!(detector.take_row_changes(), [RowChange::Remove(REQUEST, stamp(12))]);
}

/// A claim of the probe fails when the store is unavailable or another gateway was first; a
/// later request may then claim the probe.
#[test]
fn failed_claim_is_retried() {
    let started_at = Instant::now();
    let mut detector = quarantining(started_at);
    let due = started_at + FIRST_PROBE_DELAY;
    assert!(matches!(detector.admit(REQUEST, due), QuarantineVerdict::ProbeDue(_)));
    assert!(matches!(detector.admit(REQUEST, due + ms(1999)), QuarantineVerdict::Quarantined(_)));
    assert!(matches!(detector.admit(REQUEST, due + ms(2000)), QuarantineVerdict::ProbeDue(_)));
}

/// While the store is unavailable, the first of the gateways sends the first probe without
/// a claim. The next probe is due after the longer delay.
#[test]
fn unclaimed_probe_is_counted() {
    let started_at = Instant::now();
    let mut detector = quarantining(started_at);
    let due = started_at + FIRST_PROBE_DELAY;
    assert!(matches!(detector.admit(REQUEST, due), QuarantineVerdict::ProbeDue(_)));
    detector.begin_unclaimed_probe(REQUEST, due);
    let status = detector.status(REQUEST, due).expect("quarantined");
    assert_eq!((status.probes, status.until_probe), (1, Duration::from_secs(6)));
}

/// A gateway claims the probe, and the response is lost: the claiming request is rejected.
/// The row shows later whose claim succeeded; without that, no gateway would send the probe
/// until the next, longer delay is over.
#[test]
fn claim_with_lost_response_is_used_later() {
    let started_at = Instant::now();
    let mut detector = quarantining(started_at);
    detector.apply_row(REQUEST, 0, stamp(11), false, started_at);
    let due = started_at + FIRST_PROBE_DELAY;
    assert!(matches!(detector.admit(REQUEST, due), QuarantineVerdict::ProbeDue(_)));
    detector.apply_row(REQUEST, 1, stamp(12), true, due + ms(20));
    assert!(matches!(detector.admit(REQUEST, due + ms(30)), QuarantineVerdict::Quarantined(_)));
    let settled = due + ms(2000);
    assert!(matches!(detector.admit(REQUEST, settled), QuarantineVerdict::Probe(_)));
    assert!(
        matches!(detector.admit(REQUEST, settled), QuarantineVerdict::Quarantined(_)),
        "one at a time"
    );
}

/// A probe finds no server, or a full one. It is retried a second later, a few times; a
/// probe that crashes a server is not.
#[test]
fn inconclusive_probe_is_retried() {
    let started_at = Instant::now();
    for crashes_server in [false, true] {
        let mut detector = quarantining(started_at);
        detector.apply_row(REQUEST, 1, stamp(12), true, started_at);
        let mut probes = 0;
        for tick in 0..50 {
            let now = started_at + ms(tick * 100);
            if matches!(detector.admit(REQUEST, now), QuarantineVerdict::Probe(_)) {
                probes += 1;
                if crashes_server {
                    detector.record_crash(REQUEST, 50, Duration::ZERO, now);
                }
                detector.end_probe(REQUEST, now);
            }
        }
        assert_eq!(
            probes,
            if crashes_server { 1 } else { 4 },
            "crashes a server: {crashes_server}"
        );
    }
}

/// A poison request arrives every second without end. In its first hour, no more than three
/// further servers may crash under it, counted from three seconds after the third crash.
#[test]
fn probe_delays_increase() {
    let started_at = Instant::now();
    let mut detector = quarantining(started_at);
    let mut probes = 0;
    for second in 0..3600 {
        let now = started_at + Duration::from_secs(second);
        detector.tick(false, now);
        if let QuarantineVerdict::ProbeDue(status) = detector.admit(REQUEST, now) {
            probes += u32::from(second > 3);
            detector.apply_row(REQUEST, status.probes + 1, stamp(100 + second), true, now);
            detector.begin_probe(REQUEST);
            detector.record_crash(REQUEST, 100 + second, Duration::ZERO, now + ms(50));
        }
    }
    assert!((1..=3).contains(&probes), "{probes} probes");
}

/// A quarantined fingerprint without requests is forgotten, and one gateway removes its
/// row.
#[test]
fn idle_quarantine_is_forgotten() {
    let started_at = Instant::now();
    for removes_rows in [false, true] {
        let mut detector = quarantining(started_at);
        detector.take_row_changes();
        detector.apply_row(REQUEST, 0, stamp(11), false, started_at);
        assert!(detector.tick(removes_rows, started_at + Duration::from_secs(300)).is_empty());
        let later = started_at + Duration::from_secs(610);
        assert_eq!(detector.tick(removes_rows, later), [REQUEST]);
        let removals = usize::from(removes_rows);
        assert_eq!(detector.take_row_changes().len(), removals, "removes rows: {removes_rows}");
        assert_eq!(detector.admit(REQUEST, later), QuarantineVerdict::Admitted);
        assert!(detector.is_empty());
    }
}

/// Three poison requests arrive at once, and a harmless stream is in flight at a server
/// that each of them crashes; it resumes elsewhere each time. Crashes that a quarantined
/// request explains do not count against others.
#[test]
fn crashes_of_poison_requests_do_not_count_for_others() {
    const HARMLESS: u64 = 1000;
    let started_at = Instant::now();
    let mut detector = CrashDetector::default();
    for poison in 1..=3u64 {
        for count in 0..3u64 {
            let now = started_at + ms(poison * 3000 + count * 100);
            let server = poison * 10 + count;
            detector.record_crash(poison, server, Duration::ZERO, now);
            // The harmless stream's break is recorded both before and after the poison request's
            // third.
            if count > 0 {
                detector.record_crash(HARMLESS, server, Duration::ZERO, now);
            }
        }
        let now = started_at + ms(poison * 3000 + 300);
        assert!(detector.status(poison, now).is_some(), "{poison} is not quarantined");
    }
    assert!(detector.status(HARMLESS, started_at + ms(13_000)).is_none());
    // A server crash under the harmless request alone still counts.
    for server in 90..93 {
        detector.record_crash(HARMLESS, server, Duration::ZERO, started_at + ms(13_000));
    }
    assert!(detector.status(HARMLESS, started_at + ms(13_000)).is_some());
}

/// A gateway that has quarantined a poison request reports nothing of the harmless ones
/// that shared its crashes: a gateway that starts then knows the poison request only from
/// the store, and could not distinguish them.
#[test]
fn explained_crashes_are_not_reported() {
    const HARMLESS: u64 = 1000;
    let started_at = Instant::now();
    let mut detector = CrashDetector::default();
    detector.record_crash(REQUEST, 1, Duration::ZERO, started_at);
    detector.record_crash(REQUEST, 2, Duration::ZERO, started_at);
    detector.record_crash(HARMLESS, 2, Duration::ZERO, started_at);
    detector.record_crash(REQUEST, 3, Duration::ZERO, started_at);
    detector.record_crash(HARMLESS, 3, Duration::ZERO, started_at);
    let reported = detector.updates(true, started_at + ms(100));
    assert!(reported.iter().all(|update| update.content == REQUEST), "{reported:?}");
}

/// A popular request completed a moment ago. Then poison requests crash every server for
/// some seconds, and the popular one is in flight each time without completing between two
/// crashes. Once the poison requests are known, the crashes that they explain do not count.
#[test]
fn popular_request_is_not_blamed_for_explained_crashes() {
    const POPULAR: u64 = 1000;
    let started_at = Instant::now();
    let mut detector = CrashDetector::default();
    detector.record_completion(POPULAR, HEALTHY_SERVER, started_at);
    for (server, at) in [(1, 1000), (2, 1100), (3, 2500), (4, 4000), (5, 4100)] {
        detector.record_crash(POPULAR, server, Duration::ZERO, started_at + ms(at));
        detector.record_crash(REQUEST, server, Duration::ZERO, started_at + ms(at));
    }
    assert!(detector.status(REQUEST, started_at + ms(4100)).is_some());
    assert!(detector.status(POPULAR, started_at + ms(4100)).is_none());
}

/// A harmless request is in flight at each server that a poison one crashes, and its breaks
/// are recorded first. The poison request must not be excluded because of that.
#[test]
fn poison_request_recorded_second_is_quarantined() {
    const HARMLESS: u64 = 1000;
    let started_at = Instant::now();
    let mut detector = CrashDetector::default();
    for server in 1..=3 {
        detector.record_crash(HARMLESS, server, Duration::ZERO, started_at);
        detector.record_crash(REQUEST, server, Duration::ZERO, started_at);
    }
    assert!(detector.status(REQUEST, started_at).is_some());
}

/// A gateway starts while servers crash for other reasons. One peer reports three crashes
/// under a popular request, another a moment later the completions in between. The gateway
/// decides only after it has received both.
#[test]
fn no_quarantine_during_warm_up() {
    let started_at = Instant::now();
    let crash =
        |id| OutcomeUpdate { content: REQUEST, outcome: AttemptOutcome::Crashed(id), age_ms: 900 };
    let completion =
        OutcomeUpdate { content: REQUEST, outcome: AttemptOutcome::Whole, age_ms: 100 };
    for is_harmless in [true, false] {
        let mut detector = CrashDetector::new(started_at);
        for id in 1..=3 {
            detector.apply_peer_outcome(crash(id), started_at + ms(50));
        }
        assert!(detector.status(REQUEST, started_at + ms(60)).is_none(), "harmless: {is_harmless}");
        if is_harmless {
            detector.apply_peer_outcome(completion, started_at + ms(300));
        }
        detector.quarantine_if_suspect(REQUEST, started_at + ms(3000));
        let is_quarantined = detector.status(REQUEST, started_at + ms(3000)).is_some();
        assert_eq!(is_quarantined, !is_harmless, "harmless: {is_harmless}");
    }
}

/// Hundreds of servers crash at one moment, with thousands of requests in flight, while a
/// poison request is active. Records and reports stay bounded, and the most informative
/// records are kept.
#[test]
fn memory_and_reports_are_bounded() {
    const MAX_RECORDS: usize = 1024;
    const MAX_OUTCOMES: usize = 32;
    let started_at = Instant::now();
    let mut detector = CrashDetector::default();
    detector.record_crash(REQUEST, 1, Duration::ZERO, started_at);
    detector.record_crash(REQUEST, 2, Duration::ZERO, started_at + ms(1));
    for fingerprint in 100..5100 {
        detector.record_crash(fingerprint, fingerprint % 300, Duration::ZERO, started_at + ms(2));
    }
    for fingerprint in 10_000..60_000 {
        detector.record_completion(fingerprint, HEALTHY_SERVER, started_at + ms(3));
    }
    assert!(detector.len() <= MAX_RECORDS, "{} records", detector.len());
    assert!(detector.updates(true, started_at + ms(4)).len() <= MAX_OUTCOMES);
    detector.record_crash(REQUEST, 3, Duration::ZERO, started_at + ms(5));
    assert!(detector.status(REQUEST, started_at + ms(5)).is_some());
    detector.tick(true, started_at + Duration::from_secs(1300));
    assert!(detector.is_empty(), "{} records", detector.len());
}

/// When an outcome is part of a report.
struct ReportCase {
    name: &'static str,
    after: Duration,
    reports_all: bool,
    is_reported: bool,
}

#[test]
fn outcomes_are_reported_repeatedly() {
    let cases = [
        ReportCase { name: "immediately", after: ms(0), reports_all: false, is_reported: true },
        ReportCase {
            name: "within the fresh window",
            after: ms(399),
            reports_all: false,
            is_reported: true,
        },
        ReportCase {
            name: "after the fresh window",
            after: ms(400),
            reports_all: false,
            is_reported: false,
        },
        ReportCase {
            name: "in a full report",
            after: ms(9000),
            reports_all: true,
            is_reported: true,
        },
        ReportCase {
            name: "after the retention",
            after: ms(10_000),
            reports_all: true,
            is_reported: false,
        },
    ];
    let started_at = Instant::now();
    for case in cases {
        let mut detector = CrashDetector::default();
        detector.record_crash(REQUEST, 1, Duration::ZERO, started_at);
        let updates = detector.updates(case.reports_all, started_at + case.after);
        assert_eq!(!updates.is_empty(), case.is_reported, "{}", case.name);
        assert!(updates.iter().all(|of| u128::from(of.age_ms) == case.after.as_millis()));
    }
}

/// A gateway that has seen a request complete reports the completion as soon as servers crash
/// under it elsewhere. Outcomes of fingerprints that no gateway suspects are not reported.
#[test]
fn completions_are_reported_for_suspects() {
    let started_at = Instant::now();
    let mut detector = CrashDetector::default();
    detector.record_completion(REQUEST, HEALTHY_SERVER, started_at);
    assert!(detector.updates(true, started_at).is_empty());
    let outcome = AttemptOutcome::Crashed(1);
    detector.apply_peer_outcome(
        OutcomeUpdate { content: REQUEST, outcome, age_ms: 30 },
        started_at + ms(500),
    );
    let reported = detector.updates(false, started_at + ms(500));
    let expected = OutcomeUpdate { content: REQUEST, outcome: AttemptOutcome::Whole, age_ms: 31 };
    assert_eq!(reported, [expected]);
    // Once cleared, the completion is reported again with the next crash, since other gateways
    // may have started meanwhile.
    detector.record_completion(REQUEST, HEALTHY_SERVER, started_at + ms(600));
    detector.record_crash(REQUEST, 2, Duration::ZERO, started_at + ms(20_000));
    let reported = detector.updates(false, started_at + ms(20_000));
    let completions =
        reported.iter().filter(|update| update.outcome == AttemptOutcome::Whole).count();
    assert_eq!(completions, 1, "{reported:?}");
}
