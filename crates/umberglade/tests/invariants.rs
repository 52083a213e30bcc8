//! Invariants of the daemon, each tested under the fault that could break it: operators who act at
//! the same time, a platform that is unavailable or fails over to an old copy, drained servers, a
//! stopped daemon.

mod support;

use std::thread;
use std::time::Duration;

use umberglade_router::operator::OperatorError;
use umberglade_wire::platform::FaultPlan;

use support::Process;
use support::Site;
use support::actions;
use support::engine_stats;
use support::eventually;
use support::post;
use support::set_faults;
use support::status;

const LONG_STREAM: &str = r#"{"model":"brief-model","stream":true,"max_tokens":300,"messages":[{"role":"user","content":"long brief"}]}"#;

/// Two operators activate a preset at the same time, both having read the same version. Exactly one
/// succeeds; the other gets a conflict error and nothing of its change is written.
#[test]
fn concurrent_activations_get_one_winner_and_one_conflict() {
    let site = Site::start(1, 1);
    let activations: Vec<_> = ["peak", "maintenance"]
        .into_iter()
        .map(|preset| {
            let platform = site.platform.addr.clone();
            thread::spawn(move || {
                umberglade_wire::pool::block_on(actions(&platform).activate(preset, 1))
            })
        })
        .collect();
    let results: Vec<_> =
        activations.into_iter().map(|activation| activation.join().unwrap()).collect();
    let wins = results.iter().filter(|result| result.is_ok()).count();
    let conflicts = results
        .iter()
        .filter(|result| matches!(result, Err(OperatorError::Conflict { .. })))
        .count();
    assert_eq!((wins, conflicts), (1, 1), "{results:?}");
}

/// The table service fails over to a copy that lost the last changes: it reports "ordinary at
/// version 1" while daemons hold "peak at version 2". A daemon must not return to the older
/// preset.
#[test]
fn active_preset_never_reverts_when_the_store_loses_writes() {
    let mut site = Site::start(1, 1);
    umberglade_wire::pool::block_on(actions(&site.platform.addr).activate("peak", 1)).unwrap();
    assert!(eventually(Duration::from_secs(3), || status(&site.daemon.addr).unwrap()["fence"] == 2));
    let addr = site.platform.addr.clone();
    site.platform.kill();
    site.platform =
        Process::start(&["standin", "platform", "--listen", &addr, "--instance-lag-ms", "0"]);
    support::seed(&addr);
    thread::sleep(Duration::from_millis(800));
    let now = status(&site.daemon.addr).unwrap();
    assert_eq!(now["preset"], "peak", "{now}");
    assert_eq!(now["fence"], 2, "{now}");
}

/// The platform's table service is unavailable for a long time. Callers must still be served with
/// the active preset, and the daemon must report the growing age of its view.
#[test]
fn daemon_serves_with_last_preset_during_platform_outage() {
    let site = Site::start(1, 1);
    set_faults(&site.platform.addr, &FaultPlan { outage: true, ..FaultPlan::default() });
    thread::sleep(Duration::from_millis(700));
    let response = post(
        &site.daemon.addr,
        "/v1/completions",
        "key-glenmorrow",
        r#"{"model":"brief-model","prompt":"gate code?","max_tokens":3}"#,
    );
    assert_eq!(response.status, 200, "{}", response.body);
    let now = status(&site.daemon.addr).unwrap();
    assert!(now["platform_sync_age_s"].as_f64().unwrap() > 0.4, "{now}");
    assert_eq!(now["preset"], "ordinary");
}

/// An operator drains a decode server before maintenance. Within a few feed rounds it must get no
/// new work, although the instance list still shows it as live.
#[test]
fn drained_server_gets_no_new_work() {
    let site = Site::start(1, 2);
    let drained = &site.engines[1];
    umberglade_wire::pool::block_on(actions(&site.platform.addr).drain("brief-decode-0")).unwrap();
    assert!(eventually(Duration::from_secs(2), || {
        status(&site.daemon.addr).unwrap()["servers"]
            .as_array()
            .unwrap()
            .iter()
            .any(|server| server["drained"] == true)
    }));
    let before = engine_stats(&drained.addr).decodes_done;
    for _ in 0..6 {
        let response = post(
            &site.daemon.addr,
            "/v1/completions",
            "key-glenmorrow",
            r#"{"model":"brief-model","prompt":"slots?","max_tokens":2}"#,
        );
        assert_eq!(response.status, 200, "{}", response.body);
    }
    assert_eq!(engine_stats(&drained.addr).decodes_done, before, "a drained server got new work");
}

/// SIGTERM arrives while a long response streams, as in a planned stop during maintenance. The load
/// balancer's health check fails at once, new work is rejected with Retry-After, the response in
/// flight is completed, then the process exits.
#[test]
fn graceful_stop_completes_requests_in_flight() {
    let mut site = Site::start(1, 1);
    let daemon = site.daemon.addr.clone();
    let streaming = thread::spawn(move || {
        post(&daemon, "/v1/chat/completions", "key-neulanjalki", LONG_STREAM)
    });
    thread::sleep(Duration::from_millis(300));
    site.daemon.terminate();
    thread::sleep(Duration::from_millis(100));
    let health = ureq::get(&format!("http://{}/healthz", site.daemon.addr)).call();
    assert!(health.is_err(), "health check must fail once the stop has started");
    let rejected = post(
        &site.daemon.addr,
        "/v1/completions",
        "key-glenmorrow",
        r#"{"model":"brief-model","prompt":"x"}"#,
    );
    assert_eq!((rejected.status, rejected.retry_after.is_some()), (503, true));
    let response = streaming.join().unwrap();
    assert_eq!(response.status, 200);
    assert!(
        response.body.ends_with("data: [DONE]\n\n"),
        "cut: {}",
        &response.body[response.body.len().saturating_sub(200)..]
    );
    assert!(
        eventually(Duration::from_secs(2), || site.daemon.child.try_wait().unwrap().is_some()),
        "daemon did not exit"
    );
}

/// The table service applies an activation but the reply is lost. The operator's command must not
/// report a failure or write twice: it reads the row back and finds its own write.
#[test]
fn lost_activation_reply_is_read_back_not_retried() {
    let site = Site::start(1, 1);
    set_faults(&site.platform.addr, &FaultPlan { lose_reply_percent: 100, ..FaultPlan::default() });
    let outcome = umberglade_wire::pool::block_on(actions(&site.platform.addr).activate("peak", 1));
    set_faults(&site.platform.addr, &FaultPlan::default());
    let row = outcome.expect("the write took effect and must be reported so");
    assert_eq!(row.version, 2, "written once");
}
