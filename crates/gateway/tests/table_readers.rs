//! Which gateways read a table of the store, and which receive rows from them.

use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::ReadCost;
use umberglade_gateway::cluster::ReadRole;
use umberglade_gateway::cluster::ReaderNotice;
use umberglade_gateway::cluster::ReaderRank;
use umberglade_gateway::cluster::TableReaders;
use umberglade_gateway::model::StoreStamp;

/// Returns the stamp with `version` of a store that has never come back from a copy.
fn stamp(version: u64) -> StoreStamp {
    StoreStamp::new(0, version)
}

/// Time within which a change must be known.
const BOUND: Duration = Duration::from_secs(3);
/// Fingerprints of the content that the gateway under test holds, and of content that it lacks.
const HELD: u64 = 7;
const OTHER: u64 = 8;
/// Digest of the gateway under test.
const LOCAL: u64 = 100;
const MANY_PEERS: ReaderRank = ReaderRank { peers: 78, peers_before: 40 };

#[derive(Debug, Clone, Copy)]
enum Step {
    /// The store responds to the gateway's read with content of this fingerprint.
    Read(u64),
    ReadFailed,
    /// Rows from peers are applied, which leaves this fingerprint.
    PeerRows(u64),
    /// A peer reports its own read, which is this many milliseconds old.
    PeerReads {
        peer: u64,
        fingerprint: u64,
        age_ms: u64,
    },
    Wait(u64),
    /// The expected role.
    Reads,
    Receives,
    /// The expected role among few gateways.
    ReadsAmongFew,
    /// Whether it sends its peers a notice of its read.
    Sends(bool),
}

struct RoleCase {
    name: &'static str,
    steps: Vec<Step>,
}

fn run(case: &RoleCase) {
    let mut readers = TableReaders::new(LOCAL, BOUND, 0.0);
    let mut now = Instant::now() + Duration::from_secs(60);
    for (at, step) in case.steps.iter().enumerate() {
        let what = format!("{}, step {at} {step:?}", case.name);
        let few = ReaderRank { peers: 6, peers_before: 5 };
        match *step {
            Step::Read(fingerprint) => readers.record_read(fingerprint, stamp(1), now),
            Step::ReadFailed => readers.record_failure(),
            Step::PeerRows(fingerprint) => readers.record_peer_rows(fingerprint),
            Step::PeerReads { peer, fingerprint, age_ms } => {
                let read_at = now - Duration::from_millis(age_ms);
                let notice = ReaderNotice { fingerprint, ..notice(read_at, false) };
                readers.apply_peer_notice(peer, notice);
            }
            Step::Wait(millis) => now += Duration::from_millis(millis),
            Step::Reads => assert_eq!(readers.role(MANY_PEERS, now), ReadRole::Reader, "{what}"),
            Step::ReadsAmongFew => assert_eq!(readers.role(few, now), ReadRole::Reader, "{what}"),
            Step::Receives => match readers.role(MANY_PEERS, now) {
                ReadRole::Reader => panic!("{what}: reads"),
                ReadRole::Receiver { until } => assert!(until > now, "{what}"),
            },
            Step::Sends(sends) => assert_eq!(readers.local_notice(now).is_some(), sends, "{what}"),
        }
    }
}

fn notice(read_at: Instant, is_heavy: bool) -> ReaderNotice {
    ReaderNotice { fingerprint: HELD, read_at, cost: cost(is_heavy), through: None }
}

fn cost(is_heavy: bool) -> ReadCost {
    if is_heavy { ReadCost::HEAVY } else { ReadCost::LIGHT }
}

fn peer_reads(peer: u64, fingerprint: u64) -> Step {
    Step::PeerReads { peer, fingerprint, age_ms: 100 }
}

/// A gateway that receives notices of three readers of the content it holds, followed by `steps`.
fn receiver_case(name: &'static str, steps: &[Step]) -> RoleCase {
    let receiving = [
        Step::Read(HELD),
        peer_reads(1, HELD),
        peer_reads(2, HELD),
        peer_reads(3, HELD),
        Step::Receives,
    ];
    RoleCase { name, steps: [&receiving, steps].concat() }
}

#[test]
fn roles_follow_from_peer_notices() {
    use Step::*;
    let cases = [
        RoleCase { name: "has read nothing", steps: vec![Reads, Sends(false)] },
        RoleCase { name: "nobody else reads", steps: vec![Read(HELD), Reads, Sends(true)] },
        RoleCase {
            name: "two peer readers are too few",
            steps: vec![Read(HELD), peer_reads(1, HELD), peer_reads(2, HELD), Reads],
        },
        RoleCase {
            name: "three peers with lower digests read",
            steps: vec![
                Read(HELD),
                peer_reads(1, HELD),
                peer_reads(2, HELD),
                peer_reads(3, HELD),
                Receives,
                Sends(false),
            ],
        },
        RoleCase {
            name: "peers with higher digests yield to this gateway",
            steps: vec![
                Read(HELD),
                peer_reads(201, HELD),
                peer_reads(202, HELD),
                peer_reads(203, HELD),
                Reads,
            ],
        },
        RoleCase {
            name: "few gateways read for themselves",
            steps: vec![
                Read(HELD),
                peer_reads(1, HELD),
                peer_reads(2, HELD),
                peer_reads(3, HELD),
                ReadsAmongFew,
            ],
        },
        RoleCase {
            name: "after a failed read it leaves reading to any peers that can",
            steps: vec![
                Read(HELD),
                peer_reads(201, HELD),
                peer_reads(202, HELD),
                peer_reads(203, HELD),
                ReadFailed,
                Receives,
            ],
        },
    ];
    cases.iter().for_each(run);
}

