//! Which of several gateways' queues goes first.

use std::time::Instant;

use umberglade_gateway::cluster::PeerReports;
use umberglade_gateway::cluster::PeerUpdate;
use umberglade_gateway::cluster::QueueUpdate;

const SERVICE: u64 = 7;

fn within_target(first_occupancy: u64, waiting: u32) -> QueueUpdate {
    QueueUpdate {
        waiting,
        on_time: waiting,
        first_age_ms: 100,
        is_first_late: false,
        first_occupancy,
        pace_milli: 0,
        arrivals_milli: 0,
    }
}

fn past_target(first_age_ms: u32, waiting: u32) -> QueueUpdate {
    QueueUpdate { on_time: 0, first_age_ms, is_first_late: true, ..within_target(0, waiting) }
}

/// Gateways try for capacity at the same moment and choose the slot of their rank. If more requests
/// are counted ahead than try, slots stay free that a request waits for; if fewer are, two gateways
/// choose the same slot and one request is rejected.
#[test]
fn the_rank_among_all_queues() {
    struct RankCase {
        name: &'static str,
        peers: &'static [QueueUpdate],
        local: QueueUpdate,
        ahead: usize,
    }
    const MIN: QueueUpdate = QueueUpdate {
        waiting: 5,
        on_time: 5,
        first_age_ms: 20,
        is_first_late: false,
        first_occupancy: 10,
        pace_milli: 0,
        arrivals_milli: 0,
    };
    const MAX: QueueUpdate = QueueUpdate { first_occupancy: 90, ..MIN };
    const LATE: QueueUpdate =
        QueueUpdate { is_first_late: true, on_time: 0, first_age_ms: 2000, ..MIN };
    const NOBODY: QueueUpdate = QueueUpdate { waiting: 0, on_time: 0, ..MIN };
    let cases = [
        RankCase { name: "alone", peers: &[], local: within_target(50, 3), ahead: 0 },
        RankCase {
            name: "empty queue at the peer",
            peers: &[NOBODY],
            local: within_target(50, 3),
            ahead: 0,
        },
        RankCase {
            name: "one request per queue of lower occupancy",
            peers: &[MIN, MAX],
            local: within_target(50, 3),
            ahead: 1,
        },
        RankCase {
            name: "several queues of lower occupancy",
            peers: &[MIN, MIN, MAX],
            local: within_target(50, 3),
            ahead: 2,
        },
        RankCase {
            name: "requests past target go after",
            peers: &[LATE],
            local: within_target(50, 3),
            ahead: 0,
        },
        RankCase {
            name: "past target, behind those within",
            peers: &[MIN, MAX],
            local: past_target(3000, 1),
            ahead: 2,
        },
        RankCase {
            name: "past target by age, whole queues ahead",
            peers: &[LATE, LATE],
            local: past_target(1000, 1),
            ahead: 10,
        },
        RankCase {
            name: "the longest past target",
            peers: &[LATE],
            local: past_target(4000, 1),
            ahead: 0,
        },
    ];
    let now = Instant::now();
    for case in cases {
        let mut peers = PeerReports::default();
        for (at, update) in case.peers.iter().enumerate() {
            let peer_update = PeerUpdate {
                queues: [(SERVICE, *update)].into_iter().collect(),
                ..PeerUpdate::default()
            };
            peers.record(&format!("peer-{at}"), 1, 1, peer_update, now);
        }
        let ahead = peers.queued_ahead(SERVICE, &case.local, now);
        assert_eq!(ahead, case.ahead, "{}", case.name);
    }
}

/// Prevents a gateway's share of free places from being divided among queues that are empty.
#[test]
fn only_gateways_with_waiting_requests_count() {
    let now = Instant::now();
    let mut peers = PeerReports::default();
    let mut report = |peer: &str, sequence: u64, waiting: u32| {
        let queue = QueueUpdate { waiting, ..past_target(2000, 0) };
        let queues = [(SERVICE, queue)].into_iter().collect();
        let update = PeerUpdate { queues, ..PeerUpdate::default() };
        peers.record(peer, 1, sequence, update, now);
        peers.queue_count(SERVICE, now)
    };
    assert_eq!(report("peer-0", 1, 5), 1);
    assert_eq!(report("peer-1", 1, 0), 1, "an empty queue");
    assert_eq!(report("peer-2", 1, 1), 2);
    assert_eq!(report("peer-0", 2, 0), 1, "the first has become empty");
}
