//! Which of several gateways' lines goes first.

use std::time::Instant;

use umberglade_gateway::cluster::PeerReports;
use umberglade_gateway::cluster::PeerUpdate;
use umberglade_gateway::cluster::QueueUpdate;

const SERVICE: u64 = 7;

fn on_time(first_occupancy: u64, waiting: u32) -> QueueUpdate {
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

fn late(first_age_ms: u32, waiting: u32) -> QueueUpdate {
    QueueUpdate { on_time: 0, first_age_ms, is_first_late: true, ..on_time(0, waiting) }
}

/// Gateways look for room at the same moment and take the place of their rank.
/// With more counted before them than look, places stay free that someone waits
/// for; with fewer, two meet at one place and one is rejected.
#[test]
fn the_rank_among_all_lines() {
    struct RankCase {
        name: &'static str,
        others: &'static [QueueUpdate],
        own: QueueUpdate,
        before: usize,
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
        RankCase { name: "alone", others: &[], own: on_time(50, 3), before: 0 },
        RankCase { name: "nobody waits there", others: &[NOBODY], own: on_time(50, 3), before: 0 },
        RankCase {
            name: "of a line that takes less, its first",
            others: &[MIN, MAX],
            own: on_time(50, 3),
            before: 1,
        },
        RankCase {
            name: "several that take less",
            others: &[MIN, MIN, MAX],
            own: on_time(50, 3),
            before: 2,
        },
        RankCase { name: "late ones wait", others: &[LATE], own: on_time(50, 3), before: 0 },
        RankCase {
            name: "a late one behind those on time",
            others: &[MIN, MAX],
            own: late(3000, 1),
            before: 2,
        },
        RankCase {
            name: "late ones in the order of their first try, all of a line",
            others: &[LATE, LATE],
            own: late(1000, 1),
            before: 10,
        },
        RankCase { name: "the longest late", others: &[LATE], own: late(4000, 1), before: 0 },
    ];
    let now = Instant::now();
    for case in cases {
        let mut peers = PeerReports::default();
        for (at, line) in case.others.iter().enumerate() {
            let news = PeerUpdate {
                queues: [(SERVICE, *line)].into_iter().collect(),
                ..PeerUpdate::default()
            };
            peers.record(&format!("peer-{at}"), 1, 1, news, now);
        }
        let before = peers.queued_ahead(SERVICE, &case.own, now);
        assert_eq!(before, case.before, "{}", case.name);
    }
}
