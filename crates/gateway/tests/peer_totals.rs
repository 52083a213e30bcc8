//! Totals over the reports of peers.

use std::time::Duration;
use std::time::Instant;

use proptest::prelude::*;
use umberglade_gateway::cluster::Fleet;
use umberglade_gateway::cluster::LoadShare;
use umberglade_gateway::cluster::PeerReports;
use umberglade_gateway::cluster::PeerUpdate;
use umberglade_gateway::cluster::PlacementRequest;
use umberglade_gateway::cluster::PlacementTurn;
use umberglade_gateway::cluster::QueueUpdate;
use umberglade_gateway::cluster::ServerTotals;
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

/// How long a report is valid.
const REPORT_LIFETIME: Duration = Duration::from_millis(600);
/// How long a peer is remembered after its last report, so that late reports are detected.
const PEER_RETENTION: Duration = Duration::from_secs(5);

const PEERS: [&str; 3] = ["gw-1", "gw-2", "gw-3"];
const SERVERS: u64 = 3;
const SERVICES: u64 = 2;

#[derive(Debug, Clone)]
enum Step {
    Report { peer: usize, incarnation: u64, sequence: u64, update: Box<PeerUpdate> },
    Wait(u64),
    Tick,
}

fn update() -> impl Strategy<Value = PeerUpdate> {
    // Counts of any size, since a datagram may contain anything.
    let count = || prop_oneof![4 => 0u32..50, 1 => any::<u32>()];
    let load = (0..SERVERS, count(), count(), count(), count()).prop_map(
        |(server, running, prompt_tokens, output_tokens, made_tokens)| {
            (server, LoadShare { running, prompt_tokens, output_tokens, made_tokens })
        },
    );
    let queue = (0..SERVICES, count(), count(), count()).prop_map(
        |(service, waiting, on_time, pace_milli)| {
            let arrivals_milli = pace_milli / 2;
            let queue = QueueUpdate {
                waiting,
                on_time,
                first_age_ms: 1,
                first_occupancy: 1,
                is_first_late: false,
                pace_milli,
                arrivals_milli,
            };
            (service, queue)
        },
    );
    let servers = || prop::collection::vec(0..SERVERS, 0..3);
    (prop::collection::vec(load, 0..3usize), prop::option::of(queue), servers(), servers())
        .prop_map(|(loads, queue, ejected, stage_changes)| PeerUpdate {
            loads,
            queues: queue.into_iter().collect(),
            ejected: ejected.into(),
            stage_changes: stage_changes.into(),
            ..PeerUpdate::default()
        })
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..PEERS.len(), 1u64..3, 1u64..30, update()).prop_map(
            |(peer, incarnation, sequence, update)| {
                let update = Box::new(update);
                Step::Report { peer, incarnation, sequence, update }
            }
        ),
        3 => (0u64..700).prop_map(Step::Wait),
        1 => Just(Step::Tick),
    ]
}

/// Reference implementation: keeps the newest reports and sums over them at each lookup.
#[derive(Default)]
struct ReferenceTotals {
    newest: Vec<(usize, u64, u64, Instant, PeerUpdate)>,
}

impl ReferenceTotals {
    fn record(
        &mut self,
        peer: usize,
        incarnation: u64,
        sequence: u64,
        update: PeerUpdate,
        now: Instant,
    ) {
        let is_older = |known: &&(usize, u64, u64, Instant, PeerUpdate)| {
            known.0 == peer && known.1 == incarnation && known.2 >= sequence
        };
        if self.newest.iter().find(is_older).is_some() {
            return;
        }
        self.newest.retain(|known| known.0 != peer);
        self.newest.push((peer, incarnation, sequence, now, update));
    }

    fn fresh(&self, now: Instant) -> impl Iterator<Item = &PeerUpdate> {
        let is_fresh = move |received_at: Instant| now - received_at < REPORT_LIFETIME;
        self.newest.iter().filter(move |known| is_fresh(known.3)).map(|known| &known.4)
    }

    fn server(&self, digest: u64, now: Instant) -> ServerTotals {
        let mut sum = ServerTotals::default();
        for update in self.fresh(now) {
            for (_, load) in update.loads.iter().filter(|(server, _)| *server == digest) {
                sum.load = sum.load.plus(load.bounded());
            }
            let count = |of: &[u64]| of.iter().filter(|server| **server == digest).count() as u32;
            sum.ejections += count(&update.ejected);
            sum.stage_changes += count(&update.stage_changes);
        }
        sum
    }

