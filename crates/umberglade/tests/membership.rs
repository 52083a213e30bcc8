//! Membership of daemons (paused past a lease, a failure domain or a region partitioned) and
//! leadership, which one daemon holds at a time.

mod support;

use std::time::Duration;

use umberglade_wire::engine::EngineOrder;
use umberglade_wire::engine::EngineReport;
use umberglade_wire::engine::EngineRole;
use umberglade_wire::engine::OrderOperation;
use umberglade_wire::platform::LEADER_TABLE;
use umberglade_wire::platform::LeaderRecord;

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

/// Arguments for a short heartbeat interval, so that a lease lasts 600 ms.
const SHORT_LEASE_ARGS: [&str; 4] = ["--follow-ms", "200", "--member-beat-ms", "200"];
const LEASE: Duration = Duration::from_millis(600);

fn is_member(daemon: &str) -> bool {
    status(daemon).is_ok_and(|now| now["member"] == true)
}

/// Returns the number of daemons whose lease is live by the table service's clock.
fn live_members(platform: &str) -> usize {
    let members = run(actions(platform).members(LEASE)).unwrap();
    members.iter().filter(|member| member.is_live).count()
}

/// Returns the daemon that the leader row names.
fn leader(platform: &str) -> Option<String> {
    let list = run(actions(platform).platform.list(LEADER_TABLE)).unwrap();
    let row = list.rows.into_iter().next()?;
    let record: LeaderRecord = serde_json::from_value(row.value).unwrap();
    Some(record.holder)
}

/// A daemon's machine is paused past its lease. The other daemon must see the lease expire. After
/// resuming, the paused daemon must stop relying on its old lease at its first check of it, and
/// become a member again by renewing it.
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

/// How many daemons are partitioned from the platform.
struct PartitionCase {
    name: &'static str,
    partitioned_daemons: usize,
    connected_daemons: usize,
}

/// A failure domain or a whole region loses its connection to the platform for a while; its daemons
/// still reach their engines. An operator activates another preset meanwhile. The partitioned side
/// sees that its lease has expired and keeps its preset. It serves until the other side has sent
/// work under the new preset, then rejects requests and fails its health check. Once the partition
/// ends, the new preset must be active there within the required 4 s, and it serves again.
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
        assert!(
            eventually(Duration::from_secs(4), expired),
            "{}: leases did not expire",
            case.name
        );
        run(actions(&platform.addr).activate("peak", 1)).unwrap();
        let fence_of = |daemon: &Process| status(&daemon.addr).unwrap()["fence"].clone();
        let on_connected = || connected.iter().all(|daemon| fence_of(daemon) == 2);
        assert!(
            eventually(Duration::from_secs(4), on_connected),
            "{}: connected side has no new preset",
            case.name
        );
        let send_chat = |daemon: &Process| {
            post(&daemon.addr, "/v1/chat/completions", "key-neulanjalki", &support::chat(10, 3))
        };
        for daemon in partitioned.iter().chain(&connected) {
            let response = send_chat(daemon);
            assert_eq!(response.status, 200, "{}: {}", case.name, response.body);
        }
        // The connected side has sent work under the new preset, so the engines, which check
        // fences, reject work of the partitioned side from now on.
        for daemon in &partitioned {
            let response = send_chat(daemon);
            assert_eq!(response.status, 503, "{}: {}", case.name, response.body);
            assert!(response.retry_after.is_some());
            let health = ureq::get(&format!("http://{}/healthz", daemon.addr)).call();
            assert!(health.is_err(), "{}: health check must fail", case.name);
        }
        for daemon in &partitioned {
            assert_eq!(
                fence_of(daemon),
                1,
                "{}: a partitioned daemon got the new preset",
                case.name
            );
            assert!(!is_member(&daemon.addr), "{}: relies on an expired lease", case.name);
        }
        proxy.restore();
        let caught_up = || partitioned.iter().all(|daemon| fence_of(daemon) == 2);
        assert!(
            eventually(Duration::from_secs(4), caught_up),
            "{}: new preset not active in time",
            case.name
        );
        assert!(eventually(Duration::from_secs(4), || live_members(&platform.addr) == all));
        for daemon in &partitioned {
            assert_eq!(send_chat(daemon).status, 200, "{}: after the partition", case.name);
        }
    }
}

/// The leader is paused; another daemon becomes leader and orders a server to change its role. The
/// paused daemon resumes with stale state, by which it is still the leader. The server ignores
/// fencing tokens, so only the daemon itself and the order's sequence number protect it: exactly
/// one order must have been accepted, and the server must keep the role of that order.
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
    assert!(eventually(Duration::from_secs(5), taken), "no daemon took over leadership");
    run(actions(&platform.addr).set_role_order("server", EngineRole::Decode)).unwrap();
    let report = || get_json::<EngineReport>(&engine.addr, "/v1/report");
    let is_decode = || report().role == EngineRole::Decode && !report().busy;
    assert!(eventually(Duration::from_secs(5), is_decode), "{:?}", report());
    paused.resume();
    std::thread::sleep(LEASE * 3);
    assert_eq!(report().sequence, 1, "another order was accepted: {:?}", report());
    assert_eq!(report().role, EngineRole::Decode);
    assert_ne!(leader(&platform.addr).unwrap(), first, "leadership went back to the paused daemon");
}

/// An order that arrives after a newer leader's order was accepted.
struct StaleOrderCase {
    name: &'static str,
    checks_fence: &'static str,
    fence: u64,
    expected_sequence: u64,
}

/// A former leader's order reaches a server after a newer leader's. Engines that check fencing
/// tokens reject it for its token, engines that ignore them for its sequence number. Neither
/// executes it.
#[test]
fn order_of_a_former_leader_is_rejected() {
    let cases = [
        StaleOrderCase {
            name: "checks fences, old fence",
            checks_fence: "true",
            fence: 4,
            expected_sequence: 1,
        },
        StaleOrderCase {
            name: "ignores fences, old sequence",
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
            .expect_err("a former leader's order must be rejected");
        assert!(matches!(rejected, ureq::Error::StatusCode(409)), "{}: {rejected}", case.name);
        assert_eq!(report().role, EngineRole::Decode, "{}", case.name);
    }
}
