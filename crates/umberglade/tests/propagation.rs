//! An activated preset is active everywhere within seconds, and a drained or removed server gets no
//! new work within seconds. Neither cuts a request.

mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use umberglade_wire::platform::FaultPlan;

use support::Process;
use support::SHORT_FOLLOW_ARGS;
use support::Site;
use support::actions;
use support::engine_stats;
use support::eventually;
use support::post;
use support::run;
use support::seed;
use support::set_faults;
use support::start_daemon;
use support::start_engine;
use support::start_platform;
use support::status;

/// The required bound on the time until a preset is active everywhere.
const ACTIVATION_TIMEOUT: Duration = Duration::from_secs(4);

/// How the platform behaves while operators activate presets.
struct ActivationCase {
    name: &'static str,
    faults: FaultPlan,
    /// Number of activations in quick succession.
    changes: u64,
}

/// Operators activate presets, once or many times in a row, while the platform works, is slow, or
/// loses every reply to a write. The accepted activations must be active on every daemon within 4 s
/// of the last one, and no daemon may show an older fence after a newer one.
#[test]
fn accepted_preset_reaches_every_daemon_in_time() {
    let cases = [
        ActivationCase { name: "platform works", faults: FaultPlan::default(), changes: 1 },
        ActivationCase { name: "many changes in a row", faults: FaultPlan::default(), changes: 20 },
        ActivationCase {
            name: "platform slow",
            faults: FaultPlan { delay_ms: 700, ..FaultPlan::default() },
            changes: 1,
        },
        ActivationCase {
            name: "replies lost",
            faults: FaultPlan { lose_reply_percent: 100, ..FaultPlan::default() },
            changes: 1,
        },
    ];
    for case in &cases {
        let platform = start_platform("0");
        seed(&platform.addr);
        let daemons: Vec<Process> =
            (0..3).map(|at| start_daemon(&platform.addr, &format!("entry-{at}"), &[])).collect();
        set_faults(&platform.addr, &case.faults);
        let operators = actions(&platform.addr);
        for version in 1..=case.changes {
            let preset = if version % 2 == 1 { "peak" } else { "ordinary" };
            run(operators.activate(preset, version)).expect("accepted");
        }
        let accepted = Instant::now();
        let last = case.changes + 1;
        let mut highest = vec![0u64; daemons.len()];
        let everywhere = eventually(ACTIVATION_TIMEOUT, || {
            for (daemon, highest) in daemons.iter().zip(&mut highest) {
                let fence = status(&daemon.addr).unwrap()["fence"].as_u64().unwrap();
                assert!(fence >= *highest, "{}: went back from {highest} to {fence}", case.name);
                *highest = fence;
            }
            highest.iter().all(|fence| *fence == last)
        });
        assert!(everywhere, "{}: {highest:?} after {:?}", case.name, accepted.elapsed());
    }
}

/// Sends requests until `stop` is set. Returns their number, and status and body of each response
/// that was not complete.
fn send_until_stopped(daemon: String, stop: Arc<AtomicBool>) -> (u32, Vec<String>) {
    let mut sent = 0;
    let mut broken = Vec::new();
    while !stop.load(Ordering::Acquire) {
        sent += 1;
        let response =
            post(&daemon, "/v1/chat/completions", "key-glenmorrow", &support::chat(8, 12));
        if response.status != 200 || !response.body.ends_with("data: [DONE]\n\n") {
            broken.push(format!("{} {}", response.status, response.body));
        }
    }
    (sent, broken)
}

/// How a decode server is removed.
struct RemovalCase {
    name: &'static str,
    leave: fn(&mut Process),
}

/// A decode server is stopped by plan or killed while four callers keep sending requests, and the
/// instance list shows it only 3 s later. In a planned stop the server rejects nothing that it
/// holds; a killed server responds to nothing. No caller may see a cut or rejected request, and
/// within a second no more work may be sent to the removed server.
#[test]
fn leaving_server_fails_no_request() {
    let cases = [
        RemovalCase { name: "planned stop", leave: |engine| engine.terminate() },
        RemovalCase { name: "crash", leave: Process::kill },
    ];
    for case in &cases {
        let platform = start_platform("3000");
        let _prefill = start_engine(&platform.addr, "p", "prefill", &[]);
        let mut leaving = start_engine(&platform.addr, "going", "decode", &[]);
        let remaining = start_engine(&platform.addr, "staying", "decode", &[]);
        seed(&platform.addr);
        let daemon = start_daemon(&platform.addr, "entry-1", &SHORT_FOLLOW_ARGS);
        support::wait_for_servers(&daemon.addr, 3);
        let stop = Arc::new(AtomicBool::new(false));
        let callers: Vec<_> = (0..4)
            .map(|_| {
                let (addr, stop) = (daemon.addr.clone(), Arc::clone(&stop));
                thread::spawn(move || send_until_stopped(addr, stop))
            })
            .collect();
        thread::sleep(Duration::from_millis(500));
        (case.leave)(&mut leaving);
        let mut exited = false;
        eventually(Duration::from_secs(2), || {
            exited = leaving.child.try_wait().unwrap().is_some();
            exited
        });
        assert!(exited, "{}: the server did not finish its work", case.name);
        thread::sleep(Duration::from_millis(700));
        stop.store(true, Ordering::Release);
        let mut sent = 0;
        for caller in callers {
            let (count, broken) = caller.join().unwrap();
            sent += count;
            assert!(broken.is_empty(), "{}: {broken:?}", case.name);
        }
        assert!(sent > 20, "{}: only {sent} requests sent", case.name);
        assert!(engine_stats(&remaining.addr).decodes_done > 0);
    }
}

/// An operator drains a decode server for maintenance while callers send requests. The instance
/// list still shows it as live. Within a second it holds nothing and gets no new work, and no
/// request fails.
#[test]
fn drained_server_completes_its_requests() {
    let site = Site::start(1, 2);
    let drained = site.decode_engine(1, 0).addr.clone();
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..4)
        .map(|_| {
            let (addr, stop) = (site.daemon.addr.clone(), Arc::clone(&stop));
            thread::spawn(move || send_until_stopped(addr, stop))
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    run(actions(&site.platform.addr).drain("brief-decode-0")).unwrap();
    thread::sleep(Duration::from_secs(1));
    let done = engine_stats(&drained).decodes_done;
    thread::sleep(Duration::from_millis(500));
    let later = engine_stats(&drained);
    stop.store(true, Ordering::Release);
    for caller in callers {
        let (_, broken) = caller.join().unwrap();
        assert!(broken.is_empty(), "{broken:?}");
    }
    assert_eq!(
        (later.held_requests, later.decodes_done),
        (0, done),
        "a drained server held or got work"
    );
}
