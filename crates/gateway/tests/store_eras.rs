//! Rows of a store that has come back from an older copy of itself.

use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::COPY_SETTLING_TIME;
use umberglade_gateway::cluster::CrashDetector;
use umberglade_gateway::cluster::EraHistory;
use umberglade_gateway::cluster::RowChange;
use umberglade_gateway::model::ConfigId;
use umberglade_gateway::model::StoreStamp;
use umberglade_gateway::model::StoreTable;
use umberglade_gateway::store::SharedTable;

/// An answer of the store.
#[derive(Debug, Clone, Copy)]
struct Answer {
    era: u64,
    /// The store's newest version, if the answer states it.
    version: Option<u64>,
    /// Milliseconds since the first answer.
    at_ms: u64,
}

const fn answer(era: u64, version: u64, at_ms: u64) -> Answer {
    Answer { era, version: Some(version), at_ms }
}

struct StampCase {
    name: &'static str,
    answers: Vec<Answer>,
    /// Version of a row of the last answer.
    row: u64,
    /// The era in which the row counts as written.
    written: u64,
}

/// Prevents a row of the copy from counting as newer than what was known before, and a row that is
/// written after the copy from counting as older.
#[test]
fn rows_are_attributed_to_the_era_in_which_they_were_written() {
    let cases = [
        StampCase {
            name: "the first era seen",
            answers: vec![answer(5, 90, 0)],
            row: 3,
            written: 5,
        },
        StampCase {
            name: "kept by the copy",
            answers: vec![answer(0, 90, 0), answer(1, 70, 10)],
            row: 70,
            written: 0,
        },
        StampCase {
            name: "written after the copy",
            answers: vec![answer(0, 90, 0), answer(1, 70, 10), answer(1, 71, 20)],
            row: 71,
            written: 1,
        },
        StampCase {
            name: "an answer that was under way longer states a lower version",
            answers: vec![answer(0, 90, 0), answer(1, 74, 10), answer(1, 70, 20)],
            row: 72,
            written: 1,
        },
        StampCase {
            name: "the first answer of the era states no version",
            answers: vec![
                answer(0, 90, 0),
                Answer { era: 1, version: None, at_ms: 5 },
                answer(1, 70, 10),
            ],
            row: 71,
            written: 1,
        },
        StampCase {
            name: "twice in a row, kept by both copies",
            answers: vec![answer(0, 90, 0), answer(1, 70, 10), answer(2, 60, 20)],
            row: 55,
            written: 0,
        },
        StampCase {
            name: "twice in a row, written between the copies",
            answers: vec![answer(0, 90, 0), answer(1, 70, 10), answer(2, 80, 20)],
            row: 75,
            written: 1,
        },
        StampCase {
            name: "still there when gone rows have been removed",
            answers: vec![
                answer(0, 90, 0),
                answer(1, 70, 10),
                answer(1, 70, COPY_SETTLING_TIME.as_millis() as u64 + 10),
            ],
            row: 60,
            written: 1,
        },
    ];
    let started_at = Instant::now();
    for case in cases {
        let mut history = EraHistory::default();
        let mut now = started_at;
        let mut era = 0;
        for answer in &case.answers {
            now = started_at + Duration::from_millis(answer.at_ms);
            history.observe(answer.era, answer.version, now);
            era = answer.era;
        }
        let stamp = history.stamp(era, case.row, now);
        assert_eq!(stamp.written_era(), case.written, "{}", case.name);
        assert_eq!((stamp.seen_era(), stamp.version()), (era, case.row), "{}", case.name);
    }
}

/// Prevents an engine from being given a lower fencing token after a higher one: numbers are given
/// out again, and tokens only increase.
#[test]
fn fencing_tokens_increase_over_eras() {
    let tokens = [(0, 139), (0, 140), (1, 12), (1, 139), (2, 1)]
        .map(|(era, version)| StoreStamp::new(era, version).fencing_token());
    assert!(tokens.is_sorted_by(|a, b| a < b), "{tokens:?}");
    assert_eq!(tokens[0], 139, "a store that never came back from a copy");
}

