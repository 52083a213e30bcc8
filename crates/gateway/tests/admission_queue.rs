//! The admission queue in a burst: which requests wait for engine capacity and which are rejected
//! at once.

use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::AdmissionQueue;
use umberglade_gateway::cluster::PeerQueues;
use umberglade_gateway::cluster::QueueRequest;
use umberglade_gateway::cluster::RateEstimate;
use umberglade_gateway::cluster::Ticket;
use umberglade_gateway::cluster::TypicalTimeout;

const TARGET: Duration = Duration::from_millis(600);
const MAX_WAIT: Duration = Duration::from_millis(3000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A request of a new caller at `now`.
fn new_request(now: Instant) -> QueueRequest {
    QueueRequest { occupancy: 1, target_deadline: now + TARGET, retrying_for: Duration::ZERO }
}

/// Returns the ticket at the head of the queue.
fn head(queue: &mut AdmissionQueue, tickets: &[Ticket], now: Instant) -> Option<Ticket> {
    tickets.iter().copied().find(|ticket| queue.head_since(*ticket, now).is_some())
}

#[test]
fn requests_within_target_precede_those_past_it() {
    let start = Instant::now();
    let mut queue = AdmissionQueue::default();
    let early = queue.join(new_request(start), MAX_WAIT, PeerQueues::default(), start).unwrap();
    let later = start + ms(300);
    let second = queue.join(new_request(later), MAX_WAIT, PeerQueues::default(), later).unwrap();
    struct Case {
        name: &'static str,
        at: Duration,
        expected: Ticket,
    }
    let cases = [
        Case { name: "both within target: first come", at: ms(400), expected: early },
        Case { name: "the first is past target: the other", at: ms(700), expected: second },
        Case { name: "both past target: first come", at: ms(1000), expected: early },
    ];
    for case in cases {
        let found = head(&mut queue, &[early, second], start + case.at);
        assert_eq!(found, Some(case.expected), "{}", case.name);
    }
}

/// A burst of twice the engines' capacity for 5 s. First-come-first-served would soon make every
/// response miss its target; here the excess waits or is rejected, and most responses are within
/// target.
#[test]
fn a_burst_of_twice_the_capacity() {
    let start = Instant::now();
    let mut queue = AdmissionQueue::default();
    let mut waiting: Vec<(Ticket, Instant)> = Vec::new();
    let (mut within_target, mut past_target, mut rejected) = (0, 0, 0);
    for step in 0..700u64 {
        let now = start + ms(step * 10);
        // 40 requests per second for 5 s, with capacity for 20 per second.
        if step < 500 && (step * 4) % 10 < 4 {
            match queue.join(new_request(now), MAX_WAIT, PeerQueues::default(), now) {
                Ok(ticket) => waiting.push((ticket, now)),
                Err(_) => rejected += 1,
            }
        }
        if step % 5 == 0 {
            let ready =
                waiting.iter().position(|(ticket, _)| queue.head_since(*ticket, now).is_some());
            if let Some(at) = ready {
                let (ticket, joined) = waiting.remove(at);
                queue.leave(ticket, true, now);
                if now.duration_since(joined) <= TARGET {
                    within_target += 1
                } else {
                    past_target += 1
                }
            }
        }
        waiting.retain(|(ticket, joined)| {
            let waits = now.duration_since(*joined) < MAX_WAIT;
            if !waits {
                queue.leave(*ticket, false, now);
                rejected += 1;
            }
            waits
        });
    }
    assert_eq!(within_target + past_target + rejected + waiting.len(), 200);
    assert!(
        within_target >= 80,
        "{within_target} within target, {past_target} past it, {rejected} rejected"
    );
    assert!(
        rejected >= 20,
        "{within_target} within target, {past_target} past it, {rejected} rejected"
    );
}

/// A burst of twice the engines' capacity, with requests whose occupancies differ tenfold.
/// First-come-first-served would serve half of them within target; least occupancy first serves far
/// more, and every other request is still placed once the burst is over.
#[test]
fn requests_of_least_occupancy_go_first_in_a_burst() {
    /// Occupancy that the engines release every 10 ms, and occupancies of requests.
    const CAPACITY: u64 = 100;
    const SIZES: [u64; 5] = [100, 200, 400, 800, 1000];
    const BURST_STEPS: u64 = 500;
    let start = Instant::now();
    let mut queue = AdmissionQueue::default();
    let mut waiting: Vec<(Ticket, Instant, u64)> = Vec::new();
    let (mut within_target, mut past_target, mut spare) = (0, 0, 0);
    for step in 0..BURST_STEPS * 3 {
        let now = start + ms(step * 10);
        if step < BURST_STEPS && step % 5 < 2 {
            let occupancy = SIZES[(step / 5 * 2 + step % 5) as usize % SIZES.len()];
            let new_request = QueueRequest { occupancy, ..new_request(now) };
            let endless = Duration::from_secs(60);
            let ticket =
                queue.join(new_request, endless, PeerQueues::default(), now).expect("admitted");
            waiting.push((ticket, now, occupancy));
        }
        spare += CAPACITY;
        while let Some(at) = waiting.iter().position(|of| queue.head_since(of.0, now).is_some()) {
            let (ticket, joined, occupancy) = waiting[at];
            if occupancy > spare {
                break;
            }
            spare -= occupancy;
            waiting.remove(at);
            queue.leave(ticket, true, now);
            if now.duration_since(joined) <= TARGET { within_target += 1 } else { past_target += 1 }
        }
        if waiting.is_empty() {
            spare = 0;
        }
    }
    assert_eq!(waiting.len(), 0, "every request is placed");
    assert_eq!(within_target + past_target, 200);
    assert!(within_target >= 130, "{within_target} within target, {past_target} past it");
}

/// A gateway tries for capacity only once its peers know the head of its queue. It must therefore
/// know since when a request has been the head, also when the previous head has just left or a new
/// request goes before it.
#[test]
fn head_since_follows_changes_of_the_head() {
    let start = Instant::now();
    let mut queue = AdmissionQueue::default();
    let join = |queue: &mut AdmissionQueue, occupancy, now| {
        let new_request = QueueRequest { occupancy, ..new_request(now) };
        queue.join(new_request, MAX_WAIT, PeerQueues::default(), now).expect("admitted")
    };
    let long = join(&mut queue, 800, start);
    assert_eq!(queue.head_since(long, start), Some(start));
    let later = start + ms(40);
    assert_eq!(queue.head_since(long, later), Some(start), "still the head");
    let short = join(&mut queue, 100, later);
    assert_eq!(queue.head_since(long, later), None);
    assert_eq!(queue.head_since(short, later), Some(later));
    let last = start + ms(70);
    queue.leave(short, true, last);
    assert_eq!(queue.head_since(long, last), Some(last), "head again");
}

/// Nothing has left the long queue for a while: a new request would wait in vain, so it is rejected
/// at once with a time to retry.
#[test]
fn a_request_that_would_wait_too_long_is_rejected_at_once() {
    let start = Instant::now();
    let mut queue = AdmissionQueue::default();
    for at in 0..10u64 {
        let now = start + ms(at * 500);
        let ticket = queue.join(new_request(now), MAX_WAIT, PeerQueues::default(), now).unwrap();
        queue.leave(ticket, true, now);
    }
    let now = start + ms(5000);
    // Two leave per second: the six ahead of the seventh take 3 s.
    for _ in 0..6 {
        queue.join(new_request(now), MAX_WAIT, PeerQueues::default(), now).unwrap();
    }
    queue.record_no_capacity();
    queue.join(new_request(now), MAX_WAIT, PeerQueues::default(), now).unwrap();
    let rejection = queue.join(new_request(now), MAX_WAIT, PeerQueues::default(), now).unwrap_err();
    assert!(rejection.predicted > MAX_WAIT);
    assert!(
        rejection.retry_after >= ms(1000) && rejection.retry_after <= ms(10_000),
        "{rejection:?}"
    );
}

#[test]
fn an_idle_queue_rejects_nobody() {
    let start = Instant::now();
    let mut queue = AdmissionQueue::default();
    for at in 0..100u64 {
        let now = start + ms(at * 200);
        let ticket = queue
            .join(new_request(now), MAX_WAIT, PeerQueues::default(), now)
            .expect("an empty queue");
        assert_eq!(queue.head_since(ticket, now), Some(now));
        queue.leave(ticket, true, now);
    }
    assert!(queue.is_empty());
}

/// One gateway of many places a request every 3 s, all of them together 25 per second. One request
/// waits here and nine at peers: the next would wait less than half a second, although 3 s by this
/// gateway's own rate. It must not be rejected.
#[test]
fn the_wait_is_predicted_over_all_gateways() {
    struct Case {
        name: &'static str,
        peers: PeerQueues,
        is_rejected: bool,
    }
    let cases = [
        Case {
            name: "peers place requests fast",
            peers: PeerQueues {
                waiting: 9,
                within_target: 9,
                placement_rate: 25.0,
                arrival_rate: 0.0,
            },
            is_rejected: false,
        },
        Case {
            name: "long queues at peers",
            peers: PeerQueues {
                waiting: 90,
                within_target: 90,
                placement_rate: 25.0,
                arrival_rate: 0.0,
            },
            is_rejected: true,
        },
        Case { name: "alone", peers: PeerQueues::default(), is_rejected: true },
    ];
    for case in cases {
        let start = Instant::now();
        let mut queue = AdmissionQueue::default();
        let mut now = start;
        for _ in 0..6 {
            let ticket =
                queue.join(new_request(now), MAX_WAIT, PeerQueues::default(), now).unwrap();
            queue.leave(ticket, true, now);
            now += ms(3200);
        }
        queue.join(new_request(now), MAX_WAIT, PeerQueues::default(), now).unwrap();
        queue.record_no_capacity();
        let joined = queue.join(new_request(now), MAX_WAIT, case.peers, now);
        assert_eq!(joined.is_err(), case.is_rejected, "{}: {joined:?}", case.name);
    }
}

/// Rejected callers retry with a shorter timeout than they started with. They are past their
/// target in any case and must not be taken for new callers, who would wait behind them and miss
/// their target too.
#[test]
fn a_retrying_caller_is_recognised_by_its_shorter_timeout() {
    struct TimeoutCase {
        name: &'static str,
        /// Stated timeouts in order, in milliseconds.
        stated: &'static [u64],
        /// How long the caller of the last one has been retrying, in milliseconds.
        retrying_ms: u64,
    }
    let cases = [
        TimeoutCase { name: "first request of the route", stated: &[14_000], retrying_ms: 0 },
        TimeoutCase { name: "a new caller", stated: &[14_000, 14_000, 14_000], retrying_ms: 0 },
        TimeoutCase { name: "retry", stated: &[14_000, 14_000, 9_300], retrying_ms: 4_700 },
        TimeoutCase {
            name: "new caller among many retries",
            stated: &[14_000, 14_000, 9_300, 14_000, 8_100, 9_900, 14_000],
            retrying_ms: 0,
        },
        TimeoutCase {
            name: "the first request seen is a retry",
            stated: &[9_300, 14_000, 14_000, 14_000, 9_000],
            retrying_ms: 5_000,
        },
        TimeoutCase {
            name: "callers switch to a longer timeout",
            stated: &[5_000, 20_000, 20_000, 20_000],
            retrying_ms: 0,
        },
        TimeoutCase { name: "one outlier", stated: &[5_000, 5_000, 60_000, 5_000], retrying_ms: 0 },
    ];
    for case in cases {
        let mut typical_timeout = TypicalTimeout::default();
        let mut retrying_for = Duration::ZERO;
        for stated in case.stated {
            retrying_for = typical_timeout.record(Duration::from_millis(*stated));
        }
        assert_eq!(retrying_for, Duration::from_millis(case.retrying_ms), "{}", case.name);
    }
}

/// Engines complete several streams at a time, so capacity is released in clumps. The rate must
/// match the departures however they are spaced: with a rate that is too high, callers are admitted
/// that wait in vain and are rejected late.
#[test]
fn the_rate_matches_the_departures() {
    struct RateCase {
        name: &'static str,
        /// Number of simultaneous departures, and the gap between two clumps.
        clump: u32,
        gap_ms: u64,
        seconds: u64,
        placement_rate: f64,
    }
    let cases = [
        RateCase { name: "even", clump: 1, gap_ms: 50, seconds: 10, placement_rate: 20.0 },
        RateCase {
            name: "clumps of four",
            clump: 4,
            gap_ms: 200,
            seconds: 10,
            placement_rate: 20.0,
        },
        RateCase {
            name: "clumps of ten",
            clump: 10,
            gap_ms: 500,
            seconds: 10,
            placement_rate: 20.0,
        },
        RateCase { name: "just started", clump: 4, gap_ms: 200, seconds: 2, placement_rate: 20.0 },
        RateCase { name: "slow", clump: 1, gap_ms: 3200, seconds: 30, placement_rate: 0.3125 },
    ];
    for case in cases {
        let start = Instant::now();
        let mut placement_rate = RateEstimate::default();
        let mut now = start;
        while now < start + Duration::from_secs(case.seconds) {
            for _ in 0..case.clump {
                placement_rate.record(now);
                now += Duration::from_micros(500);
            }
            now += ms(case.gap_ms) - Duration::from_micros(500) * case.clump;
        }
        let found = placement_rate.per_second(now);
        let off = (found - case.placement_rate).abs() / case.placement_rate;
        assert!(off < 0.2, "{}: {found} a second, not {}", case.name, case.placement_rate);
    }
    let mut placement_rate = RateEstimate::default();
    let start = Instant::now();
    (0..100).for_each(|at| placement_rate.record(start + ms(at * 50)));
    let later = placement_rate.per_second(start + Duration::from_secs(15));
    assert!(later < 1.5, "nothing for ten seconds: {later} a second");
}

/// A long queue of requests past their target must not cause the rejection of a new one, which goes
/// before them. Many requests within target at peers must, at once: the new request would miss its
/// target, and then wait behind all.
#[test]
fn new_requests_are_judged_by_those_ahead_of_them() {
    struct Case {
        name: &'static str,
        peers: PeerQueues,
        is_rejected: bool,
    }
    let peers = |waiting, within_target| PeerQueues {
        waiting,
        within_target,
        placement_rate: 25.0,
        arrival_rate: 0.0,
    };
    let cases = [
        Case { name: "only requests past target", peers: peers(200, 0), is_rejected: false },
        Case { name: "capacity within target", peers: peers(200, 10), is_rejected: false },
        Case { name: "past target, short queue", peers: peers(40, 30), is_rejected: false },
        Case { name: "past target, long queue", peers: peers(100, 30), is_rejected: true },
    ];
    let now = Instant::now();
    for case in cases {
        let mut queue = AdmissionQueue::default();
        let joined = queue.join(new_request(now), MAX_WAIT, case.peers, now);
        assert_eq!(joined.is_err(), case.is_rejected, "{}: {joined:?}", case.name);
    }
}

/// A rejected caller retries into a queue of requests past their target. It has been waiting
/// longest and will not retry again, so it goes before those that have just passed their target,
/// and behind those within target.
#[test]
fn retrying_callers_go_first_among_those_past_target() {
    let start = Instant::now();
    let mut queue = AdmissionQueue::default();
    let none = PeerQueues::default();
    let queued = queue.join(new_request(start), MAX_WAIT, none, start).unwrap();
    let now = start + ms(700);
    let retry =
        QueueRequest { occupancy: 1, target_deadline: now - ms(2000), retrying_for: ms(4000) };
    let returning = queue.join(retry, MAX_WAIT, none, now).unwrap();
    assert_eq!(head(&mut queue, &[queued, returning], now), Some(returning));
    let newcomer = queue.join(new_request(now), MAX_WAIT, none, now).unwrap();
    assert_eq!(head(&mut queue, &[queued, returning, newcomer], now), Some(newcomer));
}

/// In a burst, new requests take all capacity. Rejected callers must get a retry time after it
/// ends, not when the queue would be empty if no new requests came.
#[test]
fn rejected_callers_retry_after_the_burst() {
    struct Case {
        name: &'static str,
        peers: PeerQueues,
        after_ms: std::ops::RangeInclusive<u64>,
    }
    let peers = |waiting, placement_rate, arrival_rate| PeerQueues {
        waiting,
        within_target: 0,
        placement_rate,
        arrival_rate,
    };
    let cases = [
        Case { name: "nobody waits", peers: peers(0, 25.0, 25.0), after_ms: 200..=200 },
        Case { name: "the burst is over", peers: peers(50, 25.0, 5.0), after_ms: 2500..=2500 },
        Case {
            name: "arrivals equal placements",
            peers: peers(5, 25.0, 25.0),
            after_ms: 2000..=2000,
        },
        Case {
            name: "more arrivals than placements",
            peers: peers(50, 25.0, 40.0),
            after_ms: 3500..=3500,
        },
        Case { name: "nothing known", peers: peers(5, 0.0, 0.0), after_ms: 200..=200 },
    ];
    for case in cases {
        let queue = AdmissionQueue::default();
        let after = queue.retry_after(case.peers, Instant::now());
        assert!(case.after_ms.contains(&(after.as_millis() as u64)), "{}: {after:?}", case.name);
    }
}

/// A burst on idle engines: 60 requests at once, 20 more within 80 ms. Placing each takes a moment,
/// so the queue is long when the first few have been placed. Judged by the rate of those few, later
/// requests would exceed their max wait although the engines are mostly idle. None may be rejected
/// before a request has found no capacity.
#[test]
fn a_burst_on_idle_engines_is_not_rejected() {
    struct BurstCase {
        name: &'static str,
        /// Number of requests for which the engines have capacity.
        capacity: usize,
        is_rejected: bool,
    }
    let cases = [
        BurstCase { name: "capacity for all", capacity: 80, is_rejected: false },
        BurstCase { name: "capacity for the first four only", capacity: 4, is_rejected: true },
    ];
    for case in cases {
        let start = Instant::now();
        let mut queue = AdmissionQueue::default();
        let join = |queue: &mut AdmissionQueue, now| {
            queue.join(new_request(now), MAX_WAIT, PeerQueues::default(), now)
        };
        let mut waiting: Vec<Ticket> =
            (0..60).map(|_| join(&mut queue, start).expect("nothing is known yet")).collect();
        let mut rejected = 0;
        for at in 1..=20 {
            let now = start + ms(at * 4);
            if at as usize <= case.capacity {
                queue.leave(waiting.remove(0), true, now);
            } else {
                queue.record_no_capacity();
            }
            match join(&mut queue, now) {
                Ok(ticket) => waiting.push(ticket),
                Err(_) => rejected += 1,
            }
        }
        assert_eq!(rejected > 0, case.is_rejected, "{}: {rejected} rejected", case.name);
    }
}

/// Prevents a request that waits for the decision on its quarantine from holding up sound ones behind
/// it.
#[test]
fn a_held_request_lets_others_pass() {
    let now = Instant::now();
    let mut queue = AdmissionQueue::default();
    let mut join = || queue.join(new_request(now), MAX_WAIT, PeerQueues::default(), now).unwrap();
    let tickets = [join(), join()];
    let [first, second] = tickets;
    assert_eq!(head(&mut queue, &tickets, now), Some(first));
    assert!(queue.set_held(first, true), "another may be the head");
    assert!(!queue.set_held(first, true), "it was held before");
    assert_eq!(head(&mut queue, &tickets, now), Some(second));
    assert!(!queue.set_held(first, false));
    assert_eq!(head(&mut queue, &tickets, now), Some(first));
    queue.set_held(first, true);
    queue.leave(second, true, now);
    assert_eq!(head(&mut queue, &tickets, now), None, "only the held one is left");
}
