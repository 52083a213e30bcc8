//! Which contents are held back, for how long, and what is told of them.

use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::CrashDetector;
use umberglade_gateway::cluster::OutcomeUpdate;
use umberglade_gateway::cluster::QuarantineVerdict;
use umberglade_gateway::cluster::RowChange;
use umberglade_gateway::cluster::SendOutcome;

const CONTENT: u64 = 7;
const OTHER: u64 = 8;
/// A server that lives.
const ELSEWHERE: u64 = 99;
/// The first wait for a probe.
const FIRST_WAIT: Duration = Duration::from_millis(1500);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Something that becomes known of [`CONTENT`].
#[derive(Clone, Copy)]
enum Step {
    /// A send broke at a start of a server.
    Ends(u64),
    /// That start has answered something else.
    Works(u64),
    /// Another gateway tells of that, so many milliseconds later.
    HeardEnd(u64, u32),
    Whole,
    HeardWhole(u32),
    /// The store has a row of it, of a version.
    Row(u64),
    /// The row was removed.
    NoRow(u64),
}

impl Step {
    fn take(self, watch: &mut CrashDetector, now: Instant) {
        let hear = |watch: &mut CrashDetector, outcome, age_ms| {
            watch.hear(OutcomeUpdate { content: CONTENT, outcome, age_ms }, now);
        };
        match self {
            Step::Ends(server) => drop(watch.note_crash(CONTENT, server, Duration::ZERO, now)),
            Step::HeardEnd(id, age) => hear(watch, SendOutcome::Crashed(id), age),
            Step::Works(server) => drop(watch.note_whole(OTHER, server, now)),
            Step::Whole => drop(watch.note_whole(CONTENT, ELSEWHERE, now)),
            Step::HeardWhole(age) => hear(watch, SendOutcome::Whole, age),
            Step::Row(version) => drop(watch.note_row(CONTENT, 0, version, false, now)),
            Step::NoRow(version) => drop(watch.note_no_row(CONTENT, version, now)),
        }
    }
}

struct HoldCase {
    name: &'static str,
    /// When, in milliseconds, and what.
    steps: &'static [(u64, Step)],
    is_held: bool,
}

