//! Tests of the leader lease against a platform stand-in.

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

/// The leader is paused between renewing its lease and sending an order. When it resumes, it must
/// get no fencing token, well before another daemon can take over.
#[test]
fn paused_leader_gets_no_fence() {
    pool::block_on(async {
        let platform = platform().await;
        let mut held = lease(&platform, "entry-1");
        held.acquire_or_renew().await.unwrap();
        assert!(held.fence().is_some());
        smol::Timer::after(LEASE * 2 / 3).await;
        assert_eq!(held.fence(), None, "a lease that may expire still gives a fencing token");
        assert!(held.is_held(), "the paused leader has not noticed yet that its lease is old");
    });
}

/// Two daemons compete for the leadership. The second must not acquire it while the first renews,
/// must acquire it once the first has not renewed for longer than the lease, and then has the
/// higher fencing token. When the first returns, it must notice that it lost the leadership.
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
