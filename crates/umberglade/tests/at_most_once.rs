//! Non-idempotent calls (a booking) run at most once: retries, races and
//! lost replies of the platform's table service.

mod support;

use std::thread;
use std::time::Duration;

use umberglade_wire::plain::PlainStats;
use umberglade_wire::platform::FaultPlan;

use support::CallerAnswer;
use support::Process;
use support::Site;
use support::wait_for_servers;

/// A site with one booking-desk plain service beside the engines.
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

fn book(daemon: &str, key: Option<&str>) -> CallerAnswer {
    let agent: ureq::Agent =
        ureq::Agent::config_builder().http_status_as_error(false).build().into();
    let mut request = agent
        .post(&format!("http://{daemon}/v1/services/booking-desk/call"))
        .header("Authorization", "Bearer key-neulanjalki")
        .header("Content-Type", "application/json");
    if let Some(key) = key {
        request = request.header("Idempotency-Key", key);
    }
    let mut response =
        request.send(r#"{"artist":"aino","slot":"fri-14:00"}"#).expect("the daemon answers");
    let retry_after =
        response.headers().get("retry-after").map(|value| value.to_str().unwrap().to_owned());
    let status = response.status().as_u16();
    CallerAnswer { status, retry_after, body: response.body_mut().read_to_string().unwrap() }
}

fn desk_stats(desk: &str) -> PlainStats {
    let mut response = ureq::get(&format!("http://{desk}/v1/stats")).call().unwrap();
    serde_json::from_str(&response.body_mut().read_to_string().unwrap()).unwrap()
}

/// One case: how a client sends the same booking, and what the platform
/// does meanwhile.
struct RetryCase {
    name: &'static str,
    /// Copies of the call sent one after another with the same key.
    sequential: usize,
    /// Copies sent at the same moment with the same key.
    concurrent: usize,
    /// Every write's reply to the daemon is lost after it took effect.
    lose_replies: bool,
}

/// A client on the phone presses "book" again because the first answer
/// was slow, or two of its retries race, or the table service loses the
/// replies to the idempotency record's writes. The slot must be booked
/// once, and every answer must carry that one booking.
#[test]
fn a_booking_runs_at_most_once_whatever_the_retries() {
    let cases = [
        RetryCase {
            name: "retry after the answer",
            sequential: 3,
            concurrent: 0,
            lose_replies: false,
        },
        RetryCase { name: "retries racing", sequential: 0, concurrent: 4, lose_replies: false },
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
            ureq::post(&format!("http://{}/v1/faults", site.platform.addr))
                .header("Content-Type", "application/json")
                .send(serde_json::to_string(&plan).unwrap())
                .unwrap();
        }
        let key = format!("booking-{}", case.name.replace(' ', "-"));
        let mut answers: Vec<CallerAnswer> =
            (0..case.sequential).map(|_| book(&site.daemon.addr, Some(&key))).collect();
        let racers: Vec<_> = (0..case.concurrent)
            .map(|_| {
                let daemon = site.daemon.addr.clone();
                let key = key.clone();
                thread::spawn(move || book(&daemon, Some(&key)))
            })
            .collect();
        answers.extend(racers.into_iter().map(|racer| racer.join().unwrap()));
        let stats = desk_stats(&desk.addr);
        assert_eq!(stats.most_runs_of_one_key, 1, "{}: ran {stats:?}", case.name);
        let booked: Vec<&CallerAnswer> =
            answers.iter().filter(|answer| answer.status == 200).collect();
        assert!(!booked.is_empty(), "{}: nobody got the booking", case.name);
        assert!(
            booked.iter().all(|answer| answer.body == booked[0].body),
            "{}: answers differ",
            case.name
        );
        for answer in answers.iter().filter(|answer| answer.status != 200) {
            assert_eq!(answer.status, 409, "{}: {}", case.name, answer.body);
            assert!(
                answer.retry_after.is_some(),
                "{}: a refusal says when to come back",
                case.name
            );
        }
        thread::sleep(Duration::from_millis(10));
    }
}

/// A call to a plain service without an Idempotency-Key is refused before
/// anything runs: the daemon could not make a retry safe.
#[test]
fn a_call_without_an_idempotency_key_is_refused_and_not_run() {
    let (site, desk) = site_with_booking_desk();
    let answer = book(&site.daemon.addr, None);
    assert_eq!(answer.status, 400, "{}", answer.body);
    assert!(answer.body.contains("Idempotency-Key"), "{}", answer.body);
    assert_eq!(desk_stats(&desk.addr).executions, 0);
}