/// A request under which three servers have ended is held back, whoever saw
/// that. A popular one is there whenever a server ends for its own reasons:
/// whole answers before and between speak for it.
#[test]
fn what_is_held_back() {
    use Step::*;
    let cases = [
        HoldCase {
            name: "three servers end",
            steps: &[(0, Ends(1)), (900, Ends(2)), (1000, Ends(3))],
            is_held: true,
        },
        HoldCase {
            name: "two servers end",
            steps: &[(0, Ends(1)), (900, Ends(2))],
            is_held: false,
        },
        HoldCase {
            name: "many sends break at one end",
            steps: &[(0, Ends(1)), (5, Ends(1)), (9, Ends(1)), (900, HeardEnd(1, 895))],
            is_held: false,
        },
        HoldCase {
            name: "one server ends again and again, its new starts not registered yet",
            steps: &[
                (0, Ends(1)),
                (1400, Works(1)),
                (1500, Ends(1)),
                (2900, Works(1)),
                (3000, Ends(1)),
            ],
            is_held: true,
        },
        HoldCase {
            name: "a service that can't be reached for a while",
            steps: &[
                (0, Ends(1)),
                (1500, Ends(1)),
                (1501, Ends(2)),
                (3000, Ends(1)),
                (3001, Ends(2)),
                (5000, Ends(1)),
                (5001, Ends(2)),
            ],
            is_held: false,
        },
        HoldCase {
            name: "one server ends again, long after it was last used here",
            steps: &[(0, Ends(1)), (4000, Ends(1)), (8000, Ends(1))],
            is_held: true,
        },
        HoldCase {
            name: "three gateways see one end each",
            steps: &[(0, HeardEnd(1, 40)), (500, Ends(2)), (900, HeardEnd(3, 20))],
            is_held: true,
        },
        HoldCase {
            name: "the same is heard again",
            steps: &[(0, Ends(2)), (0, HeardEnd(1, 40)), (40, HeardEnd(1, 80))],
            is_held: false,
        },
        HoldCase {
            name: "a whole answer between",
            steps: &[(0, Ends(1)), (500, Ends(2)), (600, Whole), (900, Ends(3))],
            is_held: false,
        },
        HoldCase {
            name: "a whole answer elsewhere between",
            steps: &[(0, Ends(1)), (500, Ends(2)), (700, HeardWhole(100)), (900, Ends(3))],
            is_held: false,
        },
        HoldCase {
            name: "an end before the whole answer is told late",
            steps: &[(0, Ends(1)), (1, Ends(2)), (500, Whole), (900, HeardEnd(3, 600))],
            is_held: false,
        },
        HoldCase {
            name: "popular, and all its servers lose their power",
            steps: &[(0, Whole), (500, Ends(1)), (502, Ends(2)), (503, Ends(3)), (505, Ends(4))],
            is_held: false,
        },
        HoldCase {
            name: "popular elsewhere, and all servers lose their power",
            steps: &[(0, Ends(1)), (1, HeardWhole(3)), (2, Ends(2)), (3, Ends(3)), (4, Ends(4))],
            is_held: false,
        },
        HoldCase {
            name: "popular until a new version ends under it",
            steps: &[(0, Whole), (500, Ends(1)), (2500, Ends(2)), (4500, Ends(3))],
            is_held: true,
        },
        HoldCase {
            name: "popular long ago",
            steps: &[(0, Whole), (130_000, Ends(1)), (130_001, Ends(2)), (130_002, Ends(3))],
            is_held: true,
        },
        HoldCase { name: "the store says so", steps: &[(0, Row(5))], is_held: true },
        HoldCase {
            name: "the store says so no longer",
            steps: &[(0, Row(5)), (900, NoRow(6))],
            is_held: false,
        },
        HoldCase {
            name: "an older listing lacks the row",
            steps: &[(0, Row(5)), (900, NoRow(4))],
            is_held: true,
        },
        HoldCase {
            name: "one on its way is answered whole",
            steps: &[(0, Ends(1)), (1, Ends(2)), (2, Ends(3)), (400, Row(5)), (900, Whole)],
            is_held: false,
        },
        HoldCase {
            name: "the row comes after the answer that cleared it",
            steps: &[(0, Ends(1)), (1, Ends(2)), (2, Ends(3)), (390, Whole), (400, Row(5))],
            is_held: false,
        },
        HoldCase {
            name: "popular until a new version ends under it, as the store says",
            steps: &[(0, Whole), (5000, Row(5))],
            is_held: true,
        },
        HoldCase {
            name: "held back on one's own word, before the answer elsewhere is heard",
            steps: &[(0, Ends(1)), (1, Ends(2)), (2, Ends(3)), (60, HeardWhole(20))],
            is_held: false,
        },
    ];
    let begun = Instant::now();
    for case in cases {
        let mut watch = CrashDetector::default();
        for (at, step) in case.steps {
            step.take(&mut watch, begun + ms(*at));
        }
        let last = case.steps.last().map_or(0, |(at, _)| *at);
        let is_held = watch.held(CONTENT, begun + ms(last)).is_some();
        assert_eq!(is_held, case.is_held, "{}", case.name);
    }
}

/// A watch that holds [`CONTENT`] back from `now` on.
fn holding(now: Instant) -> CrashDetector {
    let mut watch = CrashDetector::default();
    for server in 1..=3 {
        watch.note_crash(CONTENT, server, Duration::ZERO, now);
    }
    watch
}

/// A sound request is held back by mistake; all who send it are refused. That
/// must end by itself: after the wait one request is let through, no other
/// meanwhile, and its whole answer clears the rest and the store's row.
#[test]
fn a_wrong_suspicion_ends_by_itself() {
    let begun = Instant::now();
    let mut watch = holding(begun);
    assert_eq!(watch.take_row_changes(), [RowChange::Write(CONTENT)]);
    watch.note_row(CONTENT, 0, 11, false, begun);
    let before = begun + FIRST_WAIT - ms(1);
    assert!(matches!(watch.admit(CONTENT, before), QuarantineVerdict::HeldBack(_)));
    let due = begun + FIRST_WAIT;
    assert!(
        matches!(watch.admit(CONTENT, due), QuarantineVerdict::ProbeDue(held) if held.version == 11)
    );
    assert!(matches!(watch.admit(CONTENT, due), QuarantineVerdict::HeldBack(_)), "one at a time");
    watch.note_row(CONTENT, 1, 12, true, due);
    watch.note_whole(CONTENT, ELSEWHERE, due + ms(50));
    assert_eq!(watch.admit(CONTENT, due + ms(50)), QuarantineVerdict::Admitted);
    assert_eq!(watch.take_row_changes(), [RowChange::Remove(CONTENT, 12)]);
}

