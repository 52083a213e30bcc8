//! Where work goes, as tables of cases.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::Fleet;
use umberglade_gateway::cluster::LoadShare;
use umberglade_gateway::cluster::PeerUpdate;
use umberglade_gateway::cluster::PlacementError;
use umberglade_gateway::cluster::PlacementRequest;
use umberglade_gateway::cluster::ServerOutcome;
use umberglade_gateway::cluster::place_engine;
use umberglade_gateway::cluster::place_plain;
use umberglade_gateway::cluster::server_digest;
use umberglade_gateway::model::DomainKey;
use umberglade_gateway::model::EngineSpec;
use umberglade_gateway::model::PromptShape;
use umberglade_gateway::model::ServerEntry;
use umberglade_gateway::model::ServerKey;
use umberglade_gateway::model::ServerStage;

const SHAPE: PromptShape =
    PromptShape { prompt_tokens: 5000, output_limit: 4000, output_estimate: Some(3500) };

fn spec() -> EngineSpec {
    EngineSpec {
        slots: 16,
        kv_tokens: 76_702,
        handle_ttl: Duration::from_millis(500),
        tokens_per_event: 50,
    }
}

fn entry(server: &str, domain: &str, stage: ServerStage) -> ServerEntry {
    ServerEntry {
        server: server.into(),
        service: "svc".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: domain.into(),
        slots: 6,
        stage,
        is_leaving: false,
        started_at: None,
    }
}

fn fleet(stage: ServerStage, servers: &[(&str, &str)]) -> Fleet {
    let mut fleet = Fleet::default();
    for (at, (server, domain)) in servers.iter().enumerate() {
        fleet.upsert(entry(server, domain, stage), at as u64 + 1);
    }
    fleet
}

fn need<'a>(domain: &'a DomainKey, tried: &'a [ServerKey], now: Instant) -> PlacementRequest<'a> {
    PlacementRequest { service: "svc", gateway: server_digest("gw-1"), domain, tried, now }
}

fn calls(running: u32) -> LoadShare {
    LoadShare { running, ..LoadShare::default() }
}

fn streams(count: u32, made: u32) -> LoadShare {
    LoadShare {
        running: count,
        prompt_tokens: count * 5000,
        output_tokens: count * 3500,
        made_tokens: count * made,
    }
}

fn note(fleet: &mut Fleet, server: &str, outcome: ServerOutcome, now: Instant) {
    fleet.note(server, server_digest(server), outcome, now);
}

