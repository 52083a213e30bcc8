//! Which of several contents is held back when servers crashed under all of them
//! before any was answered whole.

use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::CrashDetector;
use umberglade_gateway::cluster::OutcomeUpdate;
use umberglade_gateway::cluster::QuarantineVerdict;
use umberglade_gateway::cluster::RowChange;
use umberglade_gateway::cluster::SendOutcome;

const FATAL: u64 = 7;
const POPULAR: u64 = 8;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Three servers crash under both contents; each had given events for so many
/// milliseconds.
fn crash_three(watch: &mut CrashDetector, popular_ms: [u64; 3], fatal_ms: u64, now: Instant) {
    for (server, popular_ms) in (1..).zip(popular_ms) {
        watch.note_crash(POPULAR, server, ms(popular_ms), now);
        watch.note_crash(FATAL, server, ms(fatal_ms), now);
    }
}

struct LifeCase {
    name: &'static str,
    popular_ms: [u64; 3],
    fatal_ms: u64,
    is_popular_held: bool,
}

/// Guards against popular streams refused with fatal ones that crash three engines
/// before any stream has ended: a run of them went on far longer.
#[test]
fn what_lived_longer_is_let_off() {
    let cases = [
        LifeCase {
            name: "far longer",
            popular_ms: [0, 141, 30],
            fatal_ms: 57,
            is_popular_held: false,
        },
        LifeCase {
            name: "hardly longer",
            popular_ms: [0, 90, 30],
            fatal_ms: 57,
            is_popular_held: true,
        },
        LifeCase { name: "neither began", popular_ms: [0; 3], fatal_ms: 0, is_popular_held: true },
    ];
    for case in cases {
        let now = Instant::now();
        let mut watch = CrashDetector::default();
        crash_three(&mut watch, case.popular_ms, case.fatal_ms, now);
        assert_eq!(watch.held(POPULAR, now).is_some(), case.is_popular_held, "{}", case.name);
        assert!(watch.held(FATAL, now).is_some(), "{}", case.name);
    }
}

/// Guards against gateways of which only the one that saw the long run lets the
/// popular content off.
#[test]
fn others_are_told_how_long_runs_lived() {
    let now = Instant::now();
    let mut watch = CrashDetector::default();
    crash_three(&mut watch, [0; 3], 57, now);
    assert!(watch.held(POPULAR, now).is_some());
    let outcome = SendOutcome::Lived(200);
    watch.hear(OutcomeUpdate { content: POPULAR, outcome, age_ms: 2 }, now);
    assert!(watch.held(POPULAR, now).is_none());
    assert!(watch.held(FATAL, now).is_some());
}

/// Guards against a content that is let off and held back again as soon as others
/// repeat the same crashes.
#[test]
fn crashes_told_again_change_nothing() {
    let now = Instant::now();
    let mut watch = CrashDetector::default();
    crash_three(&mut watch, [0, 141, 0], 57, now);
    for id in 1..=3 {
        let outcome = SendOutcome::Crashed(id);
        watch.hear(OutcomeUpdate { content: POPULAR, outcome, age_ms: 5 }, now + ms(5));
    }
    assert!(watch.held(POPULAR, now + ms(5)).is_none());
}

/// Guards against sound requests that are refused for seconds until a first probe:
/// the likelier of two goes out at once, and both wait for what becomes of it.
#[test]
fn the_likelier_is_probed_at_once() {
    let now = Instant::now();
    let mut watch = CrashDetector::default();
    crash_three(&mut watch, [0, 90, 0], 57, now);
    let popular = watch.held(POPULAR, now).expect("held back");
    let fatal = watch.held(FATAL, now).expect("held back");
    assert!(popular.is_undecided && fatal.is_undecided);
    assert!(popular.left.is_zero() && !fatal.left.is_zero());
    assert!(matches!(watch.admit(POPULAR, now), QuarantineVerdict::ProbeDue(_)));
    watch.note_whole(POPULAR, 99, now + ms(400));
    assert_eq!(watch.admit(POPULAR, now + ms(400)), QuarantineVerdict::Admitted);
    // One probe tells of the other too, before it counts as fatal.
    let fatal = watch.held(FATAL, now + ms(400)).expect("held back");
    assert!(fatal.is_undecided && fatal.left.is_zero());
    watch.note_unclaimed_probe(FATAL, now + ms(400));
    let fatal = watch.held(FATAL, now + ms(1100)).expect("held back");
    assert!(!fatal.is_undecided && !fatal.left.is_zero());
}

