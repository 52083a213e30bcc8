//! Which gateways are asked for tunnels.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::PathUpdate;
use umberglade_gateway::cluster::PeerReach;
use umberglade_gateway::cluster::PeerReports;
use umberglade_gateway::cluster::PeerUpdate;
use umberglade_gateway::cluster::TunnelOffer;
use umberglade_gateway::cluster::TunnelRests;
use umberglade_gateway::cluster::choose_tunnel_peers;
use umberglade_gateway::cluster::name_digest;

/// The server to reach.
const SERVER: u64 = 7;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn offer(tunnels: u32) -> TunnelOffer {
    TunnelOffer { is_open: true, tunnels, paths: PathUpdate::default() }
}

fn update(port: u16, offer: Option<TunnelOffer>) -> PeerUpdate {
    let tunnel = offer.map(|offer| (address(port), offer));
    PeerUpdate { reach: PeerReach::Near, tunnel, ..PeerUpdate::default() }
}

/// Prevents tunnels from being asked of gateways that can't or won't serve them.
#[test]
fn only_gateways_that_reach_the_server_are_asked() {
    let cut = PathUpdate { is_cut: true, ..PathUpdate::default() };
    let elsewhere = PathUpdate { broken: [SERVER].into_iter().collect(), ..PathUpdate::default() };
    let offers = [
        ("fit", Some(offer(3))),
        ("stopping", Some(TunnelOffer { is_open: false, ..offer(0) })),
        ("cut from all", Some(TunnelOffer { paths: cut, ..offer(0) })),
        ("cut from this one", Some(TunnelOffer { paths: elsewhere, ..offer(0) })),
        ("previous build", None),
        ("resting", Some(offer(0))),
    ];
    let now = Instant::now();
    let (mut reports, mut rests) = (PeerReports::default(), TunnelRests::default());
    for (port, (name, offer)) in (1..).zip(offers) {
        reports.record(name, 1, 1, update(port, offer), now);
    }
    rests.record_failure(name_digest("resting"), now);
    let choose = |at| choose_tunnel_peers(&reports, &rests, SERVER, 3, at, |below| below - 1);
    let chosen: Vec<SocketAddr> = choose(now).iter().map(|peer| peer.address).collect();
    assert_eq!(chosen, [address(1)]);
    assert!(choose(now + Duration::from_secs(60)).is_empty(), "reports that have expired");
}

/// Prevents the gateways that lose their paths together from all choosing the same others, at small
/// sites and at large ones.
#[test]
fn cut_gateways_spread_over_the_others() {
    struct Case {
        gateways: u16,
        cut: u16,
        /// Tunnels that each cut gateway opens between two reports.
        tunnels: u32,
    }
    let cases = [
        Case { gateways: 6, cut: 4, tunnels: 2 },
        Case { gateways: 63, cut: 21, tunnels: 2 },
        Case { gateways: 986, cut: 329, tunnels: 1 },
    ];
    for case in cases {
        let mut rng = fastrand::Rng::with_seed(54);
        let now = Instant::now();
        let mut counts: HashMap<u16, u32> = HashMap::new();
        for round in 0..20 {
            let mut reports = PeerReports::default();
            for port in case.cut..case.gateways {
                let served = counts.get(&port).copied().unwrap_or(0);
                let update = update(port, Some(offer(served)));
                reports.record(&format!("gw-{port}"), 1, round + 1, update, now);
            }
            for _ in 0..u32::from(case.cut) * case.tunnels {
                let rests = TunnelRests::default();
                let draw = |below: usize| rng.usize(..below);
                let chosen = choose_tunnel_peers(&reports, &rests, SERVER, 2, now, draw);
                *counts.entry(chosen[0].address.port()).or_default() += 1;
            }
        }
        let others = f64::from(case.gateways - case.cut);
        let mean = f64::from(counts.values().sum::<u32>()) / others;
        let most = f64::from(*counts.values().max().expect("tunnels"));
        assert!(most <= 1.5 * mean + 2.0, "{} gateways: {most} of {mean}", case.gateways);
    }
}
