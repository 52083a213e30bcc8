//! Alternatives that begin one after the other.

use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::paths::race_staggered;

const STAGGER: Duration = Duration::from_millis(60);

/// One alternative: how long it takes, and whether it succeeds.
#[derive(Debug, Clone, Copy)]
struct Alternative {
    takes_ms: u64,
    succeeds: bool,
}

fn alternative(takes_ms: u64, succeeds: bool) -> Alternative {
    Alternative { takes_ms, succeeds }
}

#[test]
fn the_first_success_wins() {
    struct Case {
        name: &'static str,
        alternatives: Vec<Alternative>,
        expected: Result<usize, Vec<usize>>,
        min_ms: u64,
        max_ms: u64,
    }
    let cases = [
        Case { name: "none", alternatives: vec![], expected: Err(vec![]), min_ms: 0, max_ms: 40 },
        Case {
            name: "at once",
            alternatives: vec![alternative(5, true), alternative(0, true)],
            expected: Ok(0),
            min_ms: 5,
            max_ms: 50,
        },
        Case {
            name: "after a failure, without a wait",
            alternatives: vec![alternative(0, false), alternative(5, true)],
            expected: Ok(1),
            min_ms: 5,
            max_ms: 50,
        },
        Case {
            name: "the first hangs",
            alternatives: vec![alternative(9000, true), alternative(5, true)],
            expected: Ok(1),
            min_ms: 60,
            max_ms: 600,
        },
        Case {
            name: "the first is slow",
            alternatives: vec![alternative(150, true), alternative(9000, true)],
            expected: Ok(0),
            min_ms: 150,
            max_ms: 900,
        },
        Case {
            name: "all fail",
            alternatives: vec![alternative(0, false), alternative(30, false)],
            expected: Err(vec![0, 1]),
            min_ms: 30,
            max_ms: 400,
        },
    ];
    for case in cases {
        let started_at = Instant::now();
        let attempts = case.alternatives.iter().enumerate().map(|(index, one)| async move {
            smol::Timer::after(Duration::from_millis(one.takes_ms)).await;
            if one.succeeds { Ok(index) } else { Err(index) }
        });
        let outcome = smol::block_on(race_staggered(attempts, STAGGER));
        assert_eq!(outcome, case.expected, "{}", case.name);
        let took = started_at.elapsed().as_millis() as u64;
        assert!((case.min_ms..case.max_ms).contains(&took), "{}: {took} ms", case.name);
    }
}