/// Guards against a popular request that is refused, its probe on its way, once the
/// other popular one that it was held back with has been answered.
#[test]
fn the_last_of_several_awaits_its_probe() {
    let now = Instant::now();
    let mut watch = CrashDetector::default();
    crash_three(&mut watch, [0; 3], 0, now);
    watch.note_unclaimed_probe(POPULAR, now + ms(50));
    watch.note_whole(FATAL, 99, now + ms(200));
    let popular = watch.held(POPULAR, now + ms(210)).expect("held back");
    assert!(popular.is_undecided, "its callers wait");
    watch.note_whole(POPULAR, 99, now + ms(260));
    assert_eq!(watch.admit(POPULAR, now + ms(260)), QuarantineVerdict::Admitted);
}

/// Guards against a probe that is spent on a server known to have crashed: it has
/// told nothing, and another may go.
#[test]
fn a_probe_that_meets_a_known_crash_is_not_spent() {
    let now = Instant::now();
    let mut watch = CrashDetector::default();
    crash_three(&mut watch, [0; 3], 0, now);
    watch.note_unclaimed_probe(POPULAR, now + ms(100));
    watch.note_crash(POPULAR, 2, Duration::ZERO, now + ms(101));
    watch.end_probe(POPULAR, now + ms(101));
    let verdict = watch.admit(POPULAR, now + ms(1200));
    assert!(matches!(verdict, QuarantineVerdict::Probe(_)), "{verdict:?}");
}

struct RowCase {
    name: &'static str,
    /// What the others told of rows, if they did.
    void_to: Option<u64>,
    row: u64,
    is_held: bool,
}

/// Guards against a gateway that starts while the store still has the row of a
/// content that was cleared: the others tell which rows are void.
#[test]
fn rows_of_what_was_cleared_are_void() {
    let cases = [
        RowCase { name: "nothing told", void_to: None, row: 5, is_held: true },
        RowCase { name: "void", void_to: Some(5), row: 5, is_held: false },
        RowCase { name: "newer", void_to: Some(5), row: 6, is_held: true },
    ];
    for case in &cases {
        for is_told_first in [true, false] {
            let now = Instant::now();
            let mut watch = CrashDetector::new(now);
            let tell = |watch: &mut CrashDetector| {
                if let Some(version) = case.void_to {
                    let outcome = SendOutcome::Cleared(version);
                    watch.hear(OutcomeUpdate { content: POPULAR, outcome, age_ms: 5 }, now);
                }
            };
            if is_told_first {
                tell(&mut watch);
            }
            watch.note_row(POPULAR, 0, case.row, false, now);
            if !is_told_first {
                // Until then its requests wait, rather than being refused.
                assert!(watch.held(POPULAR, now).is_some_and(|held| held.is_undecided));
                tell(&mut watch);
            }
            let is_held = watch.held(POPULAR, now).is_some();
            assert_eq!(is_held, case.is_held, "{}, told first: {is_told_first}", case.name);
        }
    }
}

/// Guards against rows that stay: who clears a content tells the others and has
/// its row removed.
#[test]
fn what_is_cleared_is_told_and_its_row_removed() {
    let now = Instant::now();
    let mut watch = CrashDetector::default();
    crash_three(&mut watch, [0; 3], 0, now);
    watch.note_row(POPULAR, 0, 12, false, now);
    watch.take_row_changes();
    watch.note_whole(POPULAR, 99, now);
    assert_eq!(watch.take_row_changes(), [RowChange::Remove(POPULAR, 12)]);
    let is_told = |news: &OutcomeUpdate| news.outcome == SendOutcome::Cleared(12);
    assert!(watch.news(false, now).iter().any(is_told));
}
