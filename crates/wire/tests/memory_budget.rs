//! Tests of the account of what callers hold.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use umberglade_wire::memory::BudgetLimits;
use umberglade_wire::memory::ConnectionShare;
use umberglade_wire::memory::MemoryBudget;
use umberglade_wire::memory::ProcessLimits;
use umberglade_wire::memory::RequestBodyError;
use umberglade_wire::memory::read_body;

const KIB: usize = 1024;
/// Room for 20 connections and little else.
const LIMITS: BudgetLimits = BudgetLimits {
    bytes: 1024 * KIB,
    large_bytes: 512 * KIB,
    organisation_bytes: 256 * KIB,
    connections: 20,
};

async fn admit(budget: &Arc<MemoryBudget>) -> ConnectionShare {
    budget.admit(1).await.expect("room for a connection")
}

/// Returns whether a body of `bytes` bytes is read on `share`, and keeps it if so.
async fn read(share: &ConnectionShare, bytes: usize) -> Option<umberglade_wire::memory::HeldBody> {
    let body = Full::new(Bytes::from(vec![b'b'; bytes]));
    let body = http_body_util::BodyExt::map_err(body, |never| match never {});
    match read_body(share, body, 1024 * KIB).await {
        Ok(body) => Some(body),
        Err(RequestBodyError::NoMemory { .. }) => None,
        Err(error) => panic!("{error}"),
    }
}

/// Guards against what has ended that still counts.
#[test]
fn what_has_ended_is_given_back() {
    smol::block_on(async {
        let budget = MemoryBudget::new(LIMITS);
        for _ in 0..100 {
            let share = admit(&budget).await;
            let request_end = share.begin_request();
            let body = read(&share, 200 * KIB).await.expect("room for a body");
            share.begin_serving().await.expect("room for a request");
            assert!(budget.held_bytes() >= 200 * KIB);
            drop((body, request_end, share));
            assert_eq!((budget.held_bytes(), budget.connections()), (0, 0));
        }
    });
}

/// Guards against a body that costs more than about its own size once it is whole.
#[test]
fn a_whole_body_costs_its_size() {
    smol::block_on(async {
        let budget = MemoryBudget::new(LIMITS);
        let share = admit(&budget).await;
        let before = budget.held_bytes();
        let body = read(&share, 100 * KIB).await.expect("room for a body");
        assert_eq!(budget.held_bytes() - before, 100 * KIB);
        assert_eq!(body.grant.bytes(), body.bytes.len());
    });
}

/// Guards against bodies that take the part that is for short requests.
#[test]
fn short_requests_have_room_beside_large_bodies() {
    smol::block_on(async {
        let budget = MemoryBudget::new(LIMITS);
        let mut held = Vec::new();
        for _ in 0..3 {
            let share = admit(&budget).await;
            let request_end = share.begin_request();
            let body = read(&share, 200 * KIB).await;
            if body.is_some() {
                share.begin_serving().await.expect("room for a request");
            }
            held.push((share, request_end, body));
        }
        assert!(held.iter().filter(|(_, _, body)| body.is_some()).count() < 3);
        let share = admit(&budget).await;
        let _request_end = share.begin_request();
        assert!(read(&share, KIB).await.is_some());
    });
}

/// Guards against one organisation that takes the memory of all others.
#[test]
fn an_organisation_takes_a_part_only() {
    smol::block_on(async {
        let budget = MemoryBudget::new(LIMITS);
        let first = admit(&budget).await;
        first.set_organisation(7);
        let _held = read(&first, 150 * KIB).await.expect("room for a body");
        let second = admit(&budget).await;
        second.set_organisation(7);
        assert!(read(&second, 150 * KIB).await.is_none(), "beyond its part");
        let other = admit(&budget).await;
        other.set_organisation(8);
        assert!(read(&other, 150 * KIB).await.is_some(), "another organisation");
    });
}

/// Guards against connections without bound, and against new ones that find no place because
/// others stand still.
#[test]
fn a_new_connection_takes_the_place_of_one_that_stands_still() {
    smol::block_on(async {
        let budget = MemoryBudget::new(LIMITS);
        let mut shares = Vec::new();
        for _ in 0..LIMITS.connections {
            shares.push(admit(&budget).await);
        }
        let _new = admit(&budget).await;
        assert_eq!(shares.iter().filter(|share| share.is_evicted()).count(), 1);
        shares.retain(|share| !share.is_evicted());
        assert_eq!(budget.connections(), LIMITS.connections);
        let ends: Vec<_> = shares.iter().map(ConnectionShare::begin_request).collect();
        drop(ends);
    });
}

/// Guards against defaults that a client within the limits of the pages meets.
#[test]
fn a_machine_bears_what_its_limits_allow() {
    struct Case {
        limits: ProcessLimits,
        /// Connections that the machine bears.
        connections: usize,
        /// Whole bodies of 4 MiB that it bears.
        bodies: usize,
    }
    let cases = [
        Case {
            limits: ProcessLimits { memory_mb: 88, descriptors: 4_100 },
            connections: 1_500,
            bodies: 6,
        },
        Case {
            limits: ProcessLimits { memory_mb: 110, descriptors: 4_100 },
            connections: 1_900,
            bodies: 8,
        },
        Case {
            limits: ProcessLimits { memory_mb: 120, descriptors: 4_100 },
            connections: 2_000,
            bodies: 9,
        },
        Case { limits: ProcessLimits::default(), connections: 2_000, bodies: 10 },
    ];
    for case in cases {
        let limits = BudgetLimits::from(case.limits);
        let connections = limits.connections.min(limits.bytes / (24 * KIB));
        assert!(connections >= case.connections, "{:?}: {connections}", case.limits);
        let bodies = limits.large_bytes / (4096 * KIB);
        assert!(bodies >= case.bodies, "{:?}: {bodies}", case.limits);
    }
}