/// A claim of the probe that fails, since the store is away or another gateway
/// was first, leaves the next to a later request.
#[test]
fn a_claim_that_fails_is_made_again() {
    let begun = Instant::now();
    let mut watch = holding(begun);
    let due = begun + FIRST_WAIT;
    assert!(matches!(watch.admit(CONTENT, due), QuarantineVerdict::ProbeDue(_)));
    assert!(matches!(watch.admit(CONTENT, due + ms(1999)), QuarantineVerdict::HeldBack(_)));
    assert!(matches!(watch.admit(CONTENT, due + ms(2000)), QuarantineVerdict::ProbeDue(_)));
}

/// The store is away, and the first of the gateways makes the first probe without
/// a claim: the next is due after the longer wait.
#[test]
fn a_probe_without_a_claim_is_counted() {
    let begun = Instant::now();
    let mut watch = holding(begun);
    let due = begun + FIRST_WAIT;
    assert!(matches!(watch.admit(CONTENT, due), QuarantineVerdict::ProbeDue(_)));
    watch.note_unclaimed_probe(CONTENT, due);
    let held = watch.held(CONTENT, due).expect("held back");
    assert_eq!((held.probes, held.left), (1, Duration::from_secs(6)));
}

/// A gateway claims the probe, and the answer is lost: its own request is refused.
/// The row shows later whose claim was taken; without that nobody would make the
/// probe until the next, longer wait is over.
#[test]
fn a_claim_whose_answer_is_lost_is_used_later() {
    let begun = Instant::now();
    let mut watch = holding(begun);
    watch.note_row(CONTENT, 0, 11, false, begun);
    let due = begun + FIRST_WAIT;
    assert!(matches!(watch.admit(CONTENT, due), QuarantineVerdict::ProbeDue(_)));
    watch.note_row(CONTENT, 1, 12, true, due + ms(20));
    assert!(matches!(watch.admit(CONTENT, due + ms(30)), QuarantineVerdict::HeldBack(_)));
    let settled = due + ms(2000);
    assert!(matches!(watch.admit(CONTENT, settled), QuarantineVerdict::Probe(_)));
    assert!(
        matches!(watch.admit(CONTENT, settled), QuarantineVerdict::HeldBack(_)),
        "one at a time"
    );
}

/// A probe finds no server, or a full one. It is made again a second later, a few
/// times; one that ends a server is not.
#[test]
fn a_probe_that_told_nothing_is_made_again() {
    let begun = Instant::now();
    for ends_server in [false, true] {
        let mut watch = holding(begun);
        watch.note_row(CONTENT, 1, 12, true, begun);
        let mut probes = 0;
        for tick in 0..50 {
            let now = begun + ms(tick * 100);
            if matches!(watch.admit(CONTENT, now), QuarantineVerdict::Probe(_)) {
                probes += 1;
                if ends_server {
                    watch.note_crash(CONTENT, 50, Duration::ZERO, now);
                }
                watch.end_probe(CONTENT, now);
            }
        }
        assert_eq!(probes, if ends_server { 1 } else { 4 }, "ends a server: {ends_server}");
    }
}

/// A request that ends servers comes each second, for good. In its first hour no
/// more than three further servers may end under it, later than three seconds
/// after the third.
#[test]
fn probes_come_ever_more_rarely() {
    let begun = Instant::now();
    let mut watch = holding(begun);
    let mut probes = 0;
    for second in 0..3600 {
        let now = begun + Duration::from_secs(second);
        watch.tick(false, now);
        if let QuarantineVerdict::ProbeDue(held) = watch.admit(CONTENT, now) {
            probes += u32::from(second > 3);
            watch.note_row(CONTENT, held.probes + 1, 100 + second, true, now);
            watch.begin_probe(CONTENT);
            watch.note_crash(CONTENT, 100 + second, Duration::ZERO, now + ms(50));
        }
    }
    assert!((1..=3).contains(&probes), "{probes} probes");
}

