//! Ends of accepted requests without a complete response.

mod support;

use std::time::Duration;
use std::time::Instant;

use futures_lite::FutureExt;
use umberglade_bench::site::LocalSite;
use umberglade_router::events;
use umberglade_router::placement::AffinityPlacement;
use umberglade_wire::engine::EngineFaults;
use umberglade_wire::pool;

use support::EventLog;
use support::HANG_TIMEOUT;
use support::send;
use support::start_site;

/// When a caller that leaves does so.
const LEAVE_AFTER: Duration = Duration::from_millis(100);

struct EndCase {
    name: &'static str,
    is_streamed: bool,
    faults: EngineFaults,
    caller_leaves: bool,
    /// The logged reason; none for a complete response.
    reason: Option<&'static str>,
}

fn cases() -> Vec<EndCase> {
    let none = EngineFaults::default();
    let paused = EngineFaults { pause_after_tokens: 3, pause_ms: 400, ..none.clone() };
    let down = EngineFaults { down: true, ..none.clone() };
    let cut = EngineFaults { cut_after_tokens: 2, ..none.clone() };
    let case = |name, faults: &EngineFaults, caller_leaves, reason| EndCase {
        name,
        is_streamed: false,
        faults: faults.clone(),
        caller_leaves,
        reason,
    };
    vec![
        case("complete", &none, false, None),
        EndCase { is_streamed: true, ..case("complete stream", &none, false, None) },
        case("caller leaves", &paused, true, Some("caller_left")),
        EndCase {
            is_streamed: true,
            ..case("leaves a stream", &paused, true, Some("caller_left"))
        },
        EndCase { is_streamed: true, ..case("stream cut", &cut, false, Some("cut")) },
        case("cut in one piece", &cut, false, Some("cut")),
        case("all servers reject", &down, false, Some("rejected")),
    ]
}

/// Guards against an accepted request that ends without a response and without a log line that says
/// why.
#[test]
fn each_end_without_a_complete_response_is_logged_with_its_reason() {
    let logged = EventLog::default();
    tracing::subscriber::set_global_default(logged.clone()).expect("the first subscriber");
    pool::start(2);
    for case in cases() {
        pool::block_on(check(&case, &logged));
    }
}

async fn check(case: &EndCase, logged: &EventLog) {
    let site = start_site().await;
    set_faults(&site, &case.faults);
    let settings = site.daemon_settings("entry-1", "hall-a");
    let started = site.add_daemon(settings, AffinityPlacement::default()).await.expect("a daemon");
    let addr = started.local.to_string();
    let before = logged.count(events::REQUEST_UNANSWERED);
    let answered = async { Some(send(&addr, case.is_streamed).await) };
    let leaves = async {
        smol::Timer::after(LEAVE_AFTER).await;
        None
    };
    if case.caller_leaves {
        answered.or(leaves).await
    } else {
        answered.await
    };
    let until = Instant::now() + HANG_TIMEOUT;
    while started.daemon.in_flight() > 0 && Instant::now() < until {
        smol::Timer::after(Duration::from_millis(10)).await;
    }
    let reasons = logged.reasons(events::REQUEST_UNANSWERED).split_off(before);
    let expected: Vec<_> = case.reason.into_iter().collect();
    assert_eq!(reasons, expected, "{}", case.name);
}

fn set_faults(site: &LocalSite, faults: &EngineFaults) {
    for engine in &site.engines {
        engine.standin.set_faults(faults.clone());
    }
}
