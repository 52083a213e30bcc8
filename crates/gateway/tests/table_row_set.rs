//! The content of a table as one number.

use proptest::prelude::*;
use umberglade_gateway::cluster::TableRowSet;
use umberglade_gateway::model::StoreStamp;

/// Returns the stamp with `version` of a store that has never come back from a copy.
fn stamp(version: u64) -> StoreStamp {
    StoreStamp::new(0, version)
}

#[derive(Debug, Clone, Copy)]
enum Step {
    /// A row with this key, version and content digest.
    Row(&'static str, u64, u64),
    Deleted(&'static str, u64),
}

struct RowCase {
    name: &'static str,
    steps: &'static [Step],
    /// Whether the last step changes the content.
    is_changed: bool,
    /// Steps that result in the same content.
    same_as: &'static [Step],
}

fn apply(row_set: &mut TableRowSet, step: &Step) -> bool {
    match *step {
        Step::Row(key, version, digest) => row_set.record(key, stamp(version), Some(digest)),
        Step::Deleted(key, version) => row_set.record(key, stamp(version), None),
    }
}

fn row_set_of(steps: &[Step]) -> (TableRowSet, bool) {
    let mut row_set = TableRowSet::default();
    let mut is_changed = false;
    for step in steps {
        is_changed = apply(&mut row_set, step);
    }
    (row_set, is_changed)
}

#[test]
fn rows_with_new_content_are_changes() {
    use Step::*;
    let cases = [
        RowCase {
            name: "first seen",
            steps: &[Row("a", 1, 9)],
            is_changed: true,
            same_as: &[Row("a", 5, 9)],
        },
        RowCase {
            name: "renewed with the same content",
            steps: &[Row("a", 1, 9), Row("a", 2, 9)],
            is_changed: false,
            same_as: &[Row("a", 1, 9)],
        },
        RowCase {
            name: "changed",
            steps: &[Row("a", 1, 9), Row("a", 2, 8)],
            is_changed: true,
            same_as: &[Row("a", 2, 8)],
        },
        RowCase {
            name: "an older row that arrives late",
            steps: &[Row("a", 3, 9), Row("a", 2, 8)],
            is_changed: false,
            same_as: &[Row("a", 1, 9)],
        },
        RowCase {
            name: "deleted",
            steps: &[Row("a", 1, 9), Deleted("a", 2)],
            is_changed: true,
            same_as: &[],
        },
        RowCase {
            name: "an older row does not restore a deleted one",
            steps: &[Row("a", 1, 9), Deleted("a", 3), Row("a", 2, 9)],
            is_changed: false,
            same_as: &[],
        },
        RowCase {
            name: "a newer row restores a deleted one",
            steps: &[Row("a", 1, 9), Deleted("a", 3), Row("a", 4, 9)],
            is_changed: true,
            same_as: &[Row("a", 1, 9)],
        },
    ];
    for case in cases {
        let (row_set, is_changed) = row_set_of(case.steps);
        assert_eq!(is_changed, case.is_changed, "{}", case.name);
        let (expected, _) = row_set_of(case.same_as);
        assert_eq!(row_set.fingerprint(), expected.fingerprint(), "{}", case.name);
    }
}

proptest! {
    /// Two gateways that know the same rows have the same fingerprint, in whatever order and
    /// however often the rows arrive, and so does a gateway that reads a listing.
    #[test]
    fn order_does_not_matter(
        rows in proptest::collection::vec((0usize..6, 0u64..4), 1..40),
        order in any::<u64>(),
    ) {
        let keys = ["a", "b", "c", "d", "e", "f"];
        let all: Vec<(&str, u64, u64)> = rows
            .iter()
            .enumerate()
            .map(|(at, (key, digest))| (keys[*key], at as u64 + 1, *digest))
            .collect();
        let mut ordered = TableRowSet::default();
        for (key, version, digest) in &all {
            ordered.record(key, stamp(*version), Some(*digest));
        }
        let mut shuffled = all.clone();
        shuffled.sort_by_key(|(_, version, _)| version.wrapping_mul(order | 1));
        let mut reordered = TableRowSet::default();
        for (key, version, digest) in shuffled.iter().chain(&all) {
            reordered.record(key, stamp(*version), Some(*digest));
        }
        prop_assert_eq!(ordered.fingerprint(), reordered.fingerprint());

        let newest = keys.iter().filter_map(|key| all.iter().rev().find(|row| row.0 == *key));
        let listed = newest.map(|(key, version, digest)| (*key, stamp(*version), *digest));
        let mut listing = TableRowSet::default();
        listing.record("gone", stamp(1), Some(3));
        let deleted = listing.replace(listed, stamp(all.len() as u64));
        prop_assert_eq!(deleted, vec!["gone".to_owned()]);
        prop_assert_eq!(ordered.fingerprint(), listing.fingerprint());
    }
}

/// Prevents a long-running process from remembering every server that has ever left.
#[test]
fn deleted_rows_are_bounded() {
    let mut row_set = TableRowSet::default();
    row_set.record("stays", stamp(1), Some(5));
    let initial = row_set.fingerprint();
    for at in 0..10_000u64 {
        let key = format!("server-{at}");
        row_set.record(&key, stamp(at * 2 + 2), Some(9));
        row_set.record(&key, stamp(at * 2 + 3), None);
    }
    assert_eq!(row_set.fingerprint(), initial);
    assert!(row_set.len() < 2_000, "{} rows kept", row_set.len());
}
