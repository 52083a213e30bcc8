//! Traffic between hundreds of gateways.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::LoadShare;
use umberglade_gateway::cluster::PeerReach;
use umberglade_gateway::cluster::REMOTE_REPORT_INTERVAL;
use umberglade_gateway::cluster::RetryCount;
use umberglade_gateway::cluster::name_digest;
use umberglade_gateway::cluster::report_interval;
use umberglade_gateway::cluster::shard_count;
use umberglade_gateway::cluster::shares_shard;
use umberglade_gateway::peers::LoadReport;
use umberglade_gateway::peers::PeerGroups;
use umberglade_gateway::peers::PeerMessage;
use umberglade_gateway::peers::PeerRegistry;
use umberglade_gateway::peers::RemotePeerCycle;
use umberglade_gateway::peers::SendBudget;

const SERVERS_PER_GATEWAY: usize = 10;
/// Streams that start at one gateway per second; each causes four reports.
const STREAMS_PER_S: usize = 4;
const CHANGES_PER_STREAM: usize = 4;
/// Concurrent streams of one gateway.
const RUNNING: u64 = 12;
const SECONDS: u64 = 10;
/// A quarter of the link of a small instance, which carries 1.25 MB per second.
const MAX_BYTES_PER_S: f64 = 1.25e6 / 4.0;
/// Size of the IP and UDP headers.
const FRAMING: usize = 28;

fn address(index: usize) -> SocketAddr {
    let [.., high, low] = (index as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7660))
}

fn registry(gateways: usize) -> PeerRegistry {
    let registry = PeerRegistry::default();
    for index in 0..gateways {
        registry.insert(&format!("front-{index}"), address(index));
    }
    registry
}

fn report(reach: PeerReach, now: u64) -> LoadReport {
    let load = LoadShare { running: 1, prompt_tokens: 3200, ..LoadShare::default() };
    let streams = if reach == PeerReach::Near { RUNNING } else { 0 };
    LoadReport {
        reach,
        peer: "front-hall-a-100".to_owned(),
        incarnation: u64::MAX,
        sequence: now,
        loads: (0..streams).map(|server| (u64::MAX - server, load)).collect(),
        retries: vec![(u64::MAX, RetryCount { requests: 40, repeats: 4 }); 2],
        aside: Vec::new(),
        lines: Vec::new(),
        store_calm_ms: 60_000,
        changing: Vec::new(),
        learned: None,
        config: 40,
        tables: Vec::new(),
        outcomes: Vec::new(),
        limits: Vec::new(),
        departures: Vec::new(),
        backoffs: Vec::new(),
        charges: Vec::new(),
        age_ms: 60_000,
    }
}

fn bytes(report: LoadReport) -> usize {
    postcard::to_allocvec(&PeerMessage::Load(Box::new(report))).expect("plain fields").len()
        + FRAMING
}

/// Returns the bytes per second that one of `gateways` sends when it reports each change of its
/// streams.
fn bytes_sent_per_s(gateways: usize) -> f64 {
    let shards = shard_count(gateways, gateways * SERVERS_PER_GATEWAY);
    let PeerGroups { local_shard, remote } = registry(gateways).groups("front-0", shards);
    let started_at = Instant::now();
    let mut budget = SendBudget::new(None, started_at);
    let mut remote_peer_cycle = RemotePeerCycle::new(started_at);
    let mut change = started_at;
    let change_interval = Duration::from_secs(1) / (STREAMS_PER_S * CHANGES_PER_STREAM) as u32;
    let (mut now, mut sent) = (started_at, 0);
    while now < started_at + Duration::from_secs(SECONDS) {
        let due = now + report_interval(local_shard.len());
        while change <= now {
            change += change_interval;
        }
        now = if change < due { budget.send_at(local_shard.len(), due, change) } else { due };
        sent += local_shard.len() * bytes(report(PeerReach::Near, 1));
        let recipients = remote_peer_cycle.next(&remote, REMOTE_REPORT_INTERVAL, now);
        sent += recipients.len() * bytes(report(PeerReach::Far, 1));
    }
    sent as f64 / SECONDS as f64
}

/// Prevents reports between gateways from filling their links: traffic must not grow with the
/// square of the number of gateways, nor fill the link of a small instance.
#[test]
fn traffic_per_gateway_grows_sublinearly() {
    let few = bytes_sent_per_s(30);
    for gateways in [195, 301, 340] {
        let many = bytes_sent_per_s(gateways);
        let power = (many / few).ln() / (gateways as f64 / 30.0).ln();
        assert!(many < MAX_BYTES_PER_S, "{gateways} gateways: {many:.0} bytes a second");
        assert!(power < 0.5, "{gateways} gateways: {few:.0} to {many:.0}, power {power:.2}");
    }
}

struct ShardCase {
    gateways: usize,
    servers: usize,
    shards: u64,
}

/// Prevents shards with too few gateways or servers to choose from.
#[test]
fn small_sites_are_not_sharded() {
    let cases = [
        ShardCase { gateways: 6, servers: 21, shards: 1 },
        ShardCase { gateways: 79, servers: 140, shards: 1 },
        ShardCase { gateways: 119, servers: 3000, shards: 1 },
        ShardCase { gateways: 195, servers: 5, shards: 1 },
        ShardCase { gateways: 195, servers: 50, shards: 1 },
        ShardCase { gateways: 195, servers: 500, shards: 4 },
        ShardCase { gateways: 301, servers: 2700, shards: 8 },
        ShardCase { gateways: 340, servers: 890, shards: 8 },
    ];
    for case in cases {
        let ShardCase { gateways, servers, shards } = case;
        assert_eq!(shard_count(gateways, servers), shards, "{gateways} before {servers}");
    }
}

/// Prevents shards with too few or too many of the gateways or servers.
#[test]
fn shards_are_about_equal() {
    let shards = shard_count(301, 2700);
    for (kind, count) in [("front", 301), ("i", 2700)] {
        for shard in 0..shards {
            let digest = |index| name_digest(&format!("{kind}-{index}"));
            let members = (0..count).filter(|index| shares_shard(digest(*index), shard, shards));
            let fraction = members.count() as f64 / (f64::from(count) / shards as f64);
            assert!(
                (0.5..1.6).contains(&fraction),
                "{kind}, shard {shard}: {fraction:.2} of its share"
            );
        }
    }
}

/// Prevents remote gateways from getting no reports, or all at the same time.
#[test]
fn remote_gateways_are_reached_in_turn() {
    let remote: Vec<SocketAddr> = (1..=263).map(address).collect();
    let started_at = Instant::now();
    let mut cycle = RemotePeerCycle::new(started_at);
    let mut reached = Vec::new();
    for step in 1..=10 {
        let now = started_at + Duration::from_millis(100 * step);
        let next = cycle.next(&remote, REMOTE_REPORT_INTERVAL, now);
        assert!(next.len() < 60, "{} at a time", next.len());
        reached.extend(next);
    }
    reached.sort_unstable();
    reached.dedup();
    assert!(reached.len() > 250, "{} reached in an interval", reached.len());
}
