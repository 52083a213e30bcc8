//! The duty's lease, against a platform stand-in.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use umberglade_router::leader::LeaderLease;
use umberglade_router::platform::PlatformClient;
use umberglade_standin::platform::PlatformConfig;
use umberglade_standin::platform::PlatformStandin;
use umberglade_wire::pool;
use umberglade_wire::server;

const LEASE: Duration = Duration::from_millis(600);

async fn platform() -> String {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let (listener, local) = server::bind(any).await.unwrap();
    let standin = PlatformStandin::new(PlatformConfig::default());
    pool::spawn(server::serve(listener, Arc::new(standin)));
    local.to_string()
}

fn lease(platform: &str, daemon: &str) -> LeaderLease {
    let client = PlatformClient::new(platform, Duration::from_secs(1));
    LeaderLease::new(client, daemon.into(), 1, LEASE)
}

/// The holder is paused between its renewal and the order it was about to
/// send. On waking it asks for the fencing number: it must get none, well
/// before another daemon can have taken the duty.
#[test]
fn paused_leader_gets_no_fence() {
    pool::block_on(async {
        let platform = platform().await;
        let mut held = lease(&platform, "entry-1");
        held.acquire_or_renew().await.unwrap();
        assert!(held.fence().is_some());
        smol::Timer::after(LEASE * 2 / 3).await;
        assert_eq!(held.fence(), None, "orders on a lease that may lapse");
        assert!(held.is_held(), "it still believes it holds the duty");
    });
}

/// Two daemons want the duty. The second must not take it while the first
/// renews, must take it once the first is silent past the lease, and then
/// has the higher fence; the first, back, must see that it lost.
#[test]
fn leadership_changes_only_after_the_lease_expires() {
    pool::block_on(async {
        let platform = platform().await;
        let mut first = lease(&platform, "entry-1");
        let mut second = lease(&platform, "entry-2");
        first.acquire_or_renew().await.unwrap();
        let first_fence = first.fence().unwrap();
        for _ in 0..4 {
            smol::Timer::after(LEASE / 3).await;
            first.acquire_or_renew().await.unwrap();
            second.acquire_or_renew().await.unwrap();
            assert!(first.is_held() && !second.is_held());
        }
        smol::Timer::after(LEASE + Duration::from_millis(50)).await;
        second.acquire_or_renew().await.unwrap();
        assert!(second.fence().unwrap() > first_fence);
        first.acquire_or_renew().await.unwrap();
        assert!(!first.is_held());
        assert_eq!(first.fence(), None);
    });
}
