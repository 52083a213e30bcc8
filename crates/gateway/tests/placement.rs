//! Placement of requests, as tables of cases.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::EnginePlacement;
use umberglade_gateway::cluster::Fleet;
use umberglade_gateway::cluster::LoadShare;
use umberglade_gateway::cluster::PeerUpdate;
use umberglade_gateway::cluster::PlaceShare;
use umberglade_gateway::cluster::PlacementError;
use umberglade_gateway::cluster::PlacementRequest;
use umberglade_gateway::cluster::PlacementTurn;
use umberglade_gateway::cluster::ServerOutcome;
use umberglade_gateway::cluster::name_digest;
use umberglade_gateway::cluster::place_engine;
use umberglade_gateway::cluster::place_plain;
use umberglade_gateway::model::DomainKey;
use umberglade_gateway::model::EngineSpec;
use umberglade_gateway::model::PromptShape;
use umberglade_gateway::model::ServerEntry;
use umberglade_gateway::model::ServerKey;
use umberglade_gateway::model::ServerStage;
use umberglade_gateway::model::StoreStamp;

/// Returns the stamp with `version` of a store that has never come back from a copy.
fn stamp(version: u64) -> StoreStamp {
    StoreStamp::new(0, version)
}

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
        software: "v1".into(),
        is_leaving: false,
        started_at: None,
    }
}

fn fleet(stage: ServerStage, servers: &[(&str, &str)]) -> Fleet {
    let mut fleet = Fleet::default();
    for (at, (server, domain)) in servers.iter().enumerate() {
        fleet.upsert(entry(server, domain, stage), stamp(at as u64 + 1));
    }
    fleet
}

fn request<'a>(
    domain: &'a DomainKey,
    tried: &'a [ServerKey],
    now: Instant,
) -> PlacementRequest<'a> {
    PlacementRequest {
        service: "svc",
        gateway: name_digest("gw-1"),
        domain,
        tried,
        software: None,
        now,
    }
}

