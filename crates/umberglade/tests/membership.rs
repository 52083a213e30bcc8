//! Membership between daemons: paused past a lease, a failure domain cut
//! off, two regions split; and the duty, held by one daemon at a time.

mod support;

use std::time::Duration;

use umberglade_wire::engine::EngineOrder;
use umberglade_wire::engine::EngineReport;
use umberglade_wire::engine::EngineRole;
use umberglade_wire::engine::OrderOperation;
use umberglade_wire::platform::LEADER_TABLE;
use umberglade_wire::platform::LeaderRecord;

use support::Link;
use support::Process;
use support::Site;
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
const FAST: [&str; 4] = ["--follow-ms", "200", "--member-beat-ms", "200"];
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
fn duty_holder(platform: &str) -> Option<String> {
    let list = run(actions(platform).platform.list(LEADER_TABLE)).unwrap();
    let row = list.rows.into_iter().next()?;
    let record: LeaderRecord = serde_json::from_value(row.value).unwrap();
    Some(record.holder)
}

/// A daemon's machine is paused past its lease. The others must see it
/// lapse; on waking it must not believe its old lease for a moment longer
/// than it takes to ask it, and then come back by renewing.
#[test]
fn a_paused_daemon_lapses_and_comes_back() {
    let platform = start_platform("0");
    seed(&platform.addr);
    let paused = start_daemon(&platform.addr, "entry-1", &FAST);
    let other = start_daemon(&platform.addr, "entry-2", &FAST);
    assert!(eventually(Duration::from_secs(3), || live_members(&platform.addr) == 2));
    paused.freeze();
    assert!(eventually(Duration::from_secs(3), || live_members(&platform.addr) == 1));
    assert!(is_member(&other.addr));
    paused.thaw();
    assert!(eventually(Duration::from_secs(3), || live_members(&platform.addr) == 2));
    assert!(eventually(Duration::from_secs(1), || is_member(&paused.addr)));
}

/// Where daemons are cut off from the platform.
struct SplitCase {
    name: &'static str,
    cut_daemons: usize,
    kept_daemons: usize,
}

/// A failure domain, or a whole region, loses the platform for a while;
/// its daemons still reach their engines. An operator activates another
/// preset meanwhile. The cut side knows that its lease lapsed and keeps the
/// preset it had; it serves until the other side has acted under the new
/// one, then refuses and fails its health check. Once healed it has the new
/// preset in force within the letter's 4 s and serves again.
#[test]
fn daemons_cut_off_from_the_platform_serve_on_and_catch_up() {
    let cases = [
        SplitCase { name: "one failure domain of three", cut_daemons: 1, kept_daemons: 2 },
        SplitCase { name: "one region of two", cut_daemons: 2, kept_daemons: 2 },
    ];
    for case in &cases {
        let platform = start_platform("0");
        seed(&platform.addr);
        let _engines = [
            start_engine(&platform.addr, "p", "prefill", &[]),
            start_engine(&platform.addr, "d", "decode", &[]),
        ];
        let link = Link::to(&platform.addr);
        let start = |addr: &str, name: &str, count: usize| -> Vec<Process> {
            (0..count).map(|at| start_daemon(addr, &format!("{name}-{at}"), &FAST)).collect()
        };
        let cut = start(&link.addr, "cut", case.cut_daemons);
        let kept = start(&platform.addr, "kept", case.kept_daemons);
        let all = case.cut_daemons + case.kept_daemons;
        assert!(eventually(Duration::from_secs(4), || live_members(&platform.addr) == all));
        for daemon in cut.iter().chain(&kept) {
            support::wait_for_servers(&daemon.addr, 2);
        }
        link.cut();
        let lapsed = || live_members(&platform.addr) == case.kept_daemons;
        assert!(eventually(Duration::from_secs(4), lapsed), "{}: no lapse", case.name);
        run(actions(&platform.addr).activate("peak", 1)).unwrap();
        let fence_of = |daemon: &Process| status(&daemon.addr).unwrap()["fence"].clone();
        let on_kept = || kept.iter().all(|daemon| fence_of(daemon) == 2);
        assert!(eventually(Duration::from_secs(4), on_kept), "{}: kept side", case.name);
        let ask = |daemon: &Process| {
            post(&daemon.addr, "/v1/chat/completions", "key-neulanjalki", &support::chat(10, 3))
        };
        for daemon in cut.iter().chain(&kept) {
            let answer = ask(daemon);
            assert_eq!(answer.status, 200, "{}: {}", case.name, answer.body);
        }
        // The kept side has acted under the new preset: the engines, which
        // check fences, hold the cut side off from now on.
        for daemon in &cut {
            let answer = ask(daemon);
            assert_eq!(answer.status, 503, "{}: {}", case.name, answer.body);
            assert!(answer.retry_after.is_some());
            let health = ureq::get(&format!("http://{}/healthz", daemon.addr)).call();
            assert!(health.is_err(), "{}: the balancer still sends callers", case.name);
        }
        for daemon in &cut {
            assert_eq!(fence_of(daemon), 1, "{}: how did it hear?", case.name);
            assert!(!is_member(&daemon.addr), "{}: believes a lapsed lease", case.name);
        }
        link.heal();
        let caught_up = || cut.iter().all(|daemon| fence_of(daemon) == 2);
        assert!(eventually(Duration::from_secs(4), caught_up), "{}: not in force", case.name);
        assert!(eventually(Duration::from_secs(4), || live_members(&platform.addr) == all));
        for daemon in &cut {
            assert_eq!(ask(daemon).status, 200, "{}: healed", case.name);
        }
    }
}