/// Prevents the copy's configuration from replacing a later one, and a later one, or one that is
/// written again, from being held back by its row's number.
#[test]
fn configurations_are_ordered_by_the_operators_version_first() {
    struct Case {
        name: &'static str,
        stamp: StoreStamp,
        version: u64,
        is_newer: bool,
    }
    let held = ConfigId { stamp: StoreStamp::new(0, 34), version: 20 };
    let copied = |version| StoreStamp::new(1, version).written_in(0);
    let cases = [
        Case { name: "the same", stamp: held.stamp, version: 20, is_newer: false },
        Case { name: "of the copy", stamp: copied(31), version: 14, is_newer: false },
        Case {
            name: "of the copy, the same version",
            stamp: copied(30),
            version: 20,
            is_newer: false,
        },
        Case { name: "lower number", stamp: StoreStamp::new(1, 33), version: 23, is_newer: true },
        Case { name: "written again", stamp: StoreStamp::new(1, 32), version: 20, is_newer: true },
        Case { name: "older", stamp: StoreStamp::new(1, 40), version: 16, is_newer: false },
        Case { name: "found in the copy first", stamp: copied(33), version: 23, is_newer: true },
    ];
    for case in cases {
        let id = ConfigId { stamp: case.stamp, version: case.version };
        assert_eq!(id.is_newer_than(&held), case.is_newer, "{}", case.name);
    }
}

/// Prevents a poison request from being admitted again because the copy lacks its row, and from
/// staying unknown to gateways that start later: the row is written again.
#[test]
fn a_quarantine_whose_row_the_copy_lacks_is_kept_and_written_again() {
    const REQUEST: u64 = 7;
    let now = Instant::now();
    let mut detector = CrashDetector::new(now);
    detector.apply_row(REQUEST, 0, StoreStamp::new(0, 50), false, now);
    assert!(detector.status(REQUEST, now).is_some());
    detector.take_row_changes();
    detector.apply_missing_row(REQUEST, StoreStamp::new(1, 40), now);
    let status = detector.status(REQUEST, now).expect("still quarantined");
    assert!(!status.stamp.exists(), "the store holds no row");
    assert_eq!(detector.take_row_changes(), [RowChange::Write(REQUEST)]);
    // Written again, and removed again later: it ends like any other.
    detector.apply_row(REQUEST, 0, StoreStamp::new(1, 41), false, now);
    detector.apply_missing_row(REQUEST, StoreStamp::new(1, 44), now);
    assert!(detector.status(REQUEST, now).is_none());
}

struct HeldCase {
    name: &'static str,
    /// Lets the table hold content of era 3.
    receive: fn(&SharedTable),
    is_other_held: bool,
}

/// Prevents content that peers have of a copy from being taken for changes of what is held since
/// before it, whether that was read here or came from peers: servers that are up would be dropped.
#[test]
fn content_of_another_era_is_told_from_changes() {
    let cases = [
        HeldCase { name: "nothing is held", receive: |_| {}, is_other_held: false },
        HeldCase {
            name: "read here",
            receive: |table| table.record_read(7, StoreStamp::new(3, 90)),
            is_other_held: true,
        },
        HeldCase {
            name: "received from peers",
            receive: |table| {
                let through = StoreStamp::new(3, 90);
                table.readers().record_peer_content(7, through, Instant::now());
            },
            is_other_held: true,
        },
    ];
    for HeldCase { name, receive, is_other_held } in cases {
        let table = SharedTable::new(StoreTable::Servers, 1, Duration::from_secs(2));
        receive(&table);
        assert!(table.matches_era(3), "{name}");
        assert_eq!(table.matches_era(4), !is_other_held, "{name}");
    }
}
