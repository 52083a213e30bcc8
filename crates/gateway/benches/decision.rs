//! Cost of a gateway's decisions by the size of a site: placing a stream on engines, placing a
//! plain call, and applying another gateway's report.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use umberglade_gateway::cluster::Fleet;
use umberglade_gateway::cluster::LoadShare;
use umberglade_gateway::cluster::PeerUpdate;
use umberglade_gateway::cluster::PlacementRequest;
use umberglade_gateway::cluster::PlacementTurn;
use umberglade_gateway::cluster::name_digest;
use umberglade_gateway::cluster::place_engine;
use umberglade_gateway::cluster::place_plain;
use umberglade_gateway::model::DomainKey;
use umberglade_gateway::model::EngineSpec;
use umberglade_gateway::model::PromptShape;
use umberglade_gateway::model::ServerEntry;
use umberglade_gateway::model::ServerStage;
use umberglade_gateway::model::StoreStamp;

/// Returns the stamp with `version` of a store that has never come back from a copy.
fn stamp(version: u64) -> StoreStamp {
    StoreStamp::new(0, version)
}

/// Gateways and servers of a small site, a large one, and the target size. All servers have the
/// same model, which is an upper bound for the cost of a decision at the target size.
const SIZES: [(usize, usize); 3] = [(6, 18), (79, 140), (340, 890)];
/// Failure domains of each site.
const DOMAINS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
/// One engine in this many is a prefill server.
const ENGINES_PER_PREFILL_SERVER: usize = 3;
/// Number of servers at which a gateway has load.
const BUSY_SERVERS: usize = 4;

const SHAPE: PromptShape =
    PromptShape { prompt_tokens: 5000, output_limit: 4000, output_estimate: Some(3500) };

fn spec() -> EngineSpec {
    EngineSpec {
        slots: 64,
        kv_tokens: 200_000,
        handle_ttl: Duration::from_millis(500),
        tokens_per_event: 8,
    }
}

fn entry(service: &str, at: usize, stage: ServerStage) -> ServerEntry {
    ServerEntry {
        server: format!("{service}-{at}").into(),
        service: service.into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: DOMAINS[at % DOMAINS.len()].into(),
        slots: 64,
        stage,
        software: "v1".into(),
        is_leaving: false,
        started_at: None,
    }
}

fn peer_update(servers: usize, peer: usize, round: usize) -> PeerUpdate {
    let load = LoadShare::of_stream(&SHAPE);
    let busy_server = |index: usize| (peer * 7 + index * 31 + round) % servers;
    let loads = (0..BUSY_SERVERS)
        .map(|index| (name_digest(&format!("engine-{}", busy_server(index))), load));
    PeerUpdate { loads: loads.collect(), ..PeerUpdate::default() }
}

/// Returns a site in which every gateway has reported.
fn site(gateways: usize, servers: usize, now: Instant) -> Fleet {
    let mut fleet = Fleet::default();
    for index in 0..servers {
        let is_prefill = index % ENGINES_PER_PREFILL_SERVER == 0;
        let stage = if is_prefill { ServerStage::Prefill } else { ServerStage::Decode };
        fleet.upsert(entry("engine", index, stage), stamp(index as u64 + 1));
        fleet
            .upsert(entry("plain", index, ServerStage::Plain), stamp((servers + index) as u64 + 1));
    }
    for peer in 1..gateways {
        fleet.peers.record(&format!("gw-{peer}"), 1, 1, peer_update(servers, peer, 0), now);
    }
    fleet
}

fn decisions(criterion: &mut Criterion) {
    let now = Instant::now();
    let domain: DomainKey = DOMAINS[0].into();
    for (gateways, servers) in SIZES {
        let mut group = criterion.benchmark_group(format!("{gateways} gateways {servers} servers"));
        let mut fleet = site(gateways, servers, now);
        let gateway = name_digest("gw-0");
        let request = |service| PlacementRequest {
            service,
            gateway,
            domain: &domain,
            tried: &[],
            software: None,
            now,
        };
        group.bench_function("place_engine", |bench| {
            bench.iter(|| {
                place_engine(
                    black_box(&fleet),
                    &spec(),
                    &SHAPE,
                    PlacementTurn::Ranked(0),
                    &request("engine"),
                )
            });
        });
        group.bench_function("place_plain", |bench| {
            bench.iter(|| place_plain(black_box(&fleet), &request("plain")));
        });
        let reports: Vec<PeerUpdate> =
            (0..64).map(|round| peer_update(servers, 1, round)).collect();
        let mut sequence = 1;
        group.bench_function("take_report", |bench| {
            bench.iter(|| {
                sequence += 1;
                let peer_update = reports[sequence as usize % reports.len()].clone();
                fleet.peers.record("gw-1", 1, sequence, peer_update, now)
            });
        });
    }
}

criterion_group!(benches, decisions);
criterion_main!(benches);
