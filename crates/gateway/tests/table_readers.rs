//! Which gateways read a table of the store, and which are told.

use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::ReadRole;
use umberglade_gateway::cluster::ReaderNotice;
use umberglade_gateway::cluster::ReaderRank;
use umberglade_gateway::cluster::TableReaders;

/// A change must be known within this.
const BOUND: Duration = Duration::from_secs(3);
/// What the gateway under test holds, and what it lacks.
const HELD: u64 = 7;
const OTHER: u64 = 8;
/// The gateway under test.
const OWN: u64 = 100;
const CROWD: ReaderRank = ReaderRank { peers: 78, before: 40 };

#[derive(Debug, Clone, Copy)]
enum Step {
    /// The store answered the gateway with content of this fingerprint.
    Read(u64),
    Failed,
    /// Rows told by others were taken in.
    Told(u64),
    /// A peer tells of its own reading, so many milliseconds old.
    Hear {
        peer: u64,
        fingerprint: u64,
        age_ms: u64,
    },
    Wait(u64),
    /// It decides, and this is what it must do.
    Reads,
    IsTold,
    /// The same as one of few gateways.
    ReadsAmongFew,
    /// Whether it tells the others of its reading.
    Tells(bool),
}

struct RosterCase {
    name: &'static str,
    steps: Vec<Step>,
}

fn play(case: &RosterCase) {
    let mut roster = TableReaders::new(OWN, BOUND, 0.0);
    let mut now = Instant::now() + Duration::from_secs(60);
    for (at, step) in case.steps.iter().enumerate() {
        let what = format!("{}, step {at} {step:?}", case.name);
        let few = ReaderRank { peers: 6, before: 5 };
        match *step {
            Step::Read(fingerprint) => roster.note_read(fingerprint, now),
            Step::Failed => roster.note_failed(),
            Step::Told(fingerprint) => roster.note_told(fingerprint),
            Step::Hear { peer, fingerprint, age_ms } => {
                let read_at = now - Duration::from_millis(age_ms);
                roster.hear(peer, ReaderNotice { fingerprint, read_at, is_heavy: false });
            }
            Step::Wait(millis) => now += Duration::from_millis(millis),
            Step::Reads => assert_eq!(roster.turn(CROWD, now), ReadRole::Own, "{what}"),
            Step::ReadsAmongFew => assert_eq!(roster.turn(few, now), ReadRole::Own, "{what}"),
            Step::IsTold => match roster.turn(CROWD, now) {
                ReadRole::Own => panic!("{what}: reads"),
                ReadRole::Told { until } => assert!(until > now, "{what}"),
            },
            Step::Tells(tells) => assert_eq!(roster.own_notice(now).is_some(), tells, "{what}"),
        }
    }
}

fn notice(read_at: Instant, is_heavy: bool) -> ReaderNotice {
    ReaderNotice { fingerprint: HELD, read_at, is_heavy }
}

fn hear(peer: u64, fingerprint: u64) -> Step {
    Step::Hear { peer, fingerprint, age_ms: 100 }
}

/// A gateway that three others tell what it holds, and what comes then.
fn told_case(name: &'static str, steps: &[Step]) -> RosterCase {
    let told = [Step::Read(HELD), hear(1, HELD), hear(2, HELD), hear(3, HELD), Step::IsTold];
    RosterCase { name, steps: [&told, steps].concat() }
}

#[test]
fn who_reads_and_who_is_told() {
    use Step::*;
    let cases = [
        RosterCase { name: "knows nothing", steps: vec![Reads, Tells(false)] },
        RosterCase { name: "nobody else reads", steps: vec![Read(HELD), Reads, Tells(true)] },
        RosterCase {
            name: "two others are too few to leave it to",
            steps: vec![Read(HELD), hear(1, HELD), hear(2, HELD), Reads],
        },
        RosterCase {
            name: "three before it read",
            steps: vec![
                Read(HELD),
                hear(1, HELD),
                hear(2, HELD),
                hear(3, HELD),
                IsTold,
                Tells(false),
            ],
        },
        RosterCase {
            name: "those behind it leave it to this one",
            steps: vec![Read(HELD), hear(201, HELD), hear(202, HELD), hear(203, HELD), Reads],
        },
        RosterCase {
            name: "few gateways read for themselves",
            steps: vec![Read(HELD), hear(1, HELD), hear(2, HELD), hear(3, HELD), ReadsAmongFew],
        },
        RosterCase {
            name: "a failed read is left to those that can, whoever they are",
            steps: vec![
                Read(HELD),
                hear(201, HELD),
                hear(202, HELD),
                hear(203, HELD),
                Failed,
                IsTold,
            ],
        },
    ];
    cases.iter().for_each(play);
}

