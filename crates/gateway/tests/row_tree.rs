//! The ways of changed rows from a reader to all gateways.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::name_digest;
use umberglade_gateway::peers::MemberRecord;
use umberglade_gateway::peers::PeerRegistry;

const DOMAINS: [&str; 5] = ["a", "b", "c", "d", "e"];
/// Number of gateways that pass a row on to each other in turn.
const MAX_DEPTH: usize = 6;

fn record(index: usize) -> MemberRecord {
    let [.., high, low] = (index as u32).to_be_bytes();
    MemberRecord {
        name: format!("front-{index}"),
        address: SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7660)),
        domain: Some(DOMAINS[index % DOMAINS.len()].into()),
    }
}

fn registry(gateways: usize) -> PeerRegistry {
    let registry = PeerRegistry::default();
    registry.merge((0..gateways).map(record).collect());
    registry
}

/// Prevents a reader from sending each row to each gateway, and a gateway from being left out or
/// getting a row twice.
#[test]
fn rows_reach_each_gateway_once() {
    for gateways in [7, 300, 986, 2000] {
        let registry = registry(gateways);
        let digests: BTreeMap<SocketAddr, u64> =
            (0..gateways).map(record).map(|of| (of.address, name_digest(&of.name))).collect();
        let reader = record(0);
        let firsts = registry.one_of_each_domain(name_digest(&reader.name), |_| false);
        assert_eq!(firsts.len(), DOMAINS.len(), "{gateways}");
        let mut reached = BTreeSet::new();
        for (first, address) in firsts {
            let mut level = vec![address];
            for depth in 0.. {
                assert!(depth <= MAX_DEPTH, "{gateways}: a row takes {depth} steps");
                for address in &level {
                    assert!(reached.insert(*address), "{gateways}: {address} gets a row twice");
                }
                let children = level.iter().map(|of| registry.row_children(digests[of], first));
                level = children.flatten().collect();
                if level.is_empty() {
                    break;
                }
            }
        }
        assert_eq!(reached.len(), gateways, "all but the reader, whose domain reaches it too");
    }
}

/// Prevents gateways that know the same ones from fetching each other's lists, and those that do not
/// from going unnoticed.
#[test]
fn lists_of_gateways_are_compared_by_content() {
    const GATEWAYS: usize = 10;
    let (left, right) = (registry(GATEWAYS), PeerRegistry::default());
    right.merge((0..GATEWAYS).rev().map(record).collect());
    assert_eq!(left.summary(), right.summary());
    let newcomer = record(GATEWAYS);
    right.insert(&newcomer.name, newcomer.address);
    assert_ne!(left.summary(), right.summary());
    let now = Instant::now();
    assert!(right.joined(GATEWAYS + 1, now).iter().any(|joined| joined.name == newcomer.name));
    assert_eq!(left.merge(right.records()), 1);
    assert_eq!(left.summary(), right.summary());
    assert!(
        left.joined(GATEWAYS + 1, now + Duration::from_secs(4)).is_empty(),
        "told for some seconds only"
    );
    right.remove(&newcomer.name);
    assert_eq!(right.summary(), registry(GATEWAYS).summary());
}