/// Nobody asks any more for what is held back: it is forgotten, and one gateway
/// removes the row.
#[test]
fn what_nobody_asks_for_is_forgotten() {
    let begun = Instant::now();
    for removes_rows in [false, true] {
        let mut watch = holding(begun);
        watch.take_row_changes();
        watch.note_row(CONTENT, 0, 11, false, begun);
        assert!(watch.tick(removes_rows, begun + Duration::from_secs(300)).is_empty());
        let later = begun + Duration::from_secs(610);
        assert_eq!(watch.tick(removes_rows, later), [CONTENT]);
        let removals = usize::from(removes_rows);
        assert_eq!(watch.take_row_changes().len(), removals, "removes rows: {removes_rows}");
        assert_eq!(watch.admit(CONTENT, later), QuarantineVerdict::Admitted);
        assert!(watch.is_empty());
    }
}

/// Three fatal requests come at once, and a sound stream is at a server that
/// each of them ends; it goes on elsewhere each time. What a request that is
/// held back explains does not count against others.
#[test]
fn company_of_fatal_requests_is_no_suspicion() {
    const SOUND: u64 = 1000;
    let begun = Instant::now();
    let mut watch = CrashDetector::default();
    for fatal in 1..=3u64 {
        for count in 0..3u64 {
            let now = begun + ms(fatal * 3000 + count * 100);
            let server = fatal * 10 + count;
            watch.note_crash(fatal, server, Duration::ZERO, now);
            // Its break is noted before the fatal one's third, and after it.
            if count > 0 {
                watch.note_crash(SOUND, server, Duration::ZERO, now);
            }
        }
        let now = begun + ms(fatal * 3000 + 300);
        assert!(watch.held(fatal, now).is_some(), "{fatal} is not held back");
    }
    assert!(watch.held(SOUND, begun + ms(13_000)).is_none());
    // Its own end of a server counts all the same.
    for server in 90..93 {
        watch.note_crash(SOUND, server, Duration::ZERO, begun + ms(13_000));
    }
    assert!(watch.held(SOUND, begun + ms(13_000)).is_some());
}

/// What a gateway that has held a request back tells of the sound ones that were
/// in its company is nothing: one that starts then knows of the fatal request by
/// the store alone, and could not tell them apart.
#[test]
fn company_is_told_to_nobody() {
    const SOUND: u64 = 1000;
    let begun = Instant::now();
    let mut watch = CrashDetector::default();
    watch.note_crash(CONTENT, 1, Duration::ZERO, begun);
    watch.note_crash(CONTENT, 2, Duration::ZERO, begun);
    watch.note_crash(SOUND, 2, Duration::ZERO, begun);
    watch.note_crash(CONTENT, 3, Duration::ZERO, begun);
    watch.note_crash(SOUND, 3, Duration::ZERO, begun);
    let told = watch.news(true, begun + ms(100));
    assert!(told.iter().all(|news| news.content == CONTENT), "{told:?}");
}

/// A popular request was answered a moment ago. Then fatal ones end every server
/// for some seconds, and it is there each time, between no two of the ends
/// answered. Once the fatal ones are known, what they explain does not count.
#[test]
fn popular_company_is_no_suspicion() {
    const POPULAR: u64 = 1000;
    let begun = Instant::now();
    let mut watch = CrashDetector::default();
    watch.note_whole(POPULAR, ELSEWHERE, begun);
    for (server, at) in [(1, 1000), (2, 1100), (3, 2500), (4, 4000), (5, 4100)] {
        watch.note_crash(POPULAR, server, Duration::ZERO, begun + ms(at));
        watch.note_crash(CONTENT, server, Duration::ZERO, begun + ms(at));
    }
    assert!(watch.held(CONTENT, begun + ms(4100)).is_some());
    assert!(watch.held(POPULAR, begun + ms(4100)).is_none());
}

/// A sound request is at each server that a fatal one ends, and its breaks are
/// noted first. The fatal one must not be let off for that.
#[test]
fn a_fatal_request_is_not_let_off_for_its_company() {
    const SOUND: u64 = 1000;
    let begun = Instant::now();
    let mut watch = CrashDetector::default();
    for server in 1..=3 {
        watch.note_crash(SOUND, server, Duration::ZERO, begun);
        watch.note_crash(CONTENT, server, Duration::ZERO, begun);
    }
    assert!(watch.held(CONTENT, begun).is_some());
}