/// A reader that freezes, dies or loses the store falls silent towards the
/// others. A server that leaves meanwhile would go on getting work from all
/// gateways it told, beyond the time in which its leaving must be known.
/// Each of them reads for itself once nobody has told it for half of that time.
#[test]
fn silent_readers_are_not_waited_for() {
    use Step::*;
    let old_hear = |peer| Hear { peer, fingerprint: HELD, age_ms: 5000 };
    let cases = [
        told_case("all fall silent", &[Wait(1390), IsTold, Wait(120), Reads]),
        told_case("one of three goes on", &[Wait(1000), hear(1, HELD), Wait(1000), IsTold]),
        told_case(
            "a suspended reader tells of an old read",
            &[Wait(1450), old_hear(1), old_hear(2), old_hear(3), Wait(60), Reads],
        ),
        told_case(
            "the readers hold what this one lacks: the rows were lost on the way",
            &[Wait(700), hear(1, OTHER), hear(2, OTHER), hear(3, OTHER), IsTold, Wait(810), Reads],
        ),
        told_case(
            "and the rows come at last",
            &[
                Wait(700),
                hear(1, OTHER),
                hear(2, OTHER),
                hear(3, OTHER),
                Told(OTHER),
                Wait(810),
                IsTold,
            ],
        ),
    ];
    cases.iter().for_each(play);
}

/// Readers die one after the other. If each gateway that notices stepped in at
/// once, all would read at the same moment; if none did, the last reader's
/// death would leave everyone without. Each leaves it to those before it for
/// 150 ms apiece.
#[test]
fn gateways_step_in_one_after_the_other() {
    let now = Instant::now() + Duration::from_secs(60);
    let stepped_in = |before: usize, after_ms: u64| {
        let rank = ReaderRank { peers: 78, before };
        let mut roster = TableReaders::new(OWN, BOUND, 0.0);
        roster.note_read(HELD, now);
        for peer in 1..=3 {
            roster.hear(peer, notice(now, false));
        }
        assert!(matches!(roster.turn(rank, now), ReadRole::Told { .. }));
        // The first of the three is heard no longer.
        let mut at = now;
        while at < now + Duration::from_millis(1500 + after_ms) {
            at += Duration::from_millis(50);
            for peer in 2..=3 {
                roster.hear(peer, notice(at, false));
            }
            if roster.turn(rank, at) == ReadRole::Own {
                return true;
            }
        }
        false
    };
    assert!(stepped_in(3, 650), "the fourth steps in");
    assert!(!stepped_in(3, 500), "but leaves it to three others first");
    assert!(!stepped_in(40, 3000), "the forty-first leaves it to those before it");
}

/// Guards against instances with small links that read a large table for all: where
/// others can, they leave it to them, and others relieve them.
#[test]
fn small_links_leave_reading_to_others() {
    struct Case {
        name: &'static str,
        own_is_heavy: bool,
        readers_are_heavy: bool,
        is_reader: bool,
    }
    let cases = [
        Case {
            name: "light before light ones behind it",
            own_is_heavy: false,
            readers_are_heavy: false,
            is_reader: true,
        },
        Case {
            name: "heavy before light ones behind it",
            own_is_heavy: true,
            readers_are_heavy: false,
            is_reader: false,
        },
        Case {
            name: "light before heavy ones",
            own_is_heavy: false,
            readers_are_heavy: true,
            is_reader: true,
        },
    ];
    for case in cases {
        let begun = Instant::now() + Duration::from_secs(60);
        let mut roster = TableReaders::new(OWN, BOUND, 0.5);
        roster.set_heavy(case.own_is_heavy);
        roster.note_read(HELD, begun);
        // Three with greater digests read.
        for peer in 201..=203 {
            roster.hear(peer, notice(begun, case.readers_are_heavy));
        }
        let is_reader = roster.turn(CROWD, begun) == ReadRole::Own;
        assert_eq!(is_reader, case.is_reader, "{}", case.name);
    }
    // One that is told steps in for readers for which it is heavier.
    let begun = Instant::now() + Duration::from_secs(60);
    let mut roster = TableReaders::new(OWN, BOUND, 0.5);
    roster.note_read(HELD, begun);
    (1..=3).for_each(|peer| roster.hear(peer, notice(begun, false)));
    assert!(matches!(roster.turn(CROWD, begun), ReadRole::Told { .. }));
    let steps_in = (1..=60).any(|step| {
        let now = begun + Duration::from_millis(50) * step;
        (1..=3).for_each(|peer| roster.hear(peer, notice(now, true)));
        roster.turn(CROWD, now) == ReadRole::Own
    });
    assert!(steps_in);
}