/// A reader that freezes, dies or loses the store stops sending notices. A server that starts
/// draining meanwhile must not get work from the receiving gateways beyond the time in which that
/// must be known: each of them reads for itself after half of that time without notices.
#[test]
fn silent_readers_are_replaced_in_time() {
    use Step::*;
    let old_read = |peer| PeerReads { peer, fingerprint: HELD, age_ms: 5000 };
    let cases = [
        receiver_case("all stop sending notices", &[Wait(1390), Receives, Wait(120), Reads]),
        receiver_case(
            "one of three continues",
            &[Wait(1000), peer_reads(1, HELD), Wait(1000), Receives],
        ),
        receiver_case(
            "a suspended reader reports an old read",
            &[Wait(1450), old_read(1), old_read(2), old_read(3), Wait(60), Reads],
        ),
        receiver_case(
            "the readers hold rows that were lost on the way here",
            &[
                Wait(700),
                peer_reads(1, OTHER),
                peer_reads(2, OTHER),
                peer_reads(3, OTHER),
                Receives,
                Wait(810),
                Reads,
            ],
        ),
        receiver_case(
            "the lost rows arrive later",
            &[
                Wait(700),
                peer_reads(1, OTHER),
                peer_reads(2, OTHER),
                peer_reads(3, OTHER),
                PeerRows(OTHER),
                Wait(810),
                Receives,
            ],
        ),
    ];
    cases.iter().for_each(run);
}

/// Readers die one after the other. If every gateway that notices took over at once, all would read
/// at the same moment; if none did, the last reader's death would leave all without rows. Each
/// waits 150 ms for each gateway that ranks before it.
#[test]
fn gateways_take_over_one_after_the_other() {
    let now = Instant::now() + Duration::from_secs(60);
    let takes_over = |peers_before: usize, after_ms: u64| {
        let rank = ReaderRank { peers: 78, peers_before };
        let mut readers = TableReaders::new(LOCAL, BOUND, 0.0);
        readers.record_read(HELD, stamp(1), now);
        for peer in 1..=3 {
            readers.apply_peer_notice(peer, notice(now, false));
        }
        assert!(matches!(readers.role(rank, now), ReadRole::Receiver { .. }));
        // The first of the three sends no more notices.
        let mut at = now;
        while at < now + Duration::from_millis(1500 + after_ms) {
            at += Duration::from_millis(50);
            for peer in 2..=3 {
                readers.apply_peer_notice(peer, notice(at, false));
            }
            if readers.role(rank, at) == ReadRole::Reader {
                return true;
            }
        }
        false
    };
    assert!(takes_over(3, 650), "the fourth gateway takes over");
    assert!(!takes_over(3, 500), "the fourth gateway waits for three others first");
    assert!(!takes_over(40, 3000), "the forty-first gateway waits for those before it");
}

/// Prevents instances with small links from reading a large table for their peers: they leave it to
/// peers that can, and peers take over from them.
#[test]
fn gateways_with_small_links_leave_reading_to_peers() {
    struct Case {
        name: &'static str,
        local_is_heavy: bool,
        readers_are_heavy: bool,
        is_reader: bool,
    }
    let cases = [
        Case {
            name: "light link, light peers with higher digests",
            local_is_heavy: false,
            readers_are_heavy: false,
            is_reader: true,
        },
        Case {
            name: "heavy link, light peers with higher digests",
            local_is_heavy: true,
            readers_are_heavy: false,
            is_reader: false,
        },
        Case {
            name: "light link, heavy peers with higher digests",
            local_is_heavy: false,
            readers_are_heavy: true,
            is_reader: true,
        },
    ];
    for case in cases {
        let started_at = Instant::now() + Duration::from_secs(60);
        let mut readers = TableReaders::new(LOCAL, BOUND, 0.5);
        readers.set_cost(cost(case.local_is_heavy));
        readers.record_read(HELD, stamp(1), started_at);
        // Three peers with higher digests read.
        for peer in 201..=203 {
            readers.apply_peer_notice(peer, notice(started_at, case.readers_are_heavy));
        }
        let is_reader = readers.role(MANY_PEERS, started_at) == ReadRole::Reader;
        assert_eq!(is_reader, case.is_reader, "{}", case.name);
    }
    // A receiver takes over from readers whose links are loaded more.
    let started_at = Instant::now() + Duration::from_secs(60);
    let mut readers = TableReaders::new(LOCAL, BOUND, 0.5);
    readers.record_read(HELD, stamp(1), started_at);
    (1..=3).for_each(|peer| readers.apply_peer_notice(peer, notice(started_at, false)));
    assert!(matches!(readers.role(MANY_PEERS, started_at), ReadRole::Receiver { .. }));
    let takes_over = (1..=60).any(|step| {
        let now = started_at + Duration::from_millis(50) * step;
        (1..=3).for_each(|peer| readers.apply_peer_notice(peer, notice(now, true)));
        readers.role(MANY_PEERS, now) == ReadRole::Reader
    });
    assert!(takes_over);
}