/// The daemon that holds the duty is paused; another takes it and has a
/// server changed by order. The paused one wakes believing it still holds
/// the duty. This server ignores fencing numbers, so nothing but the
/// daemon itself and the order count guards it: exactly the one order must
/// have been taken, and the server must stay what it was ordered to be.
#[test]
fn a_paused_holder_of_the_duty_gives_no_order_on_waking() {
    let platform = start_platform("0");
    seed(&platform.addr);
    let engine = start_engine(&platform.addr, "server", "prefill", &["--checks-fence", "false"]);
    let daemons = [
        start_daemon(&platform.addr, "entry-1", &FAST),
        start_daemon(&platform.addr, "entry-2", &FAST),
    ];
    assert!(eventually(Duration::from_secs(4), || duty_holder(&platform.addr).is_some()));
    let first = duty_holder(&platform.addr).unwrap();
    let paused = &daemons[usize::from(first == "entry-2")];
    paused.freeze();
    let taken = || duty_holder(&platform.addr).is_some_and(|holder| holder != first);
    assert!(eventually(Duration::from_secs(5), taken), "nobody took the duty");
    run(actions(&platform.addr).set_role_order("server", EngineRole::Decode)).unwrap();
    let report = || get_json::<EngineReport>(&engine.addr, "/v1/report");
    let is_decode = || report().role == EngineRole::Decode && !report().busy;
    assert!(eventually(Duration::from_secs(5), is_decode), "{:?}", report());
    paused.thaw();
    std::thread::sleep(LEASE * 3);
    assert_eq!(report().sequence, 1, "another order was taken: {:?}", report());
    assert_eq!(report().role, EngineRole::Decode);
    assert_ne!(duty_holder(&platform.addr).unwrap(), first, "the duty went back by itself");
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
fn an_order_of_an_old_holder_is_refused() {
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
        let refused = ureq::post(&format!("http://{engine}/v1/order"))
            .send(serde_json::to_string(&stale).unwrap())
            .expect_err("an old holder's order must be refused");
        assert!(matches!(refused, ureq::Error::StatusCode(409)), "{}: {refused}", case.name);
        assert_eq!(report().role, EngineRole::Decode, "{}", case.name);
    }
}