    fn waiting(&self, digest: u64, now: Instant) -> u64 {
        let queues = self.fresh(now).flat_map(|update| &update.queues);
        queues.filter(|(of, _)| *of == digest).map(|(_, queue)| u64::from(queue.waiting)).sum()
    }
}

proptest! {
    /// The totals equal the sum over the newest valid reports exactly, in whatever order reports
    /// arrive, expire or are replaced.
    #[test]
    fn sums_equal_the_sum_over_all_reports(steps in prop::collection::vec(step(), 1..60)) {
        let mut now = Instant::now();
        let mut reports = PeerReports::default();
        let mut reference = ReferenceTotals::default();
        for step in steps {
            match step {
                Step::Report { peer, incarnation, sequence, update } => {
                    reports.record(PEERS[peer], incarnation, sequence, (*update).clone(), now);
                    reference.record(peer, incarnation, sequence, *update, now);
                }
                Step::Wait(millis) => now += Duration::from_millis(millis),
                Step::Tick => {
                    reports.remove_expired(now);
                    reference.newest.retain(|known| now - known.3 < PEER_RETENTION);
                }
            }
            for server in 0..SERVERS {
                prop_assert_eq!(reports.server(server, now), reference.server(server, now));
            }
            for service in 0..SERVICES {
                let waiting = reference.waiting(service, now).min(u64::from(u32::MAX));
                prop_assert_eq!(u64::from(reports.queues(service, now).waiting), waiting);
            }
            prop_assert_eq!(reports.fresh_count(now), reference.fresh(now).count());
        }
    }
}

/// Prevents placements from summing over the reports for each pair of engines: with 140 engines and
/// 79 gateways this takes 700,000 lookups and 40 ms per placement on an eighth of a core, so that
/// callers wait for the gateway's own processor and half of them are not served. Each server is
/// looked up once, however many peers there are.
#[test]
fn placement_looks_up_each_server_once() {
    struct Case {
        name: &'static str,
        peers: usize,
        decode: usize,
        prefill: usize,
    }
    let cases = [
        Case { name: "small", peers: 5, decode: 12, prefill: 6 },
        Case { name: "large", peers: 78, decode: 91, prefill: 49 },
        Case { name: "no prefill server", peers: 78, decode: 91, prefill: 0 },
    ];
    let shape = PromptShape { prompt_tokens: 5000, output_limit: 500, output_estimate: Some(400) };
    let spec = EngineSpec {
        slots: 64,
        kv_tokens: 37_406,
        handle_ttl: Duration::from_millis(500),
        tokens_per_event: 8,
    };
    for case in cases {
        let now = Instant::now();
        let mut fleet = Fleet::default();
        for at in 0..case.decode + case.prefill {
            let stage = if at < case.decode { ServerStage::Decode } else { ServerStage::Prefill };
            fleet.upsert(entry(at, stage), stamp(at as u64 + 1));
        }
        for peer in 0..case.peers {
            let load = LoadShare::of_stream(&shape);
            let at = peer % (case.decode + case.prefill);
            let update = PeerUpdate {
                loads: vec![(name_digest(&format!("s{at}")), load)],
                ..PeerUpdate::default()
            };
            fleet.peers.record(&format!("gw-{peer}"), 1, 1, update, now);
        }
        let domain: DomainKey = "z0".into();
        let gateway = name_digest("gw");
        let need = PlacementRequest {
            service: "svc",
            gateway,
            domain: &domain,
            tried: &[],
            software: None,
            now,
        };
        let before = fleet.peers.server_lookups();
        place_engine(&fleet, &spec, &shape, PlacementTurn::Ranked(0), &need).expect("capacity");
        let engines = (case.decode + case.prefill) as u64;
        assert_eq!(fleet.peers.server_lookups() - before, engines, "{}: engines", case.name);
        let before = fleet.peers.server_lookups();
        place_plain(&fleet, &need).expect("a server");
        assert_eq!(fleet.peers.server_lookups() - before, engines, "{}: a plain call", case.name);
    }
}

fn entry(at: usize, stage: ServerStage) -> ServerEntry {
    ServerEntry {
        server: format!("s{at}").into(),
        service: "svc".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: format!("z{}", at % 4).into(),
        slots: 64,
        stage,
        software: "v1".into(),
        is_leaving: false,
        started_at: None,
    }
}
