//! Tracking of the rate limits that servers state in their responses.

use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::LimitUpdate;
use umberglade_gateway::cluster::ServerLimits;
use umberglade_gateway::model::RequestRate;
use umberglade_gateway::model::StatedLimit;

const SERVER: u64 = 7;

fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).expect("a rate")
}

/// A response with the limit that it states. Times are offsets from the start of the test.
struct Response {
    sent_ms: u64,
    received_ms: u64,
    stated: StatedLimit,
}

/// Checks that a response that is out of order or has an unreadable limit does not lift a limit.
#[test]
fn responses_update_the_limit() {
    struct Case {
        name: &'static str,
        responses: Vec<Response>,
        limit: Option<f64>,
    }
    let four = StatedLimit::Rate(rate(4.0));
    let six = StatedLimit::Rate(rate(6.0));
    let response = |sent_ms, received_ms, stated| Response { sent_ms, received_ms, stated };
    let cases = [
        Case {
            name: "never stated",
            responses: vec![response(0, 10, StatedLimit::None)],
            limit: None,
        },
        Case { name: "stated", responses: vec![response(0, 10, four)], limit: Some(4.0) },
        Case {
            name: "changed",
            responses: vec![response(0, 10, four), response(1, 12, six)],
            limit: Some(6.0),
        },
        Case {
            name: "lifted",
            responses: vec![response(0, 10, four), response(20, 30, StatedLimit::None)],
            limit: None,
        },
        Case {
            name: "late response to an earlier request",
            responses: vec![response(0, 10, four), response(5, 30, StatedLimit::None)],
            limit: Some(4.0),
        },
        Case {
            name: "unreadable limit is ignored",
            responses: vec![response(0, 10, four), response(20, 30, StatedLimit::Unreadable)],
            limit: Some(4.0),
        },
    ];
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    for case in cases {
        let mut limits = ServerLimits::default();
        for response in &case.responses {
            limits.record_response(
                SERVER,
                response.stated,
                at(response.sent_ms),
                at(response.received_ms),
            );
        }
        let limit = limits.limit(SERVER).map(RequestRate::per_second);
        assert_eq!(limit, case.limit, "{}", case.name);
    }
}

/// Checks that the table does not grow without bound, and that the limit of a server whose row has
/// only expired for a short time is kept.
#[test]
fn limits_of_unlisted_servers_expire() {
    let start = Instant::now();
    let mut limits = ServerLimits::default();
    limits.record_response(SERVER, StatedLimit::Rate(rate(4.0)), start, start);
    let after = |seconds| start + Duration::from_secs(seconds);
    limits.tick(|_| true, after(300));
    limits.tick(|_| false, after(310));
    assert_eq!(limits.limit(SERVER), Some(rate(4.0)));
    limits.tick(|_| false, after(400));
    assert!(limits.is_empty());
}

/// Checks that a report that arrives out of order does not replace a newer limit.
#[test]
fn reports_apply_the_newest_limit() {
    struct Case {
        name: &'static str,
        /// Age in milliseconds and limit of each report, in order of arrival.
        reports: Vec<(u32, Option<f64>)>,
        limit: Option<f64>,
    }
    let cases = [
        Case { name: "first report", reports: vec![(100, Some(4.0))], limit: Some(4.0) },
        Case { name: "newer", reports: vec![(100, Some(4.0)), (50, Some(6.0))], limit: Some(6.0) },
        Case { name: "older", reports: vec![(100, Some(4.0)), (150, Some(6.0))], limit: Some(4.0) },
        Case { name: "lifted", reports: vec![(100, Some(4.0)), (50, None)], limit: None },
        Case {
            name: "lifted earlier",
            reports: vec![(100, Some(4.0)), (150, None)],
            limit: Some(4.0),
        },
        Case {
            name: "stated again",
            reports: vec![(100, None), (50, Some(4.0))],
            limit: Some(4.0),
        },
    ];
    let now = Instant::now() + Duration::from_secs(1);
    for case in cases {
        let mut limits = ServerLimits::default();
        for (age_ms, limit) in case.reports {
            let update = LimitUpdate { server: SERVER, rate: limit.map(rate), age_ms };
            limits.apply_peer_limit(update, now);
        }
        assert_eq!(limits.limit(SERVER).map(RequestRate::per_second), case.limit, "{}", case.name);
        assert!(!limits.may_send(SERVER, now) || case.limit.is_none(), "{}", case.name);
    }
}

/// Checks that reports do not exceed their part of the datagram when hundreds of servers state
/// limits, and that every limit is reported eventually.
#[test]
fn reports_of_many_limits_fit_and_cover_all() {
    const SERVERS: u64 = 890;
    const REPORTS: usize = 300;
    const MAX_BYTES: usize = 8192 / 4;
    let now = Instant::now();
    let later = now + Duration::from_secs(3600);
    let mut sender = ServerLimits::default();
    let mut receiver = ServerLimits::default();
    for server in 0..SERVERS {
        let stated = StatedLimit::Rate(rate(4.6));
        sender.record_response(u64::MAX - server, stated, now, now);
    }
    for _ in 0..REPORTS {
        let updates = sender.updates(true, later);
        let bytes = postcard::to_allocvec(&updates).expect("plain fields").len();
        assert!(bytes <= MAX_BYTES, "{bytes} bytes of limits");
        for limit in updates {
            receiver.apply_peer_limit(limit, later);
        }
    }
    assert_eq!(receiver.active_count(), SERVERS as usize);
}
