//! Tests which of several fingerprints is quarantined when servers crashed under all of
//! them before any request completed.

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

const POISON: u64 = 7;
const POPULAR: u64 = 8;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Three servers crash under both fingerprints, after each run has sent events for the
/// given number of milliseconds.
fn crash_three(detector: &mut CrashDetector, popular_ms: [u64; 3], poison_ms: u64, now: Instant) {
    for (server, popular_ms) in (1..).zip(popular_ms) {
        detector.record_crash(POPULAR, server, ms(popular_ms), now);
        detector.record_crash(POISON, server, ms(poison_ms), now);
    }
}

struct RunCase {
    name: &'static str,
    popular_ms: [u64; 3],
    poison_ms: u64,
    is_popular_quarantined: bool,
}

/// Prevents popular streams from being rejected together with poison ones that crash three
/// engines before any stream has completed: a run of the popular streams lasted much
/// longer.
#[test]
fn long_running_request_is_released() {
    let cases = [
        RunCase {
            name: "much longer",
            popular_ms: [0, 141, 30],
            poison_ms: 57,
            is_popular_quarantined: false,
        },
        RunCase {
            name: "slightly longer",
            popular_ms: [0, 90, 30],
            poison_ms: 57,
            is_popular_quarantined: true,
        },
        RunCase {
            name: "no events from either",
            popular_ms: [0; 3],
            poison_ms: 0,
            is_popular_quarantined: true,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut detector = CrashDetector::default();
        crash_three(&mut detector, case.popular_ms, case.poison_ms, now);
        assert_eq!(
            detector.status(POPULAR, now).is_some(),
            case.is_popular_quarantined,
            "{}",
            case.name
        );
        assert!(detector.status(POISON, now).is_some(), "{}", case.name);
    }
}

/// Prevents only the gateway that saw the long run from releasing the popular fingerprint.
#[test]
fn run_durations_are_applied_from_peers() {
    let now = Instant::now();
    let mut detector = CrashDetector::default();
    crash_three(&mut detector, [0; 3], 57, now);
    assert!(detector.status(POPULAR, now).is_some());
    let outcome = AttemptOutcome::Lived(200);
    detector.apply_peer_outcome(OutcomeUpdate { content: POPULAR, outcome, age_ms: 2 }, now);
    assert!(detector.status(POPULAR, now).is_none());
    assert!(detector.status(POISON, now).is_some());
}

/// Prevents a released fingerprint from being quarantined again when peers repeat the
/// reports of the same crashes.
#[test]
fn repeated_crash_reports_change_nothing() {
    let now = Instant::now();
    let mut detector = CrashDetector::default();
    crash_three(&mut detector, [0, 141, 0], 57, now);
    for id in 1..=3 {
        let outcome = AttemptOutcome::Crashed(id);
        detector.apply_peer_outcome(
            OutcomeUpdate { content: POPULAR, outcome, age_ms: 5 },
            now + ms(5),
        );
    }
    assert!(detector.status(POPULAR, now + ms(5)).is_none());
}

/// Prevents harmless requests from being rejected for seconds until a first probe: of two
/// fingerprints, the more likely harmless one is probed at once, and requests of both wait
/// for the result.
#[test]
fn request_with_longest_run_is_probed_first() {
    let now = Instant::now();
    let mut detector = CrashDetector::default();
    crash_three(&mut detector, [0, 90, 0], 57, now);
    let popular = detector.status(POPULAR, now).expect("quarantined");
    let poison = detector.status(POISON, now).expect("quarantined");
    assert!(popular.is_provisional && poison.is_provisional);
    assert!(popular.until_probe.is_zero() && !poison.until_probe.is_zero());
    assert!(matches!(detector.admit(POPULAR, now), QuarantineVerdict::ProbeDue(_)));
    detector.record_completion(POPULAR, 99, now + ms(400));
    assert_eq!(detector.admit(POPULAR, now + ms(400)), QuarantineVerdict::Admitted);
    // One probe shows the outcome for the other too, before it counts as poison.
    let poison = detector.status(POISON, now + ms(400)).expect("quarantined");
    assert!(poison.is_provisional && poison.until_probe.is_zero());
    detector.begin_unclaimed_probe(POISON, now + ms(400));
    let poison = detector.status(POISON, now + ms(1100)).expect("quarantined");
    assert!(!poison.is_provisional && !poison.until_probe.is_zero());
}

/// Prevents the rejection of a popular request whose probe is in flight, once the other
/// popular request that was quarantined with it has completed.
#[test]
fn last_of_several_awaits_its_probe() {
    let now = Instant::now();
    let mut detector = CrashDetector::default();
    crash_three(&mut detector, [0; 3], 0, now);
    detector.begin_unclaimed_probe(POPULAR, now + ms(50));
    detector.record_completion(POISON, 99, now + ms(200));
    let popular = detector.status(POPULAR, now + ms(210)).expect("quarantined");
    assert!(popular.is_provisional, "its callers must wait");
    detector.record_completion(POPULAR, 99, now + ms(260));
    assert_eq!(detector.admit(POPULAR, now + ms(260)), QuarantineVerdict::Admitted);
}

/// Prevents a probe from being consumed at a server that is known to have crashed: it gives
/// no information, and another may be sent.
#[test]
fn probe_at_known_crash_is_not_consumed() {
    let now = Instant::now();
    let mut detector = CrashDetector::default();
    crash_three(&mut detector, [0; 3], 0, now);
    detector.begin_unclaimed_probe(POPULAR, now + ms(100));
    detector.record_crash(POPULAR, 2, Duration::ZERO, now + ms(101));
    detector.end_probe(POPULAR, now + ms(101));
    let verdict = detector.admit(POPULAR, now + ms(1200));
    assert!(matches!(verdict, QuarantineVerdict::Probe(_)), "{verdict:?}");
}

struct RowCase {
    name: &'static str,
    /// The version up to which peers report rows as void, if they do.
    void_up_to: Option<u64>,
    row: u64,
    is_quarantined: bool,
}

/// Prevents a gateway that starts while the store still has the row of a cleared
/// fingerprint from applying that row: peers report which rows are void.
#[test]
fn rows_of_cleared_requests_are_void() {
    let cases = [
        RowCase { name: "nothing reported", void_up_to: None, row: 5, is_quarantined: true },
        RowCase { name: "void", void_up_to: Some(5), row: 5, is_quarantined: false },
        RowCase { name: "newer", void_up_to: Some(5), row: 6, is_quarantined: true },
    ];
    for case in &cases {
        for is_reported_first in [true, false] {
            let now = Instant::now();
            let mut detector = CrashDetector::new(now);
            let report = |detector: &mut CrashDetector| {
                if let Some(version) = case.void_up_to {
                    let outcome = AttemptOutcome::Cleared(stamp(version));
                    detector.apply_peer_outcome(
                        OutcomeUpdate { content: POPULAR, outcome, age_ms: 5 },
                        now,
                    );
                }
            };
            if is_reported_first {
                report(&mut detector);
            }
            detector.apply_row(POPULAR, 0, stamp(case.row), false, now);
            if !is_reported_first {
                // Until the report arrives, requests wait instead of being rejected.
                assert!(detector.status(POPULAR, now).is_some_and(|status| status.is_provisional));
                report(&mut detector);
            }
            let is_quarantined = detector.status(POPULAR, now).is_some();
            assert_eq!(
                is_quarantined, case.is_quarantined,
                "{}, reported first: {is_reported_first}",
                case.name
            );
        }
    }
}

/// Prevents stale rows: the gateway that clears a fingerprint reports that to its peers and
/// has its row removed.
#[test]
fn clearing_is_reported_and_removes_the_row() {
    let now = Instant::now();
    let mut detector = CrashDetector::default();
    crash_three(&mut detector, [0; 3], 0, now);
    detector.apply_row(POPULAR, 0, stamp(12), false, now);
    detector.take_row_changes();
    detector.record_completion(POPULAR, 99, now);
    assert_eq!(detector.take_row_changes(), [RowChange::Remove(POPULAR, stamp(12))]);
    let is_reported = |update: &OutcomeUpdate| update.outcome == AttemptOutcome::Cleared(stamp(12));
    assert!(detector.updates(false, now).iter().any(is_reported));
}

struct ClaimCase {
    name: &'static str,
    is_local_claim: bool,
}

/// Prevents a claim that is settled from delaying the next probe: a gateway that claimed one, or
/// lost it to another, claims the next as soon as that is due.
#[test]
fn settled_claim_does_not_delay_the_next_probe() {
    let cases = [
        ClaimCase { name: "own claim", is_local_claim: true },
        ClaimCase { name: "another gateway's claim", is_local_claim: false },
    ];
    for ClaimCase { name, is_local_claim } in cases {
        let now = Instant::now();
        let mut detector = CrashDetector::default();
        crash_three(&mut detector, [0, 90, 0], 57, now);
        assert!(matches!(detector.admit(POPULAR, now), QuarantineVerdict::ProbeDue(_)), "{name}");
        detector.apply_row(POPULAR, 1, stamp(12), is_local_claim, now + ms(5));
        if is_local_claim {
            detector.begin_probe(POPULAR);
            detector.record_crash(POPULAR, 50, Duration::ZERO, now + ms(50));
        }
        let verdict = detector.admit(POPULAR, now + ms(605));
        assert!(matches!(verdict, QuarantineVerdict::ProbeDue(_)), "{name}: {verdict:?}");
    }
}

/// Prevents a poison request from going unnoticed because its crashes are blamed on the probes of a
/// harmless one that is quarantined with another poison request.
#[test]
fn undecided_probe_does_not_explain_crashes() {
    const SECOND_POISON: u64 = 9;
    let now = Instant::now();
    let mut detector = CrashDetector::default();
    crash_three(&mut detector, [0, 90, 0], 57, now);
    detector.begin_unclaimed_probe(POPULAR, now + ms(10));
    detector.record_crash(POPULAR, 50, ms(30), now + ms(60));
    for (server, at) in [(50, 60), (51, 200), (52, 400)] {
        detector.record_crash(SECOND_POISON, server, Duration::ZERO, now + ms(at));
    }
    assert!(detector.status(SECOND_POISON, now + ms(400)).is_some());
}

/// Prevents probes at servers that a peer has seen crash: until one responds to this gateway, or
/// some seconds are over, it counts as down.
#[test]
fn server_that_crashed_for_a_peer_is_down() {
    let now = Instant::now();
    let mut detector = CrashDetector::default();
    assert!(!detector.is_down(50, now));
    let update = OutcomeUpdate { content: POISON, outcome: AttemptOutcome::Crashed(50), age_ms: 5 };
    detector.apply_peer_outcome(update, now);
    assert!(detector.is_down(50, now + ms(500)));
    assert!(!detector.is_down(50, now + ms(5000)));
    detector.record_completion(POPULAR, 50, now + ms(500));
    assert!(!detector.is_down(50, now + ms(500)));
}

/// Prevents the rejection of a popular request that is quarantined before the poison request at the
/// same crashes: its callers wait for a probe, which is due at once.
#[test]
fn request_quarantined_before_another_suspect_is_probed_at_once() {
    let now = Instant::now();
    let mut detector = CrashDetector::default();
    for server in 1..=3 {
        detector.record_crash(POPULAR, server, ms(40), now);
        if server < 3 {
            detector.record_crash(POISON, server, ms(50), now);
        }
    }
    let popular = detector.status(POPULAR, now).expect("quarantined");
    assert!(popular.is_provisional && popular.until_probe.is_zero(), "{popular:?}");
    assert!(detector.status(POISON, now).is_none());
}

struct SuspectCase {
    name: &'static str,
    /// The servers that crash under the poison request, beside servers 1 to 3 under the popular one.
    poison_crashes: &'static [u64],
    is_provisional: bool,
    is_probed_at_once: bool,
}

/// Prevents the rejection of a popular request whose third crash is known before the second one of
/// the poison request at the same servers.
#[test]
fn request_that_shares_one_crash_with_a_suspect_is_undecided() {
    let cases = [
        SuspectCase {
            name: "shares no crash",
            poison_crashes: &[50, 51],
            is_provisional: false,
            is_probed_at_once: false,
        },
        SuspectCase {
            name: "a request that happened to run at one of the servers",
            poison_crashes: &[3],
            is_provisional: true,
            is_probed_at_once: false,
        },
        SuspectCase {
            name: "another server has crashed under it too",
            poison_crashes: &[50, 3],
            is_provisional: true,
            is_probed_at_once: true,
        },
        SuspectCase {
            name: "another server crashes under it later",
            poison_crashes: &[3, 50],
            is_provisional: true,
            is_probed_at_once: true,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut detector = CrashDetector::default();
        for server in 1..=3 {
            detector.record_crash(POPULAR, server, ms(40), now);
        }
        for server in case.poison_crashes {
            detector.record_crash(POISON, *server, ms(50), now + ms(5));
        }
        let popular = detector.status(POPULAR, now + ms(10)).expect(case.name);
        assert_eq!(popular.is_provisional, case.is_provisional, "{}: {popular:?}", case.name);
        let is_due = popular.until_probe.is_zero();
        assert_eq!(is_due, case.is_probed_at_once, "{}: {popular:?}", case.name);
        assert!(!popular.until_probe.is_zero() || popular.is_provisional, "{}", case.name);
        // Once a probe has broken, its callers wait no longer.
        detector.begin_unclaimed_probe(POPULAR, now + ms(1500));
        let popular = detector.status(POPULAR, now + ms(2200)).expect(case.name);
        assert!(!popular.is_provisional, "{}: {popular:?}", case.name);
    }
}

/// Prevents a poison request from being probed again and again, each time ending a server, before
/// the popular request that is quarantined with it is probed once.
#[test]
fn every_suspect_is_probed_once_before_one_is_probed_again() {
    let now = Instant::now();
    let mut detector = CrashDetector::default();
    crash_three(&mut detector, [0; 3], 57, now);
    assert!(detector.status(POISON, now).is_some_and(|poison| poison.until_probe.is_zero()));
    detector.begin_unclaimed_probe(POISON, now + ms(10));
    detector.record_crash(POISON, 50, ms(10), now + ms(60));
    let popular = detector.status(POPULAR, now + ms(60)).expect("quarantined");
    assert!(popular.is_provisional && popular.until_probe.is_zero(), "{popular:?}");
    let poison = detector.status(POISON, now + ms(600)).expect("quarantined");
    assert!(!poison.until_probe.is_zero(), "{poison:?}");
}

/// Prevents two fingerprints that are quarantined for the same server crashes from being probed at
/// one server in the same moment, after servers were down for so long that both probes are due: the
/// crash says nothing of either, and the popular one stays quarantined.
#[test]
fn probes_of_shared_crashes_are_never_made_together() {
    let began_at = Instant::now();
    let mut detector = CrashDetector::default();
    crash_three(&mut detector, [0; 3], 0, began_at);
    let now = began_at + ms(5000);
    let is_due = |verdict| matches!(verdict, QuarantineVerdict::ProbeDue(_));
    let first = [POPULAR, POISON].into_iter().find(|one| is_due(detector.admit(*one, now)));
    let first = first.expect("a due probe");
    let second = if first == POPULAR { POISON } else { POPULAR };
    assert!(!is_due(detector.admit(second, now)), "while the first probe is claimed");
    detector.apply_row(first, 1, stamp(2), true, now + ms(10));
    detector.begin_probe(first);
    assert!(!is_due(detector.admit(second, now + ms(11))), "while the first probe runs");
    assert!(is_due(detector.admit(second, now + ms(650))), "once the first probe has shown");
}

struct ProbeCase {
    name: &'static str,
    /// The servers that crash under the poison request before the popular one is probed at server
    /// 50, and those at the same time or later.
    before_probe: &'static [u64],
    from_probe: &'static [u64],
    is_inconclusive: bool,
}

/// Prevents the rejection of a popular request whose only probe ran at a server that a poison
/// request crashed, which is not quarantined yet: the crash says nothing, and another probe follows
/// while callers wait.
#[test]
fn probe_that_crashed_beside_another_suspect_is_made_again() {
    let cases = [
        ProbeCase {
            name: "crashed under the probe alone",
            before_probe: &[2, 3],
            from_probe: &[],
            is_inconclusive: false,
        },
        ProbeCase {
            name: "its crashes were explained by the popular request",
            before_probe: &[3],
            from_probe: &[50],
            is_inconclusive: true,
        },
        ProbeCase {
            name: "other servers crashed under it",
            before_probe: &[60],
            from_probe: &[50],
            is_inconclusive: true,
        },
        ProbeCase {
            name: "a request that happened to run at the server",
            before_probe: &[],
            from_probe: &[50],
            is_inconclusive: false,
        },
        ProbeCase {
            name: "another server crashed later",
            before_probe: &[60],
            from_probe: &[61],
            is_inconclusive: false,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut detector = CrashDetector::default();
        for server in 1..=3 {
            detector.record_crash(POPULAR, server, ms(40), now);
        }
        for server in case.before_probe {
            detector.record_crash(POISON, *server, Duration::ZERO, now + ms(5));
        }
        detector.begin_unclaimed_probe(POPULAR, now + ms(10));
        detector.record_crash(POPULAR, 50, ms(30), now + ms(90));
        for server in case.from_probe {
            detector.record_crash(POISON, *server, Duration::ZERO, now + ms(90));
        }
        let popular = detector.status(POPULAR, now + ms(700)).expect(case.name);
        assert_eq!(popular.is_provisional, case.is_inconclusive, "{}: {popular:?}", case.name);
        let is_due = popular.until_probe.is_zero();
        assert_eq!(is_due, case.is_inconclusive, "{}: {popular:?}", case.name);
    }
}

/// Prevents probes without end where each ends a server: after five, the popular request counts as
/// decided, whatever else ran at their servers.
#[test]
fn inconclusive_probes_are_limited() {
    let mut now = Instant::now();
    let mut detector = CrashDetector::default();
    for server in 1..=3 {
        detector.record_crash(POPULAR, server, ms(40), now);
    }
    detector.record_crash(POISON, 3, Duration::ZERO, now + ms(5));
    let mut probes = 0;
    for server in 50..70 {
        now += ms(1500);
        let popular = detector.status(POPULAR, now).expect("quarantined");
        if !popular.until_probe.is_zero() {
            break;
        }
        probes += 1;
        detector.begin_unclaimed_probe(POPULAR, now);
        detector.record_crash(POPULAR, server, ms(30), now + ms(80));
        detector.record_crash(POISON, server, Duration::ZERO, now + ms(80));
    }
    assert_eq!(probes, 5);
    let popular = detector.status(POPULAR, now).expect("quarantined");
    assert!(!popular.is_provisional, "{popular:?}");
}
