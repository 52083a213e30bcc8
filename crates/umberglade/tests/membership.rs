//! Membership between daemons: paused past a lease, a failure domain cut
//! off, two regions split; and the duty, held by one daemon at a time.

mod support;

use std::time::Duration;

use umberglade_wire::engine::EngineOrder;
use umberglade_wire::engine::EngineReport;
use umberglade_wire::engine::EngineRole;
use umberglade_wire::engine::OrderOperation;
use umberglade_wire::platform::DUTY_TABLE;
use umberglade_wire::platform::DutyRecord;

use support::Process;
use support::Site;
use support::TcpProxy;
use support::actions;
use support::eventually;
use support::get_json;
use support::post;
use support::run;
use support::seed;
use support::start_daemon;
use support::start_engine;
use support::start_platform;
use support::status;

/// Daemons of these tests beat fast: a lease lasts 600 ms.
const SHORT_LEASE_ARGS: [&str; 4] = ["--follow-ms", "200", "--member-beat-ms", "200"];
const LEASE: Duration = Duration::from_millis(600);

fn is_member(daemon: &str) -> bool {
    status(daemon).is_ok_and(|now| now["member"] == true)
}

/// Daemons whose lease is live by the table service's clock.
fn live_members(platform: &str) -> usize {
    let lines = run(actions(platform).members(LEASE)).unwrap();
    lines.iter().filter(|line| line.is_live).count()
}

/// The daemon that holds the duty, by the row.
fn leader(platform: &str) -> Option<String> {
    let list = run(actions(platform).platform.list(DUTY_TABLE)).unwrap();
    let row = list.rows.into_iter().next()?;
    let record: DutyRecord = serde_json::from_value(row.value).unwrap();
    Some(record.holder)
}

/// A daemon's machine is paused past its lease. The others must see it
/// lapse; on waking it must not believe its old lease for a moment longer
/// than it takes to ask it, and then come back by renewing.
#[test]
fn paused_daemon_expires_and_rejoins() {
    let platform = start_platform("0");
    seed(&platform.addr);
    let paused = start_daemon(&platform.addr, "entry-1", &SHORT_LEASE_ARGS);
    let other = start_daemon(&platform.addr, "entry-2", &SHORT_LEASE_ARGS);
    assert!(eventually(Duration::from_secs(3), || live_members(&platform.addr) == 2));
    paused.pause();
    assert!(eventually(Duration::from_secs(3), || live_members(&platform.addr) == 1));
    assert!(is_member(&other.addr));
    paused.resume();
    assert!(eventually(Duration::from_secs(3), || live_members(&platform.addr) == 2));
    assert!(eventually(Duration::from_secs(1), || is_member(&paused.addr)));
}

/// Where daemons are cut off from the platform.
struct PartitionCase {
    name: &'static str,
    partitioned_daemons: usize,
    connected_daemons: usize,
}

/// A failure domain, or a whole region, loses the platform for a while;
/// its daemons still reach their engines. An operator activates another
/// preset meanwhile. The cut side knows that its lease lapsed and keeps the
/// preset it had; it serves until the other side has acted under the new
/// one, then refuses and fails its health check. Once healed it has the new
/// preset in force within the letter's 4 s and serves again.
#[test]
fn partitioned_daemons_keep_serving_and_catch_up() {
    let cases = [
        PartitionCase {
            name: "one failure domain of three",
            partitioned_daemons: 1,
            connected_daemons: 2,
        },
        PartitionCase { name: "one region of two", partitioned_daemons: 2, connected_daemons: 2 },
    ];
    for case in &cases {
        let platform = start_platform("0");
        seed(&platform.addr);
        let _engines = [
            start_engine(&platform.addr, "p", "prefill", &[]),
            start_engine(&platform.addr, "d", "decode", &[]),
        ];
        let proxy = TcpProxy::to(&platform.addr);
        let start = |addr: &str, name: &str, count: usize| -> Vec<Process> {
            (0..count)
                .map(|at| start_daemon(addr, &format!("{name}-{at}"), &SHORT_LEASE_ARGS))
                .collect()
        };
        let partitioned = start(&proxy.addr, "cut", case.partitioned_daemons);
        let connected = start(&platform.addr, "kept", case.connected_daemons);
        let all = case.partitioned_daemons + case.connected_daemons;
        assert!(eventually(Duration::from_secs(4), || live_members(&platform.addr) == all));
        for daemon in partitioned.iter().chain(&connected) {
            support::wait_for_servers(&daemon.addr, 2);
        }
        proxy.cut();
        let expired = || live_members(&platform.addr) == case.connected_daemons;
        assert!(eventually(Duration::from_secs(4), expired), "{}: no lapse", case.name);
        run(actions(&platform.addr).activate("peak", 1)).unwrap();
        let fence_of = |daemon: &Process| status(&daemon.addr).unwrap()["fence"].clone();
        let on_connected = || connected.iter().all(|daemon| fence_of(daemon) == 2);
        assert!(eventually(Duration::from_secs(4), on_connected), "{}: kept side", case.name);
        let send_chat = |daemon: &Process| {
            post(&daemon.addr, "/v1/chat/completions", "key-neulanjalki", &support::chat(10, 3))
        };
        for daemon in partitioned.iter().chain(&connected) {
            let response = send_chat(daemon);
            assert_eq!(response.status, 200, "{}: {}", case.name, response.body);
        }
        // The kept side has acted under the new preset: the engines, which
        // check fences, hold the cut side off from now on.
        for daemon in &partitioned {
            let response = send_chat(daemon);
            assert_eq!(response.status, 503, "{}: {}", case.name, response.body);
            assert!(response.retry_after.is_some());
            let health = ureq::get(&format!("http://{}/healthz", daemon.addr)).call();
            assert!(health.is_err(), "{}: the balancer still sends callers", case.name);
        }
        for daemon in &partitioned {
            assert_eq!(fence_of(daemon), 1, "{}: how did it hear?", case.name);
            assert!(!is_member(&daemon.addr), "{}: believes a lapsed lease", case.name);
        }
        proxy.restore();
        let caught_up = || partitioned.iter().all(|daemon| fence_of(daemon) == 2);
        assert!(eventually(Duration::from_secs(4), caught_up), "{}: not in force", case.name);
        assert!(eventually(Duration::from_secs(4), || live_members(&platform.addr) == all));
        for daemon in &partitioned {
            assert_eq!(send_chat(daemon).status, 200, "{}: healed", case.name);
        }
    }
}

