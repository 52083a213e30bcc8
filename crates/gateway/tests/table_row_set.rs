//! A table's content as one number.

use proptest::prelude::*;
use umberglade_gateway::cluster::TableRowSet;

#[derive(Debug, Clone, Copy)]
enum Step {
    /// A row says this.
    Row(&'static str, u64, u64),
    Gone(&'static str, u64),
}

struct ContentCase {
    name: &'static str,
    steps: &'static [Step],
    /// What the last step says.
    is_news: bool,
    /// The rows that are there in the end.
    same_as: &'static [Step],
}

fn take(content: &mut TableRowSet, step: &Step) -> bool {
    match *step {
        Step::Row(key, version, digest) => content.note(key, version, Some(digest)),
        Step::Gone(key, version) => content.note(key, version, None),
    }
}

fn content_of(steps: &[Step]) -> (TableRowSet, bool) {
    let mut content = TableRowSet::default();
    let mut is_news = false;
    for step in steps {
        is_news = take(&mut content, step);
    }
    (content, is_news)
}

#[test]
fn rows_that_say_something_new() {
    use Step::*;
    let cases = [
        ContentCase {
            name: "first seen",
            steps: &[Row("a", 1, 9)],
            is_news: true,
            same_as: &[Row("a", 5, 9)],
        },
        ContentCase {
            name: "renewed with nothing new",
            steps: &[Row("a", 1, 9), Row("a", 2, 9)],
            is_news: false,
            same_as: &[Row("a", 1, 9)],
        },
        ContentCase {
            name: "changed",
            steps: &[Row("a", 1, 9), Row("a", 2, 8)],
            is_news: true,
            same_as: &[Row("a", 2, 8)],
        },
        ContentCase {
            name: "an older row that comes late",
            steps: &[Row("a", 3, 9), Row("a", 2, 8)],
            is_news: false,
            same_as: &[Row("a", 1, 9)],
        },
        ContentCase {
            name: "gone",
            steps: &[Row("a", 1, 9), Gone("a", 2)],
            is_news: true,
            same_as: &[],
        },
        ContentCase {
            name: "an older row does not bring it back",
            steps: &[Row("a", 1, 9), Gone("a", 3), Row("a", 2, 9)],
            is_news: false,
            same_as: &[],
        },
        ContentCase {
            name: "a newer one does",
            steps: &[Row("a", 1, 9), Gone("a", 3), Row("a", 4, 9)],
            is_news: true,
            same_as: &[Row("a", 1, 9)],
        },
    ];
    for case in cases {
        let (content, is_news) = content_of(case.steps);
        assert_eq!(is_news, case.is_news, "{}", case.name);
        let (expected, _) = content_of(case.same_as);
        assert_eq!(content.fingerprint(), expected.fingerprint(), "{}", case.name);
    }
}

proptest! {
    /// Two gateways that know the same rows hold the same fingerprint, in
    /// whatever order and however often they came; a listing says the same.
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
        let mut straight = TableRowSet::default();
        for (key, version, digest) in &all {
            straight.note(key, *version, Some(*digest));
        }
        let mut shuffled = all.clone();
        shuffled.sort_by_key(|(_, version, _)| version.wrapping_mul(order | 1));
        let mut crossed = TableRowSet::default();
        for (key, version, digest) in shuffled.iter().chain(&all) {
            crossed.note(key, *version, Some(*digest));
        }
        prop_assert_eq!(straight.fingerprint(), crossed.fingerprint());

        let newest = keys.iter().filter_map(|key| all.iter().rev().find(|row| row.0 == *key));
        let listed: Vec<(&str, u64, u64)> = newest.copied().collect();
        let mut listing = TableRowSet::default();
        listing.note("gone", 1, Some(3));
        let gone = listing.replace(listed.into_iter(), all.len() as u64);
        prop_assert_eq!(gone, vec!["gone".to_owned()]);
        prop_assert_eq!(straight.fingerprint(), listing.fingerprint());
    }
}

/// Servers come and go for as long as a process lives. Each that has left would
/// be remembered for good.
#[test]
fn rows_that_are_gone_are_forgotten_in_the_end() {
    let mut content = TableRowSet::default();
    content.note("stays", 1, Some(5));
    let whole = content.fingerprint();
    for at in 0..10_000u64 {
        let key = format!("server-{at}");
        content.note(&key, at * 2 + 2, Some(9));
        content.note(&key, at * 2 + 3, None);
    }
    assert_eq!(content.fingerprint(), whole);
    assert!(content.len() < 2_000, "{} rows kept", content.len());
}
