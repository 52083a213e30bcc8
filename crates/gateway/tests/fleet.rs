//! What is believed of the servers, from the store's rows in any order.

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

fn entry(server: &str, is_leaving: bool) -> ServerEntry {
    ServerEntry {
        server: server.into(),
        service: "svc".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: "z".into(),
        slots: 6,
        stage: ServerStage::Plain,
        is_leaving,
        started_at: None,
    }
}

fn since(entry: ServerEntry, start_ms: u64) -> ServerEntry {
    let started_at = Some(SystemTime::UNIX_EPOCH + Duration::from_millis(start_ms));
    ServerEntry { started_at, ..entry }
}

fn open(fleet: &Fleet, now: Instant) -> Vec<String> {
    let mut open: Vec<String> = fleet
        .open_servers("svc", now)
        .map(|(server_state, _)| server_state.entry.server.to_string())
        .collect();
    open.sort();
    open
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Ready(&'static str, u64),
    Leaving(&'static str, u64),
    Removed(&'static str, u64),
    /// A row of the start at the last number, in milliseconds.
    ReadySince(&'static str, u64, u64),
    LeavingSince(&'static str, u64, u64),
    Unreadable(&'static str, u64),
    Misdirected(&'static str),
    ListedUnreadable(&'static str, u64),
    Listed(&'static [(&'static str, u64)], u64),
    Regained,
    PeerCalm(u64),
    Wait(u64),
}

#[test]
fn rows_in_any_order() {
    struct Case {
        name: &'static str,
        steps: &'static [Step],
        open: &'static [&'static str],
    }
    use Step::*;
    let cases = [
        Case { name: "joined", steps: &[Ready("a", 1), Ready("b", 2)], open: &["a", "b"] },
        Case { name: "announced", steps: &[Ready("a", 1), Leaving("a", 2)], open: &[] },
        Case {
            name: "a late row does not undo the announcement",
            steps: &[Ready("a", 1), Leaving("a", 3), Ready("a", 2), Ready("a", 4)],
            open: &[],
        },
        Case { name: "removed", steps: &[Ready("a", 1), Removed("a", 2)], open: &[] },
        Case {
            name: "removed servers are remembered longer than the store's history",
            steps: &[Ready("a", 1), Removed("a", 3), Wait(50_000), Ready("a", 2)],
            open: &[],
        },
        Case {
            name: "and forgotten in the end",
            steps: &[Ready("a", 1), Removed("a", 3), Wait(61_000), Ready("a", 2)],
            open: &["a"],
        },
        Case {
            name: "a late row does not bring a removed server back",
            steps: &[Ready("a", 1), Removed("a", 5), Ready("a", 3)],
            open: &[],
        },
        Case {
            name: "a newer row does",
            steps: &[Ready("a", 1), Removed("a", 5), Ready("a", 6)],
            open: &["a"],
        },
        Case {
            name: "a listing older than a row does not remove it",
            steps: &[Ready("a", 1), Ready("b", 9), Listed(&[("a", 1)], 5)],
            open: &["a", "b"],
        },
        Case {
            name: "a listing after dropped history removes at once",
            steps: &[Ready("a", 1), Ready("b", 2), Listed(&[("a", 1)], 5)],
            open: &["a"],
        },
        Case {
            name: "missing after an outage: may only have lapsed",
            steps: &[Ready("a", 1), Ready("b", 2), Regained, Listed(&[], 5)],
            open: &["a", "b"],
        },
        Case {
            name: "back in time",
            steps: &[Ready("a", 1), Regained, Listed(&[], 5), Ready("a", 6), Wait(5000)],
            open: &["a"],
        },
        Case {
            name: "still missing two seconds later: gone",
            steps: &[Ready("a", 1), Regained, Listed(&[], 5), Wait(2300)],
            open: &[],
        },
        // Our own path to the store was cut for 12 s; a server left and was
        // removed in that time. The other gateways knew; kept for a grace,
        // it got work from us 3.4 s after the store had acknowledged that
        // it leaves.
        Case {
            name: "another gateway has read the store all the while: gone",
            steps: &[Ready("a", 1), PeerCalm(13_000), Regained, Listed(&[], 5)],
            open: &[],
        },
        Case {
            name: "it tells so soon after",
            steps: &[Ready("a", 1), Regained, Listed(&[], 5), PeerCalm(13_000), Wait(100)],
            open: &[],
        },
        Case {
            name: "the other gateway had an outage too, long enough ago: gone",
            steps: &[Ready("a", 1), PeerCalm(2300), Regained, Listed(&[], 5), Wait(100)],
            open: &[],
        },
        Case {
            name: "the other gateway has just regained the store too: may have lapsed",
            steps: &[Ready("a", 1), PeerCalm(1000), Regained, Listed(&[], 5), Wait(100)],
            open: &["a"],
        },
        Case {
            name: "an announcement is not forgotten over an outage",
            steps: &[Ready("a", 1), Leaving("a", 2), Regained, Listed(&[], 5)],
            open: &[],
        },
        Case {
            name: "removed again long after an outage",
            steps: &[Ready("a", 1), Regained, Wait(3000), Removed("a", 9)],
            open: &[],
        },
        // A server announced its leaving, ended, and was started again under
        // its id. Taken for the one that leaves, it would get no work for good.
        Case {
            name: "started again after its leaving",
            steps: &[LeavingSince("a", 1, 100), ReadySince("a", 2, 200)],
            open: &["a"],
        },
        Case {
            name: "started again after its removal",
            steps: &[ReadySince("a", 1, 100), Removed("a", 2), ReadySince("a", 3, 200)],
            open: &["a"],
        },
        // A write of the earlier start is performed seconds after it was sent.
        Case {
            name: "late news of the earlier start",
            steps: &[ReadySince("a", 1, 200), LeavingSince("a", 2, 100)],
            open: &["a"],
        },
        Case {
            name: "late news of a start before the removed one",
            steps: &[ReadySince("a", 1, 200), Removed("a", 2), ReadySince("a", 3, 100)],
            open: &[],
        },
        // A server crashes and another starts at its address; the row stays
        // until its heartbeats are missed. Each send there is rejected and
        // counts as a repeat, until the bound on them is broken.
        Case {
            name: "another server is at its address",
            steps: &[Ready("a", 1), Ready("b", 2), Misdirected("a"), Wait(2000)],
            open: &["b"],
        },
        Case {
            name: "until its next row",
            steps: &[Ready("a", 1), Misdirected("a"), Ready("a", 3)],
            open: &["a"],
        },
        // A gateway that is told of rows by others hears of none that says the
        // same as before: one stray answer would keep the server out for good.
        Case {
            name: "a server that says it is another, and whose row stays as it is",
            steps: &[Ready("a", 1), Misdirected("a"), Wait(4900)],
            open: &[],
        },
        Case {
            name: "it is tried again once a row that nobody renews would be gone",
            steps: &[Ready("a", 1), Misdirected("a"), Wait(5100)],
            open: &["a"],
        },
        // Another writer's row under a server's id: nobody knows whether the
        // server is there, and its next heartbeat says so.
        Case {
            name: "a row that can't be read",
            steps: &[Ready("a", 1), Ready("b", 2), Unreadable("a", 3)],
            open: &["b"],
        },
        Case {
            name: "until the next that can",
            steps: &[Ready("a", 1), Unreadable("a", 3), Ready("a", 4)],
            open: &["a"],
        },
        Case {
            name: "an older one that can't be read",
            steps: &[Ready("a", 4), Unreadable("a", 3)],
            open: &["a"],
        },
        Case {
            name: "listed, and can't be read: not removed, not used",
            steps: &[Ready("a", 1), ListedUnreadable("a", 3), Ready("a", 4)],
            open: &["a"],
        },
        Case {
            name: "never known, and can't be read",
            steps: &[ListedUnreadable("a", 3)],
            open: &[],
        },
    ];
    for case in cases {
        let mut now = Instant::now();
        let mut fleet = Fleet::default();
        for step in case.steps {
            match *step {
                Ready(server, version) => {
                    fleet.upsert(entry(server, false), version);
                }
                Leaving(server, version) => {
                    fleet.upsert(entry(server, true), version);
                }
                Removed(server, version) => {
                    fleet.remove(server, version, now);
                }
                Listed(servers, version) => {
                    let entries =
                        servers.iter().map(|(server, at)| (entry(server, false), *at)).collect();
                    let listing = ServerListing { entries, unreadable: Vec::new() };
                    fleet.replace(listing, version, now);
                }
                ReadySince(server, version, start) => {
                    fleet.upsert(since(entry(server, false), start), version);
                }
                LeavingSince(server, version, start) => {
                    fleet.upsert(since(entry(server, true), start), version);
                }
                Misdirected(server) => {
                    let at = fleet.server(server).expect("a known server").incarnation;
                    fleet.note(server, at, ServerOutcome::Misdirected, now);
                }
                Unreadable(server, version) => fleet.note_unreadable(server, version),
                ListedUnreadable(server, version) => {
                    let unreadable = vec![(server.into(), version)];
                    let listing = ServerListing { entries: Vec::new(), unreadable };
                    fleet.replace(listing, version, now);
                }
                Regained => fleet.store_regained(now),
                PeerCalm(millis) => {
                    let store_stable_for = Duration::from_millis(millis);
                    let news = PeerUpdate { store_stable_for, ..PeerUpdate::default() };
                    fleet.peers.record("peer", 1, 1, news, now);
                }
                Wait(millis) => {
                    now += Duration::from_millis(millis);
                    fleet.tick(now);
                }
            }
        }
        assert_eq!(open(&fleet, now), case.open, "{}", case.name);
    }
}

#[test]
fn changes_are_told_once() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    assert_eq!(fleet.upsert(entry("a", false), 1), Some(FleetChange::Joined("a".into())));
    assert_eq!(fleet.upsert(entry("a", false), 2), None);
    assert_eq!(fleet.upsert(entry("a", true), 3), Some(FleetChange::Leaving("a".into())));
    assert_eq!(fleet.upsert(entry("a", true), 4), None);
    assert_eq!(fleet.remove("a", 5, now), Some(FleetChange::Removed("a".into())));
    assert_eq!(fleet.remove("a", 6, now), None);
}

/// A server crashes with streams at work and is started again at once, under
/// its id and at its address. Judged by what was known of the process before,
/// it would look full until those streams' callers left, be passed over for
/// failures that it never made, and be told by other gateways' reports to be
/// busy. Nothing of before counts for it, and what ends late is not its own.
#[test]
fn a_new_start_begins_with_nothing() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    fleet.upsert(since(entry("a", false), 100), 1);
    let work = LoadShare { running: 5, ..LoadShare::default() };
    let earlier = fleet.begin("a", work, now).expect("a known server");
    fleet.note("a", earlier, ServerOutcome::Unreachable, now);
    fleet.begin_change("a", ServerStage::Decode, now);
    let news = PeerUpdate {
        loads: vec![(earlier, work)],
        ejected: [earlier].into_iter().collect(),
        ..PeerUpdate::default()
    };
    fleet.peers.record("peer", 1, 1, news, now);
    let change = fleet.upsert(since(entry("a", false), 200), 2);
    assert_eq!(change, Some(FleetChange::Restarted("a".into())));
    fleet.end("a", earlier, work);
    fleet.note("a", earlier, ServerOutcome::Unreachable, now);
    let (server_state, others) = fleet.open_servers("svc", now).next().expect("open to new work");
    assert_ne!(server_state.incarnation, earlier);
    assert_eq!(fleet.load(server_state, now), LoadShare::default());
    assert_eq!((others.ejections, server_state.health.is_aside(now)), (0, false));
    let later = fleet.begin("a", work, now).expect("a known server");
    fleet.change("a", earlier, work, LoadShare::default());
    fleet.end("a", earlier, work);
    assert_eq!(fleet.load(fleet.server("a").unwrap(), now), work, "counts of the new start stay");
    fleet.end("a", later, work);
    assert_eq!(fleet.load(fleet.server("a").unwrap(), now), LoadShare::default());
}

/// Guards against a restarted gateway that gets no full report because its previous
/// incarnation had got one.
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

/// Guards against a table that grows without bound as servers leave, and against a
/// departure that is dropped before the retention period ends.
#[test]
fn departures_of_unlisted_servers_expire() {
    let start = Instant::now();
    let mut fleet = Fleet::new(0);
    fleet.upsert(entry("a", false), 1);
    let server = fleet.server("a").expect("a known server").incarnation;
    assert!(fleet.departures.note(server, start));
    assert!(!fleet.departures.note(server, start), "already recorded");
    let after = |seconds| start + Duration::from_secs(seconds);
    fleet.tick(after(300));
    fleet.remove("a", 2, after(301));
    fleet.tick(after(330));
    assert!(fleet.departures.contains(server));
    fleet.tick(after(400));
    assert!(!fleet.departures.contains(server));
}

/// Guards against a stated departure that the server's row withdraws, and against one that
/// is applied to the server's next incarnation.
#[test]
fn stated_departures_outlive_rows() {
    let now = Instant::now();
    let mut fleet = Fleet::new(0);
    fleet.upsert(since(entry("a", false), 100), 1);
    fleet.upsert(since(entry("b", false), 100), 1);
    let server = fleet.server("a").expect("a known server").incarnation;
    assert_eq!(fleet.note_departure(server, now), Some(FleetChange::Leaving("a".into())));
    assert_eq!(fleet.note_departure(server, now), None, "already recorded");
    assert_eq!(open(&fleet, now), ["b"]);
    fleet.upsert(since(entry("a", false), 100), 2);
    assert_eq!(open(&fleet, now), ["b"], "after a row update without the departure");
    fleet.remove("a", 3, now);
    fleet.upsert(since(entry("a", false), 100), 4);
    assert_eq!(open(&fleet, now), ["b"], "after its row was removed and added again");
    fleet.upsert(since(entry("a", false), 200), 5);
    assert_eq!(open(&fleet, now), ["a", "b"], "after a restart");
}

/// Guards against a departure that is lost when another gateway reports it before the
/// server is listed here.
#[test]
fn departures_are_kept_for_servers_listed_later() {
    let now = Instant::now();
    let mut fleet = Fleet::new(0);
    let server = since(entry("a", false), 100);
    assert_eq!(fleet.note_departure(server.incarnation(), now), None);
    assert_eq!(fleet.upsert(server, 1), None);
    assert!(open(&fleet, now).is_empty());
}
