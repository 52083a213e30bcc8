//! Backoffs that servers request when they reject requests.

use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::Fleet;
use umberglade_gateway::cluster::PlacementRequest;
use umberglade_gateway::cluster::ServerBackoffs;
use umberglade_gateway::cluster::place_plain;
use umberglade_gateway::model::DomainKey;
use umberglade_gateway::model::ServerEntry;
use umberglade_gateway::model::ServerIncarnation;
use umberglade_gateway::model::ServerStage;
use umberglade_gateway::model::StoreStamp;

/// Returns the stamp with `version` of a store that has never come back from a copy.
fn stamp(version: u64) -> StoreStamp {
    StoreStamp::new(0, version)
}

const LOCAL: u64 = 11;
const PEER: u64 = 12;
const SERVER: u64 = 7;

fn entry(server: &str) -> ServerEntry {
    ServerEntry {
        server: server.into(),
        service: "svc".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: "z".into(),
        slots: 6,
        stage: ServerStage::Plain,
        software: "v1".into(),
        is_leaving: false,
        started_at: None,
    }
}

/// Returns the fleet of `local_gateway` with one server, and the incarnation of that server.
fn fleet(local_gateway: u64) -> (Fleet, ServerIncarnation) {
    let mut fleet = Fleet::new(local_gateway);
    fleet.set_gateways(2);
    fleet.upsert(entry("a"), stamp(1));
    let server = fleet.server("a").expect("a known server").incarnation;
    (fleet, server)
}

fn is_placed(fleet: &Fleet, now: Instant) -> bool {
    let domain: DomainKey = "z".into();
    let request = PlacementRequest {
        service: "svc",
        gateway: LOCAL,
        domain: &domain,
        tried: &[],
        software: None,
        now,
    };
    place_plain(fleet, &request).is_ok()
}

/// Prevents a later rejection with a shorter delay from ending a backoff early.
#[test]
fn a_backoff_ends_at_the_latest_requested_time() {
    struct Case {
        name: &'static str,
        /// Arrival time and requested delay of each rejection, in milliseconds.
        rejections: &'static [(u64, u64)],
        until_ms: u64,
    }
    let cases = [
        Case { name: "one rejection", rejections: &[(0, 3000)], until_ms: 3000 },
        Case {
            name: "a shorter delay later",
            rejections: &[(0, 3000), (500, 1000)],
            until_ms: 3000,
        },
        Case {
            name: "a longer delay later",
            rejections: &[(0, 1000), (500, 3000)],
            until_ms: 3500,
        },
        Case {
            name: "after the first backoff",
            rejections: &[(0, 100), (500, 200)],
            until_ms: 700,
        },
    ];
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    for case in cases {
        let mut backoffs = ServerBackoffs::default();
        for (arrived, delay) in case.rejections {
            backoffs.record(SERVER, LOCAL, at(arrived + delay), at(*arrived));
        }
        let until = at(case.until_ms);
        let before = until - Duration::from_millis(1);
        assert_eq!(backoffs.until(SERVER, LOCAL, before), Some(until), "{}", case.name);
        assert_eq!(backoffs.until(SERVER, LOCAL, until), None, "{}", case.name);
        assert_eq!(backoffs.until(SERVER, PEER, before), None, "{}", case.name);
        backoffs.tick(|_| true, until);
        assert!(backoffs.is_empty(), "{}", case.name);
    }
}

/// Prevents requests from being placed or sent during a backoff.
#[test]
fn no_request_is_sent_during_a_backoff() {
    let now = Instant::now();
    let (mut fleet, server) = fleet(LOCAL);
    let until = now + Duration::from_secs(3);
    assert!(is_placed(&fleet, now));
    assert!(fleet.record_backoff(server, Duration::from_secs(3), now));
    for at in [now, until - Duration::from_millis(1)] {
        assert!(!is_placed(&fleet, at));
        assert!(!fleet.take_send_token(server, at));
        assert_eq!(fleet.next_send_at("svc", |_| true, at), Some(until));
    }
    assert!(is_placed(&fleet, until) && fleet.take_send_token(server, until));
}

/// Prevents a gateway from sending requests during a backoff after a restart.
#[test]
fn a_restarted_gateway_learns_its_backoffs_from_peers() {
    let now = Instant::now();
    let (mut before, server) = fleet(LOCAL);
    before.record_backoff(server, Duration::from_secs(3), now);
    let (mut peer, _) = fleet(PEER);
    for update in before.backoff_updates(false, &[], now) {
        assert!(!peer.apply_peer_backoff(update, now), "the backoff of a peer was applied");
    }
    assert!(is_placed(&peer, now));
    let later = now + Duration::from_secs(1);
    assert!(peer.backoff_updates(true, &[], later).is_empty(), "reports the backoff of a peer");
    let (mut restarted, _) = fleet(LOCAL);
    for update in peer.backoff_updates(true, &[LOCAL], later) {
        assert!(restarted.apply_peer_backoff(update, later));
    }
    assert!(!is_placed(&restarted, now + Duration::from_millis(2990)));
    assert!(is_placed(&restarted, now + Duration::from_millis(3010)));
}

/// Prevents reports from exceeding the maximum datagram size while hundreds of servers leave or
/// request a backoff.
#[test]
fn reports_of_many_departures_and_backoffs_fit() {
    const SERVERS: u64 = 890;
    const MAX_BYTES: usize = 8192 * 3 / 8;
    let now = Instant::now();
    let mut fleet = Fleet::new(u64::MAX);
    for server in 0..SERVERS {
        fleet.record_backoff(u64::MAX - server, Duration::from_secs(3600), now);
        fleet.record_departure(u64::MAX - server, now);
    }
    let updates = (fleet.backoff_updates(true, &[], now), fleet.departures.updates(true, now));
    let bytes = postcard::to_allocvec(&updates).expect("plain fields").len();
    assert!(!updates.0.is_empty() && !updates.1.is_empty());
    assert!(bytes <= MAX_BYTES, "{bytes} bytes of departures and backoffs");
}
