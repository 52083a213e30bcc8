//! The state of the servers, from the store's rows in any order.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use umberglade_gateway::cluster::Fleet;
use umberglade_gateway::cluster::FleetChange;
use umberglade_gateway::cluster::LoadShare;
use umberglade_gateway::cluster::PeerUpdate;
use umberglade_gateway::cluster::ServerListing;
use umberglade_gateway::cluster::ServerOutcome;
use umberglade_gateway::model::ServerEntry;
use umberglade_gateway::model::ServerStage;
use umberglade_gateway::model::StoreStamp;

/// Returns the stamp with `version` of a store that has never come back from a copy.
fn stamp(version: u64) -> StoreStamp {
    StoreStamp::new(0, version)
}

fn entry(server: &str, is_leaving: bool) -> ServerEntry {
    ServerEntry {
        server: server.into(),
        service: "svc".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: "z".into(),
        slots: 6,
        stage: ServerStage::Plain,
        software: "v1".into(),
        is_leaving,
        started_at: None,
    }
}

fn with_start(entry: ServerEntry, start_ms: u64) -> ServerEntry {
    let started_at = Some(SystemTime::UNIX_EPOCH + Duration::from_millis(start_ms));
    ServerEntry { started_at, ..entry }
}

fn available(fleet: &Fleet, now: Instant) -> Vec<String> {
    let mut available: Vec<String> = fleet
        .available_servers("svc", now)
        .map(|(server_state, _)| server_state.entry.server.to_string())
        .collect();
    available.sort();
    available
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Ready(&'static str, u64),
    Leaving(&'static str, u64),
    Removed(&'static str, u64),
    /// A row of the incarnation that started at the last number, in milliseconds.
    ReadySince(&'static str, u64, u64),
    LeavingSince(&'static str, u64, u64),
    Unreadable(&'static str, u64),
    Misdirected(&'static str),
    ListedUnreadable(&'static str, u64),
    Listed(&'static [(&'static str, u64)], u64),
    StoreAvailable,
    PeerStoreStable(u64),
    Wait(u64),
}

#[test]
fn rows_in_any_order() {
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        available: &'static [&'static str],
    }
    use Step::*;
    let cases = [
        Case { name: "joined", steps: &[Ready("a", 1), Ready("b", 2)], available: &["a", "b"] },
        Case { name: "announced", steps: &[Ready("a", 1), Leaving("a", 2)], available: &[] },
        Case {
            name: "a late row does not undo the announcement",
            steps: &[Ready("a", 1), Leaving("a", 3), Ready("a", 2), Ready("a", 4)],
            available: &[],
        },
        Case { name: "removed", steps: &[Ready("a", 1), Removed("a", 2)], available: &[] },
        Case {
            name: "removed servers are remembered longer than the store's history",
            steps: &[Ready("a", 1), Removed("a", 3), Wait(50_000), Ready("a", 2)],
            available: &[],
        },
        Case {
            name: "removed servers are forgotten eventually",
            steps: &[Ready("a", 1), Removed("a", 3), Wait(61_000), Ready("a", 2)],
            available: &["a"],
        },
        Case {
            name: "a late row does not add a removed server again",
            steps: &[Ready("a", 1), Removed("a", 5), Ready("a", 3)],
            available: &[],
        },
        Case {
            name: "a newer row adds a removed server again",
            steps: &[Ready("a", 1), Removed("a", 5), Ready("a", 6)],
            available: &["a"],
        },
        Case {
            name: "a listing older than a row does not remove it",
            steps: &[Ready("a", 1), Ready("b", 9), Listed(&[("a", 1)], 5)],
            available: &["a", "b"],
        },
        Case {
            name: "a listing after dropped history removes immediately",
            steps: &[Ready("a", 1), Ready("b", 2), Listed(&[("a", 1)], 5)],
            available: &["a"],
        },
        Case {
            name: "missing after an outage: may only have expired",
            steps: &[Ready("a", 1), Ready("b", 2), StoreAvailable, Listed(&[], 5)],
            available: &["a", "b"],
        },
        Case {
            name: "back within the grace period",
            steps: &[Ready("a", 1), StoreAvailable, Listed(&[], 5), Ready("a", 6), Wait(5000)],
            available: &["a"],
        },
        Case {
            name: "still missing two seconds later: removed",
            steps: &[Ready("a", 1), StoreAvailable, Listed(&[], 5), Wait(2300)],
            available: &[],
        },
        // This gateway's path to the store is cut for 12 s, and a server drains and is removed in
        // that time. The peers know of it. With a grace period, the server would get requests from
        // this gateway 3.4 s after the store has acknowledged its departure.
        Case {
            name: "a peer has read the store throughout: removed",
            steps: &[Ready("a", 1), PeerStoreStable(13_000), StoreAvailable, Listed(&[], 5)],
            available: &[],
        },
        Case {
            name: "the peer reports so shortly afterwards: removed",
            steps: &[
                Ready("a", 1),
                StoreAvailable,
                Listed(&[], 5),
                PeerStoreStable(13_000),
                Wait(100),
            ],
            available: &[],
        },
        Case {
            name: "the peer had an outage too, long enough ago: removed",
            steps: &[
                Ready("a", 1),
                PeerStoreStable(2300),
                StoreAvailable,
                Listed(&[], 5),
                Wait(100),
            ],
            available: &[],
        },
        Case {
            name: "the store has just become available to the peer too: may have expired",
            steps: &[
                Ready("a", 1),
                PeerStoreStable(1000),
                StoreAvailable,
                Listed(&[], 5),
                Wait(100),
            ],
            available: &["a"],
        },
        Case {
            name: "an announced departure is kept over an outage",
            steps: &[Ready("a", 1), Leaving("a", 2), StoreAvailable, Listed(&[], 5)],
            available: &[],
        },
        Case {
            name: "removed again long after an outage",
            steps: &[Ready("a", 1), StoreAvailable, Wait(3000), Removed("a", 9)],
            available: &[],
        },
        // A server announces its departure, ends, and is started again under its id. Mistaken for
        // the incarnation that drained, it would never get requests again.
        Case {
            name: "started again after its departure",
            steps: &[LeavingSince("a", 1, 100), ReadySince("a", 2, 200)],
            available: &["a"],
        },
        Case {
            name: "started again after its removal",
            steps: &[ReadySince("a", 1, 100), Removed("a", 2), ReadySince("a", 3, 200)],
            available: &["a"],
        },
        // A write of the earlier incarnation is applied seconds after it was sent.
        Case {
            name: "a late row of the earlier incarnation",
            steps: &[ReadySince("a", 1, 200), LeavingSince("a", 2, 100)],
            available: &["a"],
        },
        Case {
            name: "a late row of an incarnation before the removed one",
            steps: &[ReadySince("a", 1, 200), Removed("a", 2), ReadySince("a", 3, 100)],
            available: &[],
        },
        // A server crashes and another one starts at its address. The row stays until its
        // heartbeats are missed. Each request sent there is rejected and counts as a retry, until
        // the limit on retries is exceeded.
        Case {
            name: "another server is at its address",
            steps: &[Ready("a", 1), Ready("b", 2), Misdirected("a"), Wait(2000)],
            available: &["b"],
        },
        Case {
            name: "available again after its next row",
            steps: &[Ready("a", 1), Misdirected("a"), Ready("a", 3)],
            available: &["a"],
        },
        // A gateway that receives rows from its peers receives none that is unchanged: one stray
        // response would keep the server unavailable permanently.
        Case {
            name: "a server that states it is another one, and whose row is unchanged",
            steps: &[Ready("a", 1), Misdirected("a"), Wait(4900)],
            available: &[],
        },
        Case {
            name: "used again once a row that is not renewed would be gone",
            steps: &[Ready("a", 1), Misdirected("a"), Wait(5100)],
            available: &["a"],
        },
        // A row of another writer under a server's id: it is unknown whether the server is there,
        // and its next heartbeat shows it.
        Case {
            name: "an unreadable row",
            steps: &[Ready("a", 1), Ready("b", 2), Unreadable("a", 3)],
            available: &["b"],
        },
        Case {
            name: "available again after the next readable row",
            steps: &[Ready("a", 1), Unreadable("a", 3), Ready("a", 4)],
            available: &["a"],
        },
        Case {
            name: "an older unreadable row",
            steps: &[Ready("a", 4), Unreadable("a", 3)],
            available: &["a"],
        },
        Case {
            name: "listed with an unreadable row: neither removed nor used",
            steps: &[Ready("a", 1), ListedUnreadable("a", 3), Ready("a", 4)],
            available: &["a"],
        },
        Case {
            name: "unknown, with an unreadable row",
            steps: &[ListedUnreadable("a", 3)],
            available: &[],
        },
    ];
    for case in cases {
        let mut now = Instant::now();
        let mut fleet = Fleet::default();
        for step in case.steps {
            match *step {
                Ready(server, version) => {
                    fleet.upsert(entry(server, false), stamp(version));
                }
                Leaving(server, version) => {
                    fleet.upsert(entry(server, true), stamp(version));
                }
                Removed(server, version) => {
                    fleet.remove(server, stamp(version), now);
                }
                Listed(servers, version) => {
                    let entries = servers
                        .iter()
                        .map(|(server, row_version)| (entry(server, false), stamp(*row_version)))
                        .collect();
                    let listing = ServerListing { entries, unreadable: Vec::new() };
                    fleet.replace(listing, stamp(version), now);
                }
                ReadySince(server, version, start) => {
                    fleet.upsert(with_start(entry(server, false), start), stamp(version));
                }
                LeavingSince(server, version, start) => {
                    fleet.upsert(with_start(entry(server, true), start), stamp(version));
                }
                Misdirected(server) => {
                    let incarnation = fleet.server(server).expect("a known server").incarnation;
                    fleet.record_outcome(server, incarnation, ServerOutcome::Misdirected, now);
                }
                Unreadable(server, version) => fleet.record_unreadable(server, stamp(version)),
                ListedUnreadable(server, version) => {
                    let unreadable = vec![(server.into(), stamp(version))];
                    let listing = ServerListing { entries: Vec::new(), unreadable };
                    fleet.replace(listing, stamp(version), now);
                }
                StoreAvailable => fleet.record_store_available(now),
                PeerStoreStable(millis) => {
                    let store_stable_for = Duration::from_millis(millis);
                    let update = PeerUpdate { store_stable_for, ..PeerUpdate::default() };
                    fleet.peers.record("peer", 1, 1, update, now);
                }
                Wait(millis) => {
                    now += Duration::from_millis(millis);
                    fleet.tick(now);
                }
            }
        }
        assert_eq!(available(&fleet, now), case.available, "{}", case.name);
    }
}

#[test]
fn changes_are_reported_once() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    assert_eq!(fleet.upsert(entry("a", false), stamp(1)), Some(FleetChange::Joined("a".into())));
    assert_eq!(fleet.upsert(entry("a", false), stamp(2)), None);
    assert_eq!(fleet.upsert(entry("a", true), stamp(3)), Some(FleetChange::Leaving("a".into())));
    assert_eq!(fleet.upsert(entry("a", true), stamp(4)), None);
    assert_eq!(fleet.remove("a", stamp(5), now), Some(FleetChange::Removed("a".into())));
    assert_eq!(fleet.remove("a", stamp(6), now), None);
}

/// Prevents a restarted server from being judged by its previous incarnation. A server crashes with
/// streams in progress and is started again immediately, under its id and at its address. Judged by
/// the state of the previous process, it would look full until the callers of those streams
/// disconnect, be ejected for failures it has not caused, and look busy because of reports from
/// peers. No earlier state counts for it, and neither does earlier work that ends late.
#[test]
fn a_new_incarnation_starts_without_prior_state() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    fleet.upsert(with_start(entry("a", false), 100), stamp(1));
    let work = LoadShare { running: 5, ..LoadShare::default() };
    let earlier = fleet.add_load("a", work, now).expect("a known server");
    fleet.record_outcome("a", earlier, ServerOutcome::Unreachable, now);
    fleet.begin_stage_change("a", ServerStage::Decode, now);
    let update = PeerUpdate {
        loads: vec![(earlier, work)],
        ejected: [earlier].into_iter().collect(),
        ..PeerUpdate::default()
    };
    fleet.peers.record("peer", 1, 1, update, now);
    let change = fleet.upsert(with_start(entry("a", false), 200), stamp(2));
    assert_eq!(change, Some(FleetChange::Restarted("a".into())));
    fleet.remove_load("a", earlier, work);
    fleet.record_outcome("a", earlier, ServerOutcome::Unreachable, now);
    let (server_state, peers) =
        fleet.available_servers("svc", now).next().expect("an available server");
    assert_ne!(server_state.incarnation, earlier);
    assert_eq!(fleet.load(server_state, now), LoadShare::default());
    assert_eq!((peers.ejections, server_state.health.is_ejected(now)), (0, false));
    let later = fleet.add_load("a", work, now).expect("a known server");
    fleet.replace_load("a", earlier, work, LoadShare::default());
    fleet.remove_load("a", earlier, work);
    assert_eq!(
        fleet.load(fleet.server("a").unwrap(), now),
        work,
        "the load of the new incarnation is unchanged"
    );
    fleet.remove_load("a", later, work);
    assert_eq!(fleet.load(fleet.server("a").unwrap(), now), LoadShare::default());
}

/// Prevents a restarted gateway from getting no full report because its previous incarnation
/// has received one.
#[test]
fn peer_reports_are_known_by_incarnation() {
    let mut fleet = Fleet::new(0);
    let now = Instant::now();
    assert!(!fleet.peers.has_report("gw-1", 7));
    fleet.peers.record("gw-1", 7, 1, PeerUpdate::default(), now);
    assert!(fleet.peers.has_report("gw-1", 7));
    assert!(!fleet.peers.has_report("gw-1", 8));
    fleet.tick(now + Duration::from_secs(6));
    assert!(!fleet.peers.has_report("gw-1", 7), "a stale report is dropped");
}

/// Prevents the table from growing without bound as servers leave, and a departure from being
/// dropped before the retention period ends.
#[test]
fn departures_of_unlisted_servers_expire() {
    let start = Instant::now();
    let mut fleet = Fleet::new(0);
    fleet.upsert(entry("a", false), stamp(1));
    let server = fleet.server("a").expect("a known server").incarnation;
    assert!(fleet.departures.record(server, start));
    assert!(!fleet.departures.record(server, start), "already recorded");
    let after = |seconds| start + Duration::from_secs(seconds);
    fleet.tick(after(300));
    fleet.remove("a", stamp(2), after(301));
    fleet.tick(after(330));
    assert!(fleet.departures.contains(server));
    fleet.tick(after(400));
    assert!(!fleet.departures.contains(server));
}

/// Prevents a stated departure from being withdrawn by the server's row, and from being applied
/// to the server's next incarnation.
#[test]
fn stated_departures_outlive_rows() {
    let now = Instant::now();
    let mut fleet = Fleet::new(0);
    fleet.upsert(with_start(entry("a", false), 100), stamp(1));
    fleet.upsert(with_start(entry("b", false), 100), stamp(1));
    let server = fleet.server("a").expect("a known server").incarnation;
    assert_eq!(fleet.record_departure(server, now), Some(FleetChange::Leaving("a".into())));
    assert_eq!(fleet.record_departure(server, now), None, "already recorded");
    assert_eq!(available(&fleet, now), ["b"]);
    fleet.upsert(with_start(entry("a", false), 100), stamp(2));
    assert_eq!(available(&fleet, now), ["b"], "after a row update without the departure");
    fleet.remove("a", stamp(3), now);
    fleet.upsert(with_start(entry("a", false), 100), stamp(4));
    assert_eq!(available(&fleet, now), ["b"], "after its row was removed and added again");
    fleet.upsert(with_start(entry("a", false), 200), stamp(5));
    assert_eq!(available(&fleet, now), ["a", "b"], "after a restart");
}

/// Prevents a departure from being lost when a peer reports it before the server is listed here.
#[test]
fn departures_are_kept_for_servers_listed_later() {
    let now = Instant::now();
    let mut fleet = Fleet::new(0);
    let server = with_start(entry("a", false), 100);
    assert_eq!(fleet.record_departure(server.incarnation(), now), None);
    assert_eq!(fleet.upsert(server, stamp(1)), None);
    assert!(available(&fleet, now).is_empty());
}
