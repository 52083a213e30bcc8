//! Tests of who makes room when a budget is full.

use std::time::Duration;

use umberglade_wire::memory::eviction::HolderPhase;
use umberglade_wire::memory::eviction::HolderUse;
use umberglade_wire::memory::eviction::first_to_yield;

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

/// Returns a connection that has stood in `phase` for `age_ms` with `bytes`.
fn holder(phase: HolderPhase, bytes: usize, age_ms: u64) -> HolderUse {
    HolderUse {
        phase,
        owner: 1,
        bytes,
        age: Duration::from_millis(age_ms),
        received: 0,
        bytes_behind: 0,
        blocked: None,
    }
}

/// Returns a connection on which `received` bytes of a body have arrived in `age_ms`.
fn body(received: usize, age_ms: u64) -> HolderUse {
    HolderUse {
        received: received as u64,
        ..holder(HolderPhase::Receiving, received + 24 * KIB, age_ms)
    }
}

fn serving(blocked_ms: u64, bytes_behind: usize) -> HolderUse {
    let blocked = (blocked_ms > 0).then(|| Duration::from_millis(blocked_ms));
    HolderUse { bytes_behind, blocked, ..holder(HolderPhase::Serving, 152 * KIB, 10_000) }
}

/// Guards against an ordinary request that yields to those that hold much and stand still.
#[test]
fn who_holds_most_and_progresses_least_yields() {
    struct Case {
        name: &'static str,
        holders: Vec<HolderUse>,
        /// Position of the one that yields.
        yields: Option<usize>,
    }
    let idle = |age_ms| holder(HolderPhase::Idle, 24 * KIB, age_ms);
    let connected = |age_ms| holder(HolderPhase::Connected, 24 * KIB, age_ms);
    let cases = [
        Case {
            name: "a body just short of its end beside a short request",
            holders: vec![body(200, 5), body(MIB, 9_000)],
            yields: Some(1),
        },
        Case {
            name: "a body that stands still beside one that arrives",
            holders: vec![body(4 * MIB, 3_200), body(64 * KIB, 3_200)],
            yields: Some(1),
        },
        Case {
            name: "the larger of two that arrive",
            holders: vec![body(MIB, 100), body(2 * MIB, 100)],
            yields: Some(1),
        },
        Case {
            name: "the oldest of those that never spoke",
            holders: vec![connected(10), connected(900), connected(500)],
            yields: Some(1),
        },
        Case {
            name: "a kept connection beside a request that is served",
            holders: vec![serving(0, 0), idle(2_000)],
            yields: Some(1),
        },
        Case {
            name: "a kept connection that has just answered",
            holders: vec![idle(999)],
            yields: None,
        },
        Case { name: "requests that are served", holders: vec![serving(0, 0)], yields: None },
        Case {
            name: "an answer that is read slowly",
            holders: vec![serving(249, 0)],
            yields: None,
        },
        Case {
            name: "an answer that nobody reads",
            holders: vec![serving(0, 0), serving(400, 0)],
            yields: Some(1),
        },
        Case {
            name: "bytes behind a request beyond the next one",
            holders: vec![serving(0, 1000), serving(0, 16 * KIB)],
            yields: Some(1),
        },
    ];
    for case in cases {
        let yields = first_to_yield(case.holders.into_iter(), |_| 1);
        assert_eq!(yields, case.yields, "{}", case.name);
    }
}

/// Guards against one caller that keeps all others out.
#[test]
fn the_owner_of_most_yields_first() {
    let of = |owner, age_ms| HolderUse { owner, ..body(64 * KIB, age_ms) };
    let holders = [of(1, 3_000), of(2, 2_000)];
    let bytes = |owner| if owner == 2 { 40 * MIB } else { 64 * KIB };
    assert_eq!(first_to_yield(holders.into_iter(), bytes), Some(1));
}
