//! Panics while a request is handled or its response relayed.

mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use http::StatusCode;
use umberglade_bench::site::LocalSite;
use umberglade_router::control::ServerSlot;
use umberglade_router::events;
use umberglade_router::placement::AffinityPlacement;
use umberglade_router::placement::Choice;
use umberglade_router::placement::Placement;
use umberglade_router::placement::PlacementRequest;
use umberglade_wire::engine::EngineFaults;
use umberglade_wire::pool;
use umberglade_wire::server::HANDLING_PANICKED;

use support::EventLog;
use support::HANG_TIMEOUT;
use support::send;
use support::start_site;

/// Panics in placements of the kind that is armed.
#[derive(Debug, Default)]
struct PanickingPlacement {
    inner: AffinityPlacement,
    switches: Arc<PanicSwitches>,
}

#[derive(Debug, Default)]
struct PanicSwitches {
    /// Before anything was sent to a server.
    at_first: AtomicBool,
    /// When a response that has begun resumes on another server.
    at_resume: AtomicBool,
}

impl Placement for PanickingPlacement {
    fn prefill(
        &self,
        candidates: &[Arc<ServerSlot>],
        request: &PlacementRequest<'_>,
    ) -> Option<Choice> {
        self.inner.prefill(candidates, request)
    }

    fn decode(
        &self,
        candidates: &[Arc<ServerSlot>],
        request: &PlacementRequest<'_>,
    ) -> Option<Choice> {
        let is_resume = !request.avoid.is_empty();
        let switch = if is_resume { &self.switches.at_resume } else { &self.switches.at_first };
        assert!(!switch.load(Ordering::Acquire), "a panic of the test");
        self.inner.decode(candidates, request)
    }

    fn waits_for_capacity(&self) -> bool {
        self.inner.waits_for_capacity()
    }
}

struct PanicCase {
    name: &'static str,
    is_streamed: bool,
    at_first: bool,
    at_resume: bool,
    status: StatusCode,
    /// The type of the error that the caller gets.
    error: &'static str,
    event: u32,
}

const CASES: [PanicCase; 4] = [
    PanicCase {
        name: "placing a stream",
        is_streamed: true,
        at_first: true,
        at_resume: false,
        status: StatusCode::GATEWAY_TIMEOUT,
        error: "outcome_unknown",
        event: HANDLING_PANICKED,
    },
    PanicCase {
        name: "placing a request in one piece",
        is_streamed: false,
        at_first: true,
        at_resume: false,
        status: StatusCode::GATEWAY_TIMEOUT,
        error: "outcome_unknown",
        event: HANDLING_PANICKED,
    },
    PanicCase {
        name: "resuming a stream",
        is_streamed: true,
        at_first: false,
        at_resume: true,
        status: StatusCode::OK,
        error: "answer_cut",
        event: events::RELAY_PANICKED,
    },
    PanicCase {
        name: "resuming a response in one piece",
        is_streamed: false,
        at_first: false,
        at_resume: true,
        status: StatusCode::GATEWAY_TIMEOUT,
        error: "outcome_unknown",
        event: HANDLING_PANICKED,
    },
];

/// Guards against a panic that ends its request without an answer, or a stream as if it were
/// complete, or that ends more than its own request.
#[test]
fn a_panic_ends_its_own_request_with_an_error() {
    let logged = EventLog::default();
    tracing::subscriber::set_global_default(logged.clone()).expect("the first subscriber");
    pool::start(2);
    pool::block_on(async {
        let site = start_site().await;
        let switches = Arc::new(PanicSwitches::default());
        let placement =
            PanickingPlacement { switches: Arc::clone(&switches), ..Default::default() };
        let settings = site.daemon_settings("entry-1", "hall-a");
        let started = site.add_daemon(settings, placement).await.expect("a daemon");
        let addr = started.local.to_string();
        for case in &CASES {
            let cut_after_tokens = if case.at_resume { 5 } else { 0 };
            set_cut(&site, cut_after_tokens);
            switches.at_first.store(case.at_first, Ordering::Release);
            switches.at_resume.store(case.at_resume, Ordering::Release);
            let before = logged.count(case.event);
            let (status, body) = send(&addr, case.is_streamed).await;
            let name = case.name;
            assert_eq!(status, case.status, "{name}: {body}");
            assert!(body.contains(case.error) && !body.contains("[DONE]"), "{name}: {body}");
            assert_eq!(logged.count(case.event), before + 1, "{name}: not logged");
            let ends = logged.reasons(events::REQUEST_UNANSWERED);
            assert_eq!(ends.last().map(String::as_str), Some("panicked"), "{name}: {ends:?}");
            switches.at_first.store(false, Ordering::Release);
            switches.at_resume.store(false, Ordering::Release);
            set_cut(&site, 0);
            let (status, body) = send(&addr, true).await;
            assert!(status == StatusCode::OK && body.contains("[DONE]"), "after {name}: {body}");
        }
        assert!(started.daemon.wait_until_drained(HANG_TIMEOUT).await, "requests left in flight");
    });
}

fn set_cut(site: &LocalSite, cut_after_tokens: u32) {
    let faults = EngineFaults { cut_after_tokens, ..EngineFaults::default() };
    for engine in &site.engines {
        engine.standin.set_faults(faults.clone());
    }
}