/// The daemon that holds the duty is paused; another takes it and has a
/// server changed by order. The paused one wakes believing it still holds
/// the duty. This server ignores fencing numbers, so nothing but the
/// daemon itself and the order count guards it: exactly the one order must
/// have been taken, and the server must stay what it was ordered to be.
#[test]
fn paused_leader_sends_no_order_after_resuming() {
    let platform = start_platform("0");
    seed(&platform.addr);
    let engine = start_engine(&platform.addr, "server", "prefill", &["--checks-fence", "false"]);
    let daemons = [
        start_daemon(&platform.addr, "entry-1", &SHORT_LEASE_ARGS),
        start_daemon(&platform.addr, "entry-2", &SHORT_LEASE_ARGS),
    ];
    assert!(eventually(Duration::from_secs(4), || leader(&platform.addr).is_some()));
    let first = leader(&platform.addr).unwrap();
    let paused = &daemons[usize::from(first == "entry-2")];
    paused.pause();
    let taken = || leader(&platform.addr).is_some_and(|holder| holder != first);
    assert!(eventually(Duration::from_secs(5), taken), "nobody took the duty");
    run(actions(&platform.addr).want_role("server", EngineRole::Decode)).unwrap();
    let report = || get_json::<EngineReport>(&engine.addr, "/v1/report");
    let is_decode = || report().role == EngineRole::Decode && !report().busy;
    assert!(eventually(Duration::from_secs(5), is_decode), "{:?}", report());
    paused.resume();
    std::thread::sleep(LEASE * 3);
    assert_eq!(report().sequence, 1, "another order was taken: {:?}", report());
    assert_eq!(report().role, EngineRole::Decode);
    assert_ne!(leader(&platform.addr).unwrap(), first, "the duty went back by itself");
}

/// One order that comes when a newer holder's has been taken.
struct StaleOrderCase {
    name: &'static str,
    checks_fence: &'static str,
    fence: u64,
    expected_sequence: u64,
}

/// An old holder's order reaches a server after a newer holder's: engines
/// that check fencing numbers refuse it for its number, engines that
/// ignore them for its order count. Neither carries it out.
#[test]
fn order_of_a_former_leader_is_rejected() {
    let cases = [
        StaleOrderCase {
            name: "checks, old fence",
            checks_fence: "true",
            fence: 4,
            expected_sequence: 1,
        },
        StaleOrderCase {
            name: "ignores, old count",
            checks_fence: "false",
            fence: 4,
            expected_sequence: 0,
        },
    ];
    for case in &cases {
        let site = Site::start_with(1, 1, &["--checks-fence", case.checks_fence]);
        let engine = &site.engines[0].addr;
        let order = |fence, expected_sequence, role| EngineOrder {
            operation: OrderOperation::SetRole { role },
            holder: format!("holder-{fence}"),
            fence,
            expected_sequence,
        };
        support::post_json(engine, "/v1/order", &order(9, 0, EngineRole::Decode));
        let report = || get_json::<EngineReport>(engine, "/v1/report");
        assert!(eventually(Duration::from_secs(3), || !report().busy));
        let stale = order(case.fence, case.expected_sequence, EngineRole::Prefill);
        let rejected = ureq::post(&format!("http://{engine}/v1/order"))
            .send(serde_json::to_string(&stale).unwrap())
            .expect_err("an old holder's order must be refused");
        assert!(matches!(rejected, ureq::Error::StatusCode(409)), "{}: {rejected}", case.name);
        assert_eq!(report().role, EngineRole::Decode, "{}", case.name);
    }
}