/// Places a stream that goes before those of all peers.
fn place_first(
    fleet: &Fleet,
    shape: &PromptShape,
    request: &PlacementRequest<'_>,
) -> Result<EnginePlacement, PlacementError> {
    place_engine(fleet, &spec(), shape, PlacementTurn::Ranked(0), request)
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

fn record(fleet: &mut Fleet, server: &str, outcome: ServerOutcome, now: Instant) {
    fleet.record_outcome(server, name_digest(server), outcome, now);
}

/// One change to a fleet of three plain servers, with `a` in the gateway's own failure domain.
#[derive(Debug, Clone, Copy)]
enum Change {
    LocalLoad(&'static str, u32),
    PeerLoad(&'static str, u32),
    Outcome(&'static str, ServerOutcome, u32),
    PeersEject(&'static str, usize),
    Leaving(&'static str),
    Removed(&'static str),
}

fn apply(fleet: &mut Fleet, change: Change, now: Instant) {
    match change {
        Change::LocalLoad(server, running) => {
            fleet.add_load(server, calls(running), now);
        }
        Change::PeerLoad(server, running) => {
            let loads = [(name_digest(server), calls(running))].into();
            let update = PeerUpdate { loads, ..PeerUpdate::default() };
            fleet.peers.record("peer", 1, 1, update, now);
        }
        Change::Outcome(server, outcome, times) => {
            (0..times).for_each(|_| record(fleet, server, outcome, now));
        }
        Change::PeersEject(server, peers) => {
            for peer in 0..peers {
                let ejected = [name_digest(server)].into_iter().collect();
                let update = PeerUpdate { ejected, ..PeerUpdate::default() };
                fleet.peers.record(&format!("peer-{peer}"), 1, 1, update, now);
            }
        }
        Change::Leaving(server) => {
            let domain = fleet.server(server).unwrap().entry.domain.clone();
            let leaving =
                ServerEntry { is_leaving: true, ..entry(server, &domain, ServerStage::Plain) };
            fleet.upsert(leaving, stamp(100));
        }
        Change::Removed(server) => {
            fleet.remove(server, stamp(100), now);
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
        Case { name: "idle: the local failure domain", changes: &[], expected: Ok("a") },
        Case {
            name: "loaded by this gateway: another server",
            changes: &[LocalLoad("a", 4), LocalLoad("b", 1)],
            expected: Ok("c"),
        },
        Case {
            name: "loaded by peers: another server",
            changes: &[PeerLoad("a", 5), LocalLoad("c", 1)],
            expected: Ok("b"),
        },
        Case {
            name: "one failure costs more than distance",
            changes: &[Outcome("a", Failed, 1), LocalLoad("c", 1)],
            expected: Ok("b"),
        },
        Case {
            name: "unreachable: ejected, even though it is idle",
            changes: &[Outcome("a", Unreachable, 1), LocalLoad("b", 6), LocalLoad("c", 5)],
            expected: Ok("c"),
        },
        Case {
            name: "ejected by one peer: the last choice",
            changes: &[PeersEject("a", 1), LocalLoad("c", 1)],
            expected: Ok("b"),
        },
        Case {
            name: "ejected by two peers: counts as ejected",
            changes: &[PeersEject("a", 2), LocalLoad("b", 6), LocalLoad("c", 5)],
            expected: Ok("c"),
        },
        Case {
            name: "all ejected: one of them is chosen anyway",
            changes: &[
                Outcome("a", Unreachable, 3),
                Outcome("b", Unreachable, 3),
                Outcome("c", Unreachable, 1),
            ],
            expected: Ok("c"),
        },
        Case { name: "leaving", changes: &[Leaving("a"), LocalLoad("c", 1)], expected: Ok("b") },
        Case { name: "removed", changes: &[Removed("a"), LocalLoad("c", 1)], expected: Ok("b") },
        Case {
            name: "no server available",
            changes: &[Leaving("a"), Leaving("b"), Removed("c")],
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
        let placed = place_plain(&fleet, &request(&domain, &[], now));
        let server = placed.map(|place| place.server);
        assert_eq!(server.as_deref(), case.expected.as_deref(), "{}", case.name);
    }
}

#[test]
fn engines_by_memory() {
    struct Case {
        name: &'static str,
        load: LoadShare,
        has_capacity: bool,
    }
    let cases = [
        Case { name: "empty", load: LoadShare::default(), has_capacity: true },
        Case { name: "six at their start", load: streams(6, 0), has_capacity: true },
        Case { name: "seven at their start", load: streams(7, 0), has_capacity: true },
        // With the new stream, nine complete responses would need more than the usable memory,
        // although their prompts alone do not.
        Case { name: "eight at their start", load: streams(8, 0), has_capacity: false },
        // The same eight halfway: the first of them end before the last have grown.
        Case { name: "eight halfway", load: streams(8, 1750), has_capacity: true },
        Case { name: "ten halfway", load: streams(10, 1750), has_capacity: false },
        Case {
            name: "sixteen small streams fill the slots",
            load: LoadShare { running: 16, prompt_tokens: 160, output_tokens: 160, made_tokens: 0 },
            has_capacity: false,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut fleet = fleet(ServerStage::Decode, &[("d", "own")]);
        fleet.add_load("d", case.load, now);
        let domain: DomainKey = "own".into();
        let placed = place_first(&fleet, &SHAPE, &request(&domain, &[], now));
        assert_eq!(placed.is_ok(), case.has_capacity, "{}: {placed:?}", case.name);
        if !case.has_capacity {
            assert_eq!(placed, Err(PlacementError::NoRoom));
        }
    }
}

#[test]
fn a_request_larger_than_half_an_engine_is_placed_on_an_empty_one() {
    let now = Instant::now();
    let fleet = fleet(ServerStage::Decode, &[("d", "own")]);
    let domain: DomainKey = "own".into();
    let huge = PromptShape { prompt_tokens: 75_000, ..SHAPE };
    assert!(place_first(&fleet, &huge, &request(&domain, &[], now)).is_ok());
}

#[test]
fn prefill_in_the_domain_of_the_decode_server() {
    struct Case {
        name: &'static str,
        queued_locally: u32,
        expected: &'static str,
    }
    let cases = [
        Case { name: "idle", queued_locally: 0, expected: "p-near" },
        Case { name: "one prompt queued", queued_locally: 5000, expected: "p-near" },
        Case { name: "two prompts queued", queued_locally: 10_000, expected: "p-far" },
    ];
    for case in cases {
        let now = Instant::now();
        let mut fleet = fleet(ServerStage::Decode, &[("d", "own")]);
        fleet.upsert(entry("p-near", "own", ServerStage::Prefill), stamp(10));
        fleet.upsert(entry("p-far", "far", ServerStage::Prefill), stamp(11));
        fleet.add_load("p-near", LoadShare::of_prompt(case.queued_locally), now);
        let domain: DomainKey = "own".into();
        let place = place_first(&fleet, &SHAPE, &request(&domain, &[], now)).unwrap();
        assert_eq!(place.prefill.as_deref(), Some(case.expected), "{}", case.name);
    }
}

/// Prevents bursts of requests from going to a decode server that has crashed. Its streams break,
/// so it has no load and looks like the emptiest server; each time its ejection ends, a burst of
/// prompts would be prefilled for it in vain. Only one request at a time may probe it.
#[test]
fn a_failed_server_gets_one_probe_at_a_time() {
    let start = Instant::now();
    let mut fleet = fleet(ServerStage::Decode, &[("dead", "own"), ("busy", "own")]);
    fleet.add_load("busy", streams(5, 0), start);
    record(&mut fleet, "dead", ServerOutcome::Unreachable, start);
    let domain: DomainKey = "own".into();
    let place = |fleet: &Fleet, now| {
        place_first(fleet, &SHAPE, &request(&domain, &[], now)).map(|place| place.decode)
    };
    assert_eq!(place(&fleet, start).as_deref(), Ok("busy"), "during its ejection");
    let later = start + Duration::from_secs(30);
    fleet.add_load("busy", streams(1, 0), later);
    assert_eq!(place(&fleet, later).as_deref(), Ok("dead"), "the first request after the ejection");
    fleet.add_load("dead", streams(1, 0), later);
    assert_eq!(place(&fleet, later).as_deref(), Ok("busy"), "while the probe is in progress");
    record(&mut fleet, "dead", ServerOutcome::Fine, later);
    assert_eq!(place(&fleet, later).as_deref(), Ok("dead"), "after a successful probe");
}

#[test]
fn servers_already_tried_are_skipped() {
    let now = Instant::now();
    let fleet = fleet(ServerStage::Plain, &[("a", "own"), ("b", "far")]);
    let domain: DomainKey = "own".into();
    let tried: Vec<ServerKey> = vec![Arc::from("a")];
    let placed = place_plain(&fleet, &request(&domain, &tried, now)).unwrap();
    assert_eq!(&*placed.server, "b");
}

/// Prevents gateways from all choosing the same servers. Eighty gateways each place a stream within
/// one report interval, before any of them receives reports of these placements. With the same
/// ranking at all of them, every prompt queues at one prefill server and one decode server runs out
/// of memory while the others are idle, and first tokens miss their target.
#[test]
fn gateways_with_the_same_state_choose_different_servers() {
    struct SpreadCase {
        name: &'static str,
        gateways: usize,
        /// Maximum number of gateways that may choose one server. A fair random choice gives 5 in
        /// the worst of a hundred tries, for 39 decode servers.
        max_decode: usize,
        max_prefill: usize,
    }
    let cases = [
        SpreadCase { name: "one gateway", gateways: 1, max_decode: 1, max_prefill: 1 },
        SpreadCase { name: "a burst at few gateways", gateways: 12, max_decode: 3, max_prefill: 4 },
        SpreadCase {
            name: "a burst at all gateways",
            gateways: 80,
            max_decode: 7,
            max_prefill: 10,
        },
    ];
    let now = Instant::now();
    let domain: DomainKey = "z1".into();
    let mut fleet = Fleet::default();
    for at in 0..60u64 {
        let stage = if at < 39 { ServerStage::Decode } else { ServerStage::Prefill };
        fleet.upsert(entry(&format!("i-{at:08x}"), "z1", stage), stamp(at + 1));
    }
    for case in cases {
        let mut decodes: HashMap<ServerKey, usize> = HashMap::new();
        let mut prefills: HashMap<ServerKey, usize> = HashMap::new();
        for at in 0..case.gateways {
            let gateway = name_digest(&format!("front-{at}"));
            let request = PlacementRequest { gateway, ..request(&domain, &[], now) };
            let place = place_first(&fleet, &SHAPE, &request).unwrap();
            *decodes.entry(place.decode).or_default() += 1;
            *prefills.entry(place.prefill.unwrap()).or_default() += 1;
        }
        let max_count = |counts: &HashMap<ServerKey, usize>| *counts.values().max().unwrap();
        assert!(max_count(&decodes) <= case.max_decode, "{}: {decodes:?}", case.name);
        assert!(max_count(&prefills) <= case.max_prefill, "{}: {prefills:?}", case.name);
    }
}

/// Prevents the preference among equal servers from outweighing a whole request: a server with
/// load from a peer is skipped in favour of an idle one, whichever this gateway prefers.
#[test]
fn tie_breaking_never_outweighs_a_request() {
    let now = Instant::now();
    let domain: DomainKey = "z1".into();
    for at in 0..50 {
        let mut fleet = fleet(ServerStage::Decode, &[("idle", "z1"), ("used", "z1")]);
        let loads = [(name_digest("used"), streams(1, 0))].into();
        fleet.peers.record("peer", 1, 1, PeerUpdate { loads, ..PeerUpdate::default() }, now);
        let gateway = name_digest(&format!("front-{at}"));
        let request = PlacementRequest { gateway, ..request(&domain, &[], now) };
        let place = place_first(&fleet, &SHAPE, &request).unwrap();
        assert_eq!(&*place.decode, "idle", "gateway {at}");
    }
}

/// Prevents prefill queues from growing without bound when prefill servers fail or slow down in
/// a burst. A decode server prefills a prompt more slowly, but immediately: beyond some queue
/// length it finishes sooner, and the queue stops growing.
#[test]
fn a_decode_server_prefills_when_prefill_queues_are_long() {
    struct QueueCase {
        name: &'static str,
        queued: [u32; 2],
        prefill_server: Option<&'static str>,
    }
    let cases = [
        QueueCase { name: "idle", queued: [0, 9_000], prefill_server: Some("p-0") },
        QueueCase {
            name: "some prompts queued",
            queued: [30_000, 19_000],
            prefill_server: Some("p-1"),
        },
        QueueCase { name: "one long queue", queued: [90_000, 0], prefill_server: Some("p-1") },
        QueueCase { name: "all queues long", queued: [90_000, 40_000], prefill_server: None },
    ];
    for case in cases {
        let now = Instant::now();
        let mut fleet = fleet(ServerStage::Prefill, &[("p-0", "a"), ("p-1", "a")]);
        fleet.upsert(entry("d", "a", ServerStage::Decode), stamp(10));
        for (at, queued) in case.queued.into_iter().enumerate() {
            fleet.add_load(&format!("p-{at}"), LoadShare::of_prompt(queued), now);
        }
        let domain: DomainKey = "a".into();
        let place = place_first(&fleet, &SHAPE, &request(&domain, &[], now)).unwrap();
        assert_eq!(place.prefill.as_deref(), case.prefill_server, "{}", case.name);
    }
}

/// Prevents gateways that place at the same time, without knowing of each other, from overfilling an
/// engine, and from placing one after the other while it is all but empty.
#[test]
fn shares_of_all_gateways_fit_into_an_engine() {
    let now = Instant::now();
    let domain: DomainKey = "own".into();
    let shape = PromptShape { prompt_tokens: 10, output_limit: 10, output_estimate: Some(10) };
    for queues in 2..=20 {
        let mut fleet = fleet(ServerStage::Decode, &[("d", "own")]);
        let mut unreported: Vec<ServerKey> = Vec::new();
        loop {
            let share = PlaceShare { queues, unreported: &unreported };
            let turn = PlacementTurn::Shared(share);
            let placed = place_engine(&fleet, &spec(), &shape, turn, &request(&domain, &[], now));
            let Ok(placement) = placed else { break };
            unreported.push(placement.decode);
            fleet.add_load("d", LoadShare::of_stream(&shape), now);
        }
        assert_eq!(unreported.len() as u32, spec().slots / queues, "{queues} gateways");
    }
}

/// Prevents requests that others should go before from taking the last places of an engine.
#[test]
fn an_engine_is_shared_up_to_half_full() {
    let now = Instant::now();
    let domain: DomainKey = "own".into();
    for (running, is_shared) in [(0, true), (3, true), (4, false), (7, false)] {
        let mut fleet = fleet(ServerStage::Decode, &[("d", "own")]);
        fleet.add_load("d", streams(running, 0), now);
        let turn = PlacementTurn::Shared(PlaceShare { queues: 1, unreported: &[] });
        let placed = place_engine(&fleet, &spec(), &SHAPE, turn, &request(&domain, &[], now));
        assert_eq!(placed.is_ok(), is_shared, "{running} of 8 streams");
    }
}
