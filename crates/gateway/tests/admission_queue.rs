//! Who waits for an engine's room in a burst, who is refused at once.

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

/// A new caller at `now`.
fn new_request(now: Instant) -> QueueRequest {
    QueueRequest { occupancy: 1, target_deadline: now + TARGET, retrying_for: Duration::ZERO }
}

/// Who is first now.
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

/// A burst of twice what the engines serve, for five seconds. Served in
/// order of arrival every answer soon comes late. Here the excess waits or
/// is refused, and most of what is served is on time.
#[test]
fn a_burst_of_twice_the_capacity() {
    let start = Instant::now();
    let mut queue = AdmissionQueue::default();
    let mut waiting: Vec<(Ticket, Instant)> = Vec::new();
    let (mut within_target, mut past_target, mut rejected) = (0, 0, 0);
    for step in 0..700u64 {
        let now = start + ms(step * 10);
        // 40 requests a second for five seconds; room for 20 a second.
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

/// A burst of twice what the engines take, by memory and time. Requests differ
/// tenfold in what they take. In order of arrival half of them are served in
/// time, whatever they take; those that take least first, far more callers are,
/// and each of the others still gets its turn once the burst is over.
#[test]
fn requests_of_least_occupancy_go_first_in_a_burst() {
    /// What the engines give out each 10 ms, and what requests take of it.
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

/// A gateway looks for room only once the others know who is first here: it
/// must know since when that is so, also when the one before has just left or a
/// newcomer goes before it.
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

/// Nothing has left the line for a while and it is long: who comes now would
/// wait in vain and is refused at once, with when to come back.
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
    // Two leave a second: six are ahead of the seventh for three seconds.
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

/// One gateway of many places a request each three seconds, all together 25
/// a second. One caller waits here and nine elsewhere: the next would wait
/// less than half a second, though by this gateway's own pace it would be
/// three. It must not be refused.
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

/// Callers who were refused come back with less patience than they began
/// with. They are late in any case, and must not be taken for new ones, who
/// would wait behind them and be late too.
#[test]
fn a_retrying_caller_is_recognised_by_its_shorter_timeout() {
    struct TimeoutCase {
        name: &'static str,
        /// Patience stated, in milliseconds, in order.
        stated: &'static [u64],
        /// How long the last of them has been trying.
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

/// Engines end several streams at a time, so room is given out in clumps.
/// The pace must be that of the departures, however they come: taken too
/// high, callers are let in who then wait in vain and are refused late.
#[test]
fn the_rate_matches_the_departures() {
    struct RateCase {
        name: &'static str,
        /// Departures at once, and the gap between two clumps.
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

/// A long line of late requests must not turn a newcomer away: it goes
/// before them. Many others on time must, at once: it would be late, and
/// then stand behind all.
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

/// A caller that was refused comes back into a line of late ones. It has
/// tried longest and has no further try: it goes before those who have only
/// just become late, and behind those on time.
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

/// In a burst new callers take all the room there is. Who is refused must be
/// told to come back when it is over, not when the line would have passed
/// if nobody came.
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

/// A burst meets idle engines: 60 callers at once, 20 more in the next 80 ms.
/// Placing takes a moment each, so the line is long when the first few have
/// been placed; judged by those few, later callers would be told that the wait
/// outlasts their patience, though the engines are mostly empty. Nobody is
/// refused before somebody has found no room.
#[test]
fn a_burst_on_idle_engines_is_not_rejected() {
    struct BurstCase {
        name: &'static str,
        /// Requests for which the engines have room.
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
