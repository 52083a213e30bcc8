//! Non-idempotent calls such as a booking run at most once, under retries, races and lost replies
//! of the platform's table service.

mod support;

use std::thread;
use std::time::Duration;

use umberglade_wire::plain::IDEMPOTENCY_TABLE;
use umberglade_wire::plain::PlainFaults;
use umberglade_wire::plain::PlainStats;
use umberglade_wire::platform::FaultPlan;

use support::CallerResponse;
use support::Process;
use support::Site;
use support::eventually;
use support::get_json;
use support::post_json;
use support::set_faults;
use support::wait_for_servers;

/// Starts a site with engines and one server of the plain service booking-desk.
fn site_with_booking_desk() -> (Site, Process) {
    let site = Site::start(1, 1);
    let desk = Process::start(&[
        "standin",
        "plain",
        "--server",
        "desk-1",
        "--service",
        "booking-desk",
        "--register-with",
        &site.platform.addr,
    ]);
    wait_for_servers(&site.daemon.addr, 3);
    (site, desk)
}

fn book(daemon: &str, key: Option<&str>) -> CallerResponse {
    let agent: ureq::Agent =
        ureq::Agent::config_builder().http_status_as_error(false).build().into();
    let mut request = agent
        .post(&format!("http://{daemon}/v1/services/booking-desk/call"))
        .header("Authorization", "Bearer key-neulanjalki")
        .header("Content-Type", "application/json");
    if let Some(key) = key {
        request = request.header("Idempotency-Key", key);
    }
    let mut response = request
        .send(r#"{"artist":"aino","slot":"fri-14:00"}"#)
        .expect("a response from the daemon");
    let retry_after =
        response.headers().get("retry-after").map(|value| value.to_str().unwrap().to_owned());
    let status = response.status().as_u16();
    CallerResponse { status, retry_after, body: response.body_mut().read_to_string().unwrap() }
}

fn desk_stats(desk: &str) -> PlainStats {
    get_json(desk, "/v1/stats")
}

/// How a caller sends the same booking several times, and how the platform behaves meanwhile.
struct RetryCase {
    name: &'static str,
    /// Number of calls sent one after another with the same key.
    sequential: usize,
    /// Number of calls sent at the same time with the same key.
    concurrent: usize,
    /// Every write takes effect, but its reply to the daemon is lost.
    lose_replies: bool,
}

/// A caller sends a call again because the first response was slow, its retries race, or the table
/// service loses the replies to writes of the idempotency record. The slot must be booked once, not
/// twice, and every successful response must carry that booking.
#[test]
fn booking_runs_at_most_once_under_retries() {
    let cases = [
        RetryCase {
            name: "retry after the response",
            sequential: 3,
            concurrent: 0,
            lose_replies: false,
        },
        RetryCase { name: "retries racing", sequential: 0, concurrent: 4, lose_replies: false },
        RetryCase {
            name: "retries racing with lost replies",
            sequential: 0,
            concurrent: 6,
            lose_replies: true,
        },
        RetryCase {
            name: "lost replies on the record",
            sequential: 2,
            concurrent: 0,
            lose_replies: true,
        },
    ];
    for case in &cases {
        let (site, desk) = site_with_booking_desk();
        if case.lose_replies {
            let plan = FaultPlan { lose_reply_percent: 100, ..FaultPlan::default() };
            set_faults(&site.platform.addr, &plan);
        }
        let key = format!("booking-{}", case.name.replace(' ', "-"));
        let mut responses: Vec<CallerResponse> =
            (0..case.sequential).map(|_| book(&site.daemon.addr, Some(&key))).collect();
        let concurrent_calls: Vec<_> = (0..case.concurrent)
            .map(|_| {
                let daemon = site.daemon.addr.clone();
                let key = key.clone();
                thread::spawn(move || book(&daemon, Some(&key)))
            })
            .collect();
        responses.extend(concurrent_calls.into_iter().map(|call| call.join().unwrap()));
        let stats = desk_stats(&desk.addr);
        assert_eq!(stats.most_runs_of_one_key, 1, "{}: ran {stats:?}", case.name);
        let booked: Vec<&CallerResponse> =
            responses.iter().filter(|response| response.status == 200).collect();
        assert!(!booked.is_empty(), "{}: no call succeeded", case.name);
        assert!(
            booked.iter().all(|response| response.body == booked[0].body),
            "{}: responses differ",
            case.name
        );
        for response in responses.iter().filter(|response| response.status != 200) {
            assert_eq!(response.status, 409, "{}: {}", case.name, response.body);
            assert!(response.retry_after.is_some(), "{}: a rejection has Retry-After", case.name);
        }
        thread::sleep(Duration::from_millis(10));
    }
}

/// A call to a plain service without an Idempotency-Key is rejected before it runs, because the
/// daemon cannot make its retry safe.
#[test]
fn call_without_idempotency_key_is_rejected_and_not_run() {
    let (site, desk) = site_with_booking_desk();
    let response = book(&site.daemon.addr, None);
    assert_eq!(response.status, 400, "{}", response.body);
    assert!(response.body.contains("Idempotency-Key"), "{}", response.body);
    assert_eq!(desk_stats(&desk.addr).executions, 0);
}

/// How a service handles a call, and the status that the caller must get.
struct ServiceCase {
    name: &'static str,
    faults: PlainFaults,
    status: u16,
    /// Runs after the first call.
    runs: u64,
    /// The status of a retry with the same key once the service works again.
    retry_status: u16,
    /// Runs after that retry.
    runs_after: u64,
}

/// The booking-desk rejects a call, fails halfway through it, or runs it and never responds, and
/// the caller retries with the same key. Only the rejected call may run on the retry; the other two
/// have run already and must not run twice.
#[test]
fn call_that_may_have_run_is_not_run_again() {
    let cases = [
        ServiceCase {
            name: "rejected",
            faults: PlainFaults { refuse: true, ..PlainFaults::default() },
            status: 503,
            runs: 0,
            retry_status: 200,
            runs_after: 1,
        },
        ServiceCase {
            name: "failed halfway",
            faults: PlainFaults { fail: true, ..PlainFaults::default() },
            status: 500,
            runs: 1,
            retry_status: 500,
            runs_after: 1,
        },
        ServiceCase {
            name: "response lost",
            faults: PlainFaults { lose_answers: true, ..PlainFaults::default() },
            status: 504,
            runs: 1,
            retry_status: 409,
            runs_after: 1,
        },
    ];
    let (site, desk) = site_with_booking_desk();
    for case in &cases {
        let key = format!("key {}/{}", case.name, 1);
        let before = desk_stats(&desk.addr).executions;
        post_json(&desk.addr, "/v1/faults", &case.faults);
        let first = book(&site.daemon.addr, Some(&key));
        assert_eq!(first.status, case.status, "{}: {}", case.name, first.body);
        assert_eq!(desk_stats(&desk.addr).executions - before, case.runs, "{}", case.name);
        post_json(&desk.addr, "/v1/faults", &PlainFaults::default());
        // The desk is ejected for a while after a failure.
        let mut retry = book(&site.daemon.addr, Some(&key));
        eventually(Duration::from_secs(3), || {
            retry = book(&site.daemon.addr, Some(&key));
            retry.status != 503
        });
        assert_eq!(retry.status, case.retry_status, "{}: {}", case.name, retry.body);
        let runs = desk_stats(&desk.addr).executions - before;
        assert_eq!(runs, case.runs_after, "{}: after the retry", case.name);
    }
}

/// The table service stores the claim of a booking and becomes unavailable before it replies, so
/// the daemon can't tell whether it holds the key and rejects the call as not run. When the service
/// is available again the caller retries with the same key: the orphaned claim must not block it,
/// and the booking runs exactly once.
#[test]
fn orphaned_claim_does_not_block_its_key() {
    let (site, desk) = site_with_booking_desk();
    let platform = site.platform.addr.clone();
    let lost = FaultPlan { lose_reply_percent: 100, ..FaultPlan::default() };
    set_faults(&platform, &lost);
    let daemon = site.daemon.addr.clone();
    let caller = thread::spawn(move || book(&daemon, Some("orphan")));
    thread::sleep(Duration::from_millis(500));
    set_faults(&platform, &FaultPlan { outage: true, ..lost });
    let rejected = caller.join().unwrap();
    assert_eq!(rejected.status, 503, "{}", rejected.body);
    assert!(rejected.body.contains("not run"), "{}", rejected.body);
    assert_eq!(desk_stats(&desk.addr).executions, 0);
    set_faults(&platform, &FaultPlan::default());
    let mut last = 0;
    let booked = eventually(Duration::from_secs(8), || {
        last = book(&site.daemon.addr, Some("orphan")).status;
        last == 200
    });
    assert!(booked, "the key stayed blocked: last status {last}");
    assert_eq!(desk_stats(&desk.addr).executions, 1);
}

/// A lookup may be retried: when one of two desks rejects all work, the other one still responds to
/// every lookup.
#[test]
fn lookups_fail_over_to_another_server() {
    let (site, desk) = site_with_booking_desk();
    let args = ["standin", "plain", "--server", "desk-2", "--service", "booking-desk"];
    let second = Process::start(&[&args[..], &["--register-with", &site.platform.addr]].concat());
    wait_for_servers(&site.daemon.addr, 4);
    post_json(&desk.addr, "/v1/faults", &PlainFaults { refuse: true, ..PlainFaults::default() });
    for slot in 0..20 {
        let path = format!("/v1/services/booking-desk/lookup/slot-{slot}");
        let mut response = ureq::get(&format!("http://{}{path}", site.daemon.addr))
            .header("Authorization", "Bearer key-glenmorrow")
            .call()
            .expect("a response to every lookup");
        let body = response.body_mut().read_to_string().unwrap();
        assert!(body.contains(&format!("slot-{slot}")), "{body}");
    }
    drop(second);
}

/// More than a hundred idempotency records accumulate in the table. The leader removes those past
/// their retention and keeps newer ones, so that a retry of a recent booking still gets its
/// response.
#[test]
fn expired_idempotency_records_are_removed() {
    let platform = support::start_platform("0");
    let desk = ["standin", "plain", "--server", "desk-1", "--register-with", &platform.addr];
    let desk = Process::start(&desk);
    support::seed(&platform.addr);
    let args = ["--member-beat-ms", "200", "--record-retention-s", "2", "--follow-ms", "200"];
    let daemon = support::start_daemon(&platform.addr, "entry-1", &args);
    wait_for_servers(&daemon.addr, 1);
    let records = || {
        let list = support::run(support::actions(&platform.addr).platform.list(IDEMPOTENCY_TABLE));
        list.unwrap().rows.len()
    };
    for number in 0..130 {
        assert_eq!(book(&daemon.addr, Some(&format!("old-{number}"))).status, 200);
    }
    thread::sleep(Duration::from_millis(1500));
    assert_eq!(book(&daemon.addr, Some("new")).status, 200);
    let new_only = || records() == 1;
    assert!(eventually(Duration::from_secs(4), new_only), "{} records left", records());
    let before = desk_stats(&desk.addr).executions;
    assert_eq!(book(&daemon.addr, Some("new")).status, 200);
    assert_eq!(desk_stats(&desk.addr).executions, before, "a recent booking ran again");
}