/// A gateway starts while servers end for their own reasons. One gateway tells it
/// of three ends under a popular request, another a moment later of the whole
/// answers between: it judges once it has heard both.
#[test]
fn a_gateway_that_has_just_begun_does_not_judge() {
    let begun = Instant::now();
    let end =
        |id| OutcomeUpdate { content: CONTENT, outcome: SendOutcome::Crashed(id), age_ms: 900 };
    let whole = OutcomeUpdate { content: CONTENT, outcome: SendOutcome::Whole, age_ms: 100 };
    for is_sound in [true, false] {
        let mut watch = CrashDetector::new(begun);
        for id in 1..=3 {
            watch.hear(end(id), begun + ms(50));
        }
        assert!(watch.held(CONTENT, begun + ms(60)).is_none(), "sound: {is_sound}");
        if is_sound {
            watch.hear(whole, begun + ms(300));
        }
        watch.judge(CONTENT, begun + ms(3000));
        let is_held = watch.held(CONTENT, begun + ms(3000)).is_some();
        assert_eq!(is_held, !is_sound, "sound: {is_sound}");
    }
}

/// Hundreds of servers end in one moment, thousands of requests with them, while
/// a fatal one is about. What is remembered and told stays bounded, and what
/// says most is kept.
#[test]
fn memory_and_reports_are_bounded() {
    const MAX_RECORDS: usize = 1024;
    const MAX_TOLD: usize = 32;
    let begun = Instant::now();
    let mut watch = CrashDetector::default();
    watch.note_crash(CONTENT, 1, Duration::ZERO, begun);
    watch.note_crash(CONTENT, 2, Duration::ZERO, begun + ms(1));
    for content in 100..5100 {
        watch.note_crash(content, content % 300, Duration::ZERO, begun + ms(2));
    }
    for content in 10_000..60_000 {
        watch.note_whole(content, ELSEWHERE, begun + ms(3));
    }
    assert!(watch.len() <= MAX_RECORDS, "{} records", watch.len());
    assert!(watch.news(true, begun + ms(4)).len() <= MAX_TOLD);
    watch.note_crash(CONTENT, 3, Duration::ZERO, begun + ms(5));
    assert!(watch.held(CONTENT, begun + ms(5)).is_some());
    watch.tick(true, begun + Duration::from_secs(1300));
    assert!(watch.is_empty(), "{} records", watch.len());
}

/// What a report tells, and for how long.
struct TellCase {
    name: &'static str,
    after: Duration,
    tells_all: bool,
    is_told: bool,
}

#[test]
fn outcomes_are_told_several_times() {
    let cases = [
        TellCase { name: "at once", after: ms(0), tells_all: false, is_told: true },
        TellCase { name: "a little later", after: ms(399), tells_all: false, is_told: true },
        TellCase { name: "then rarely", after: ms(400), tells_all: false, is_told: false },
        TellCase { name: "with what is slow", after: ms(9000), tells_all: true, is_told: true },
        TellCase { name: "not for good", after: ms(10_000), tells_all: true, is_told: false },
    ];
    let begun = Instant::now();
    for case in cases {
        let mut watch = CrashDetector::default();
        watch.note_crash(CONTENT, 1, Duration::ZERO, begun);
        let news = watch.news(case.tells_all, begun + case.after);
        assert_eq!(!news.is_empty(), case.is_told, "{}", case.name);
        assert!(news.iter().all(|of| u128::from(of.age_ms) == case.after.as_millis()));
    }
}

/// A gateway that has seen a content answered whole says so once servers end
/// under it elsewhere; what became of contents that nobody suspects is told to
/// nobody.
#[test]
fn whole_answers_are_told_where_they_matter() {
    let begun = Instant::now();
    let mut watch = CrashDetector::default();
    watch.note_whole(CONTENT, ELSEWHERE, begun);
    assert!(watch.news(true, begun).is_empty());
    let outcome = SendOutcome::Crashed(1);
    watch.hear(OutcomeUpdate { content: CONTENT, outcome, age_ms: 30 }, begun + ms(500));
    let told = watch.news(false, begun + ms(500));
    let expected = OutcomeUpdate { content: CONTENT, outcome: SendOutcome::Whole, age_ms: 31 };
    assert_eq!(told, [expected]);
    // Once cleared, it is told anew with the next end: others may have begun
    // since.
    watch.note_whole(CONTENT, ELSEWHERE, begun + ms(600));
    watch.note_crash(CONTENT, 2, Duration::ZERO, begun + ms(20_000));
    let told = watch.news(false, begun + ms(20_000));
    let wholes = told.iter().filter(|news| news.outcome == SendOutcome::Whole).count();
    assert_eq!(wholes, 1, "{told:?}");
}