/// One change to a fleet of three plain servers, `a` in our own domain.
#[derive(Debug, Clone, Copy)]
enum Change {
    Own(&'static str, u32),
    Peer(&'static str, u32),
    Outcome(&'static str, ServerOutcome, u32),
    PeersPassOver(&'static str, usize),
    Leaves(&'static str),
    Removed(&'static str),
}

fn apply(fleet: &mut Fleet, change: Change, now: Instant) {
    match change {
        Change::Own(server, running) => {
            fleet.begin(server, calls(running), now);
        }
        Change::Peer(server, running) => {
            let loads = [(server_digest(server), calls(running))].into();
            let news = PeerUpdate { loads, ..PeerUpdate::default() };
            fleet.peers.record("peer", 1, 1, news, now);
        }
        Change::Outcome(server, outcome, times) => {
            (0..times).for_each(|_| note(fleet, server, outcome, now));
        }
        Change::PeersPassOver(server, peers) => {
            for peer in 0..peers {
                let ejected = [server_digest(server)].into_iter().collect();
                let news = PeerUpdate { ejected, ..PeerUpdate::default() };
                fleet.peers.record(&format!("peer-{peer}"), 1, 1, news, now);
            }
        }
        Change::Leaves(server) => {
            let domain = fleet.server(server).unwrap().entry.domain.clone();
            let leaving =
                ServerEntry { is_leaving: true, ..entry(server, &domain, ServerStage::Plain) };
            fleet.upsert(leaving, 100);
        }
        Change::Removed(server) => {
            fleet.remove(server, 100, now);
        }
    }
}

#[test]
fn plain_calls() {
    struct Case {
        name: &'static str,
        changes: &'static [Change],
        expected: Result<&'static str, PlacementError>,
    }
    use Change::*;
    use ServerOutcome::*;
    let cases = [
        Case { name: "idle: the own domain", changes: &[], expected: Ok("a") },
        Case {
            name: "busy by our own work: elsewhere",
            changes: &[Own("a", 4), Own("b", 1)],
            expected: Ok("c"),
        },
        Case {
            name: "busy by other gateways' work: elsewhere",
            changes: &[Peer("a", 5), Own("c", 1)],
            expected: Ok("b"),
        },
        Case {
            name: "one failure weighs more than distance",
            changes: &[Outcome("a", Failed, 1), Own("c", 1)],
            expected: Ok("b"),
        },
        Case {
            name: "unreachable: passed over however idle",
            changes: &[Outcome("a", Unreachable, 1), Own("b", 6), Own("c", 5)],
            expected: Ok("c"),
        },
        Case {
            name: "one gateway's word makes it the last choice",
            changes: &[PeersPassOver("a", 1), Own("c", 1)],
            expected: Ok("b"),
        },
        Case {
            name: "two gateways' word is believed",
            changes: &[PeersPassOver("a", 2), Own("b", 6), Own("c", 5)],
            expected: Ok("c"),
        },
        Case {
            name: "all fail: still one of them",
            changes: &[
                Outcome("a", Unreachable, 3),
                Outcome("b", Unreachable, 3),
                Outcome("c", Unreachable, 1),
            ],
            expected: Ok("c"),
        },
        Case { name: "leaving", changes: &[Leaves("a"), Own("c", 1)], expected: Ok("b") },
        Case { name: "removed", changes: &[Removed("a"), Own("c", 1)], expected: Ok("b") },
        Case {
            name: "nobody left",
            changes: &[Leaves("a"), Leaves("b"), Removed("c")],
            expected: Err(PlacementError::NoServer),
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut fleet = fleet(ServerStage::Plain, &[("a", "own"), ("b", "far"), ("c", "far")]);
        for change in case.changes {
            apply(&mut fleet, *change, now);
        }
        let domain: DomainKey = "own".into();
        let placed = place_plain(&fleet, &need(&domain, &[], now));
        let server = placed.map(|place| place.server);
        assert_eq!(server.as_deref(), case.expected.as_deref(), "{}", case.name);
    }
}

#[test]
fn engines_by_memory() {
    struct Case {
        name: &'static str,
        load: LoadShare,
        has_room: bool,
    }
    let cases = [
        Case { name: "empty", load: LoadShare::default(), has_room: true },
        Case { name: "six that have just begun", load: streams(6, 0), has_room: true },
        Case { name: "seven that have just begun", load: streams(7, 0), has_room: true },
        // Nine whole answers would need more than may be given out, though
        // their prompts alone don't.
        Case { name: "eight that have just begun", load: streams(8, 0), has_room: false },
        // The same eight, halfway on: the first end before the last grow.
        Case { name: "eight halfway", load: streams(8, 1750), has_room: true },
        Case { name: "ten halfway", load: streams(10, 1750), has_room: false },
        Case {
            name: "sixteen small ones fill the slots",
            load: LoadShare { running: 16, prompt_tokens: 160, output_tokens: 160, made_tokens: 0 },
            has_room: false,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut fleet = fleet(ServerStage::Decode, &[("d", "own")]);
        fleet.begin("d", case.load, now);
        let domain: DomainKey = "own".into();
        let placed = place_engine(&fleet, &spec(), &SHAPE, 0, &need(&domain, &[], now));
        assert_eq!(placed.is_ok(), case.has_room, "{}: {placed:?}", case.name);
        if !case.has_room {
            assert_eq!(placed, Err(PlacementError::NoRoom));
        }
    }
}

#[test]
fn a_request_larger_than_half_an_engine_still_finds_an_empty_one() {
    let now = Instant::now();
    let fleet = fleet(ServerStage::Decode, &[("d", "own")]);
    let domain: DomainKey = "own".into();
    let huge = PromptShape { prompt_tokens: 75_000, ..SHAPE };
    assert!(place_engine(&fleet, &spec(), &huge, 0, &need(&domain, &[], now)).is_ok());
}

#[test]
fn prefill_near_its_decode_server() {
    struct Case {
        name: &'static str,
        queued_near: u32,
        expected: &'static str,
    }
    let cases = [
        Case { name: "idle", queued_near: 0, expected: "p-near" },
        Case { name: "one prompt ahead", queued_near: 5000, expected: "p-near" },
        Case { name: "two prompts ahead", queued_near: 10_000, expected: "p-far" },
    ];
    for case in cases {
        let now = Instant::now();
        let mut fleet = fleet(ServerStage::Decode, &[("d", "own")]);
        fleet.upsert(entry("p-near", "own", ServerStage::Prefill), 10);
        fleet.upsert(entry("p-far", "far", ServerStage::Prefill), 11);
        fleet.begin("p-near", LoadShare::of_prompt(case.queued_near), now);
        let domain: DomainKey = "own".into();
        let place = place_engine(&fleet, &spec(), &SHAPE, 0, &need(&domain, &[], now)).unwrap();
        assert_eq!(place.prefill.as_deref(), Some(case.expected), "{}", case.name);
    }
}

/// A decode server crashes. Its streams break, so it has no work and seems
/// the emptiest of all; each time its pause ends a burst of prompts is read
/// for it in vain. One request at a time may find out whether it is back.
#[test]
fn a_failed_server_gets_one_probe_at_a_time() {
    let begun = Instant::now();
    let mut fleet = fleet(ServerStage::Decode, &[("dead", "own"), ("busy", "own")]);
    fleet.begin("busy", streams(5, 0), begun);
    note(&mut fleet, "dead", ServerOutcome::Unreachable, begun);
    let domain: DomainKey = "own".into();
    let place = |fleet: &Fleet, now| {
        place_engine(fleet, &spec(), &SHAPE, 0, &need(&domain, &[], now)).map(|place| place.decode)
    };
    assert_eq!(place(&fleet, begun).as_deref(), Ok("busy"), "within its pause");
    let later = begun + Duration::from_secs(30);
    fleet.begin("busy", streams(1, 0), later);
    assert_eq!(place(&fleet, later).as_deref(), Ok("dead"), "the probe");
    fleet.begin("dead", streams(1, 0), later);
    assert_eq!(place(&fleet, later).as_deref(), Ok("busy"), "while the probe is out");
    note(&mut fleet, "dead", ServerOutcome::Fine, later);
    assert_eq!(place(&fleet, later).as_deref(), Ok("dead"), "proved well");
}

#[test]
fn servers_tried_before_are_left_out() {
    let now = Instant::now();
    let fleet = fleet(ServerStage::Plain, &[("a", "own"), ("b", "far")]);
    let domain: DomainKey = "own".into();
    let tried: Vec<ServerKey> = vec![Arc::from("a")];
    let placed = place_plain(&fleet, &need(&domain, &tried, now)).unwrap();
    assert_eq!(&*placed.server, "b");
}

/// Eighty gateways each get a stream within one report's time, before any
/// has heard of the others' choices. Callers would see late first tokens:
/// with one ranking for all, every prompt queues at one prefill server and
/// one decode server runs out of memory while the others idle.
#[test]
fn gateways_with_the_same_view_choose_different_servers() {
    struct SpreadCase {
        name: &'static str,
        gateways: usize,
        /// The most of them that may choose one server; a fair draw gives
        /// 5 in the worst of a hundred tries, for 39 decode servers.
        most_decode: usize,
        most_prefill: usize,
    }
    let cases = [
        SpreadCase { name: "one each", gateways: 1, most_decode: 1, most_prefill: 1 },
        SpreadCase { name: "a burst at few", gateways: 12, most_decode: 3, most_prefill: 4 },
        SpreadCase { name: "a burst at all", gateways: 80, most_decode: 7, most_prefill: 10 },
    ];
    let now = Instant::now();
    let domain: DomainKey = "z1".into();
    let mut fleet = Fleet::default();
    for at in 0..60u64 {
        let stage = if at < 39 { ServerStage::Decode } else { ServerStage::Prefill };
        fleet.upsert(entry(&format!("i-{at:08x}"), "z1", stage), at + 1);
    }
    for case in cases {
        let mut decodes: HashMap<ServerKey, usize> = HashMap::new();
        let mut prefills: HashMap<ServerKey, usize> = HashMap::new();
        for at in 0..case.gateways {
            let gateway = server_digest(&format!("front-{at}"));
            let need = PlacementRequest { gateway, ..need(&domain, &[], now) };
            let place = place_engine(&fleet, &spec(), &SHAPE, 0, &need).unwrap();
            *decodes.entry(place.decode).or_default() += 1;
            *prefills.entry(place.prefill.unwrap()).or_default() += 1;
        }
        let most = |counts: &HashMap<ServerKey, usize>| *counts.values().max().unwrap();
        assert!(most(&decodes) <= case.most_decode, "{}: {decodes:?}", case.name);
        assert!(most(&prefills) <= case.most_prefill, "{}: {prefills:?}", case.name);
    }
}

/// The preference among equal servers must not outweigh a whole request: a
/// server that another gateway is known to use is passed over for an idle
/// one, whichever this gateway prefers.
#[test]
fn preference_never_outweighs_a_request() {
    let now = Instant::now();
    let domain: DomainKey = "z1".into();
    for at in 0..50 {
        let mut fleet = fleet(ServerStage::Decode, &[("idle", "z1"), ("used", "z1")]);
        let loads = [(server_digest("used"), streams(1, 0))].into();
        fleet.peers.record("peer", 1, 1, PeerUpdate { loads, ..PeerUpdate::default() }, now);
        let gateway = server_digest(&format!("front-{at}"));
        let need = PlacementRequest { gateway, ..need(&domain, &[], now) };
        let place = place_engine(&fleet, &spec(), &SHAPE, 0, &need).unwrap();
        assert_eq!(&*place.decode, "idle", "gateway {at}");
    }
}

/// Readers fail or slow down in a burst, and prompts queue at those left. An
/// engine that generates reads a prompt more slowly, but at once: past some
/// queue it is done sooner, and the queue stops growing.
#[test]
fn an_engine_reads_for_itself_when_readers_are_behind() {
    struct QueueCase {
        name: &'static str,
        queued: [u32; 2],
        reader: Option<&'static str>,
    }
    let cases = [
        QueueCase { name: "idle", queued: [0, 9_000], reader: Some("p-0") },
        QueueCase { name: "some prompts wait", queued: [30_000, 19_000], reader: Some("p-1") },
        QueueCase { name: "one is far behind", queued: [90_000, 0], reader: Some("p-1") },
        QueueCase { name: "all are far behind", queued: [90_000, 40_000], reader: None },
    ];
    for case in cases {
        let now = Instant::now();
        let mut fleet = fleet(ServerStage::Prefill, &[("p-0", "a"), ("p-1", "a")]);
        fleet.upsert(entry("d", "a", ServerStage::Decode), 10);
        for (at, queued) in case.queued.into_iter().enumerate() {
            fleet.begin(&format!("p-{at}"), LoadShare::of_prompt(queued), now);
        }
        let domain: DomainKey = "a".into();
        let place = place_engine(&fleet, &spec(), &SHAPE, 0, &need(&domain, &[], now)).unwrap();
        assert_eq!(place.prefill.as_deref(), case.reader, "{}", case.name);
    }
}
