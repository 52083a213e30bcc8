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
const PATIENCE: Duration = Duration::from_millis(3000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A new caller at `now`.
fn asker(now: Instant) -> QueueRequest {
    QueueRequest { occupancy: 1, on_time_until: now + TARGET, tried_for: Duration::ZERO }
}

/// Who is first now.
fn first(line: &mut AdmissionQueue, tickets: &[Ticket], now: Instant) -> Option<Ticket> {
    tickets.iter().copied().find(|ticket| line.leads_since(*ticket, now).is_some())
}

#[test]
fn those_on_time_go_before_those_late() {
    let begun = Instant::now();
    let mut line = AdmissionQueue::default();
    let early = line.join(asker(begun), PATIENCE, PeerQueues::default(), begun).unwrap();
    let later = begun + ms(300);
    let second = line.join(asker(later), PATIENCE, PeerQueues::default(), later).unwrap();
    struct Case {
        name: &'static str,
        at: Duration,
        expected: Ticket,
    }
    let cases = [
        Case { name: "both on time: first come", at: ms(400), expected: early },
        Case { name: "the first is late: the other", at: ms(700), expected: second },
        Case { name: "both late: first come", at: ms(1000), expected: early },
    ];
    for case in cases {
        let found = first(&mut line, &[early, second], begun + case.at);
        assert_eq!(found, Some(case.expected), "{}", case.name);
    }
}

/// A burst of twice what the engines serve, for five seconds. Served in
/// order of arrival every answer soon comes late. Here the excess waits or
/// is refused, and most of what is served is on time.
#[test]
fn a_burst_of_twice_the_capacity() {
    let begun = Instant::now();
    let mut line = AdmissionQueue::default();
    let mut waiting: Vec<(Ticket, Instant)> = Vec::new();
    let (mut on_time, mut late, mut refused) = (0, 0, 0);
    for step in 0..700u64 {
        let now = begun + ms(step * 10);
        // 40 requests a second for five seconds; room for 20 a second.
        if step < 500 && (step * 4) % 10 < 4 {
            match line.join(asker(now), PATIENCE, PeerQueues::default(), now) {
                Ok(ticket) => waiting.push((ticket, now)),
                Err(_) => refused += 1,
            }
        }
        if step % 5 == 0 {
            let ready =
                waiting.iter().position(|(ticket, _)| line.leads_since(*ticket, now).is_some());
            if let Some(at) = ready {
                let (ticket, joined) = waiting.remove(at);
                line.leave(ticket, true, now);
                if now.duration_since(joined) <= TARGET { on_time += 1 } else { late += 1 }
            }
        }
        waiting.retain(|(ticket, joined)| {
            let waits = now.duration_since(*joined) < PATIENCE;
            if !waits {
                line.leave(*ticket, false, now);
                refused += 1;
            }
            waits
        });
    }
    assert_eq!(on_time + late + refused + waiting.len(), 200);
    assert!(on_time >= 80, "{on_time} on time, {late} late, {refused} refused");
    assert!(refused >= 20, "{on_time} on time, {late} late, {refused} refused");
}

/// A burst of twice what the engines take, by memory and time. Requests differ
/// tenfold in what they take. In order of arrival half of them are served in
/// time, whatever they take; those that take least first, far more callers are,
/// and each of the others still gets its turn once the burst is over.
#[test]
fn in_a_burst_those_that_take_least_go_first() {
    /// What the engines give out each 10 ms, and what requests take of it.
    const CAPACITY: u64 = 100;
    const SIZES: [u64; 5] = [100, 200, 400, 800, 1000];
    const BURST_STEPS: u64 = 500;
    let begun = Instant::now();
    let mut line = AdmissionQueue::default();
    let mut waiting: Vec<(Ticket, Instant, u64)> = Vec::new();
    let (mut on_time, mut late, mut spare) = (0, 0, 0);
    for step in 0..BURST_STEPS * 3 {
        let now = begun + ms(step * 10);
        if step < BURST_STEPS && step % 5 < 2 {
            let occupancy = SIZES[(step / 5 * 2 + step % 5) as usize % SIZES.len()];
            let asker = QueueRequest { occupancy, ..asker(now) };
            let endless = Duration::from_secs(60);
            let ticket = line.join(asker, endless, PeerQueues::default(), now).expect("let in");
            waiting.push((ticket, now, occupancy));
        }
        spare += CAPACITY;
        while let Some(at) = waiting.iter().position(|of| line.leads_since(of.0, now).is_some()) {
            let (ticket, joined, occupancy) = waiting[at];
            if occupancy > spare {
                break;
            }
            spare -= occupancy;
            waiting.remove(at);
            line.leave(ticket, true, now);
            if now.duration_since(joined) <= TARGET { on_time += 1 } else { late += 1 }
        }
        if waiting.is_empty() {
            spare = 0;
        }
    }
    assert_eq!(waiting.len(), 0, "everyone gets its turn");
    assert_eq!(on_time + late, 200);
    assert!(on_time >= 130, "{on_time} on time, {late} late");
}

/// A gateway looks for room only once the others know who is first here: it
/// must know since when that is so, also when the one before has just left or a
/// newcomer goes before it.
#[test]
fn who_is_first_is_known_with_its_time() {
    let begun = Instant::now();
    let mut line = AdmissionQueue::default();
    let join = |line: &mut AdmissionQueue, occupancy, now| {
        let asker = QueueRequest { occupancy, ..asker(now) };
        line.join(asker, PATIENCE, PeerQueues::default(), now).expect("let in")
    };
    let long = join(&mut line, 800, begun);
    assert_eq!(line.leads_since(long, begun), Some(begun));
    let later = begun + ms(40);
    assert_eq!(line.leads_since(long, later), Some(begun), "still the first");
    let short = join(&mut line, 100, later);
    assert_eq!(line.leads_since(long, later), None);
    assert_eq!(line.leads_since(short, later), Some(later));
    let last = begun + ms(70);
    line.leave(short, true, last);
    assert_eq!(line.leads_since(long, last), Some(last), "first anew");
}

/// Nothing has left the line for a while and it is long: who comes now would
/// wait in vain and is refused at once, with when to come back.
#[test]
fn a_hopeless_newcomer_is_refused_at_once() {
    let begun = Instant::now();
    let mut line = AdmissionQueue::default();
    for at in 0..10u64 {
        let now = begun + ms(at * 500);
        let ticket = line.join(asker(now), PATIENCE, PeerQueues::default(), now).unwrap();
        line.leave(ticket, true, now);
    }
    let now = begun + ms(5000);
    // Two leave a second: six are ahead of the seventh for three seconds.
    for _ in 0..6 {
        line.join(asker(now), PATIENCE, PeerQueues::default(), now).unwrap();
    }
    line.note_no_room();
    line.join(asker(now), PATIENCE, PeerQueues::default(), now).unwrap();
    let refusal = line.join(asker(now), PATIENCE, PeerQueues::default(), now).unwrap_err();
    assert!(refusal.predicted > PATIENCE);
    assert!(refusal.retry_after >= ms(1000) && refusal.retry_after <= ms(10_000), "{refusal:?}");
}

#[test]
fn a_quiet_line_refuses_nobody() {
    let begun = Instant::now();
    let mut line = AdmissionQueue::default();
    for at in 0..100u64 {
        let now = begun + ms(at * 200);
        let ticket =
            line.join(asker(now), PATIENCE, PeerQueues::default(), now).expect("an empty line");
        assert_eq!(line.leads_since(ticket, now), Some(now));
        line.leave(ticket, true, now);
    }
    assert!(line.is_empty());
}

/// One gateway of many places a request each three seconds, all together 25
/// a second. One caller waits here and nine elsewhere: the next would wait
/// less than half a second, though by this gateway's own pace it would be
/// three. It must not be refused.
#[test]
fn the_wait_is_predicted_over_all_gateways() {
    struct Case {
        name: &'static str,
        others: PeerQueues,
        is_refused: bool,
    }
    let cases = [
        Case {
            name: "room is given out fast elsewhere",
            others: PeerQueues { waiting: 9, on_time: 9, pace: 25.0, arrivals: 0.0 },
            is_refused: false,
        },
        Case {
            name: "long lines elsewhere",
            others: PeerQueues { waiting: 90, on_time: 90, pace: 25.0, arrivals: 0.0 },
            is_refused: true,
        },
        Case { name: "alone", others: PeerQueues::default(), is_refused: true },
    ];
    for case in cases {
        let begun = Instant::now();
        let mut line = AdmissionQueue::default();
        let mut now = begun;
        for _ in 0..6 {
            let ticket = line.join(asker(now), PATIENCE, PeerQueues::default(), now).unwrap();
            line.leave(ticket, true, now);
            now += ms(3200);
        }
        line.join(asker(now), PATIENCE, PeerQueues::default(), now).unwrap();
        line.note_no_room();
        let joined = line.join(asker(now), PATIENCE, case.others, now);
        assert_eq!(joined.is_err(), case.is_refused, "{}: {joined:?}", case.name);
    }
}

/// Callers who were refused come back with less patience than they began
/// with. They are late in any case, and must not be taken for new ones, who
/// would wait behind them and be late too.
#[test]
fn a_returning_caller_is_told_by_its_patience() {
    struct PatienceCase {
        name: &'static str,
        /// Patience stated, in milliseconds, in order.
        stated: &'static [u64],
        /// How long the last of them has been trying.
        tried_ms: u64,
    }
    let cases = [
        PatienceCase { name: "first of all", stated: &[14_000], tried_ms: 0 },
        PatienceCase { name: "a new caller", stated: &[14_000, 14_000, 14_000], tried_ms: 0 },
        PatienceCase { name: "came back", stated: &[14_000, 14_000, 9_300], tried_ms: 4_700 },
        PatienceCase {
            name: "new among many that came back",
            stated: &[14_000, 14_000, 9_300, 14_000, 8_100, 9_900, 14_000],
            tried_ms: 0,
        },
        PatienceCase {
            name: "the first to be seen had come back",
            stated: &[9_300, 14_000, 14_000, 14_000, 9_000],
            tried_ms: 5_000,
        },
        PatienceCase {
            name: "callers have become more patient",
            stated: &[5_000, 20_000, 20_000, 20_000],
            tried_ms: 0,
        },
        PatienceCase {
            name: "one odd caller",
            stated: &[5_000, 5_000, 60_000, 5_000],
            tried_ms: 0,
        },
    ];
    for case in cases {
        let mut usual = TypicalTimeout::default();
        let mut tried = Duration::ZERO;
        for stated in case.stated {
            tried = usual.note(Duration::from_millis(*stated));
        }
        assert_eq!(tried, Duration::from_millis(case.tried_ms), "{}", case.name);
    }
}

/// Engines end several streams at a time, so room is given out in clumps.
/// The pace must be that of the departures, however they come: taken too
/// high, callers are let in who then wait in vain and are refused late.
#[test]
fn the_pace_is_that_of_the_departures() {
    struct PaceCase {
        name: &'static str,
        /// Departures at once, and the gap between two clumps.
        clump: u32,
        gap_ms: u64,
        seconds: u64,
        pace: f64,
    }
    let cases = [
        PaceCase { name: "even", clump: 1, gap_ms: 50, seconds: 10, pace: 20.0 },
        PaceCase { name: "in fours", clump: 4, gap_ms: 200, seconds: 10, pace: 20.0 },
        PaceCase { name: "in tens", clump: 10, gap_ms: 500, seconds: 10, pace: 20.0 },
        PaceCase { name: "just begun", clump: 4, gap_ms: 200, seconds: 2, pace: 20.0 },
        PaceCase { name: "slow", clump: 1, gap_ms: 3200, seconds: 30, pace: 0.3125 },
    ];
    for case in cases {
        let begun = Instant::now();
        let mut pace = RateEstimate::default();
        let mut now = begun;
        while now < begun + Duration::from_secs(case.seconds) {
            for _ in 0..case.clump {
                pace.note(now);
                now += Duration::from_micros(500);
            }
            now += ms(case.gap_ms) - Duration::from_micros(500) * case.clump;
        }
        let found = pace.per_second(now);
        let off = (found - case.pace).abs() / case.pace;
        assert!(off < 0.2, "{}: {found} a second, not {}", case.name, case.pace);
    }
    let mut pace = RateEstimate::default();
    let begun = Instant::now();
    (0..100).for_each(|at| pace.note(begun + ms(at * 50)));
    let later = pace.per_second(begun + Duration::from_secs(15));
    assert!(later < 1.5, "nothing for ten seconds: {later} a second");
}

/// A long line of late requests must not turn a newcomer away: it goes
/// before them. Many others on time must, at once: it would be late, and
/// then stand behind all.
#[test]
fn newcomers_are_judged_by_those_ahead_of_them() {
    struct Case {
        name: &'static str,
        others: PeerQueues,
        is_refused: bool,
    }
    let others = |waiting, on_time| PeerQueues { waiting, on_time, pace: 25.0, arrivals: 0.0 };
    let cases = [
        Case { name: "late ones only", others: others(200, 0), is_refused: false },
        Case { name: "room in time", others: others(200, 10), is_refused: false },
        Case { name: "late, in a short line", others: others(40, 30), is_refused: false },
        Case { name: "late, in a long line", others: others(100, 30), is_refused: true },
    ];
    let now = Instant::now();
    for case in cases {
        let mut line = AdmissionQueue::default();
        let joined = line.join(asker(now), PATIENCE, case.others, now);
        assert_eq!(joined.is_err(), case.is_refused, "{}: {joined:?}", case.name);
    }
}

/// A caller that was refused comes back into a line of late ones. It has
/// tried longest and has no further try: it goes before those who have only
/// just become late, and behind those on time.
#[test]
fn callers_who_come_back_are_first_among_the_late() {
    let begun = Instant::now();
    let mut line = AdmissionQueue::default();
    let none = PeerQueues::default();
    let waiter = line.join(asker(begun), PATIENCE, none, begun).unwrap();
    let now = begun + ms(700);
    let back = QueueRequest { occupancy: 1, on_time_until: now - ms(2000), tried_for: ms(4000) };
    let returned = line.join(back, PATIENCE, none, now).unwrap();
    assert_eq!(first(&mut line, &[waiter, returned], now), Some(returned));
    let newcomer = line.join(asker(now), PATIENCE, none, now).unwrap();
    assert_eq!(first(&mut line, &[waiter, returned, newcomer], now), Some(newcomer));
}

/// In a burst new callers take all the room there is. Who is refused must be
/// told to come back when it is over, not when the line would have passed
/// if nobody came.
#[test]
fn refused_callers_are_told_to_come_back_after_the_burst() {
    struct Case {
        name: &'static str,
        others: PeerQueues,
        after_ms: std::ops::RangeInclusive<u64>,
    }
    let others = |waiting, pace, arrivals| PeerQueues { waiting, on_time: 0, pace, arrivals };
    let cases = [
        Case { name: "nobody waits", others: others(0, 25.0, 25.0), after_ms: 200..=200 },
        Case { name: "the burst is over", others: others(50, 25.0, 5.0), after_ms: 2500..=2500 },
        Case {
            name: "as many come as leave",
            others: others(5, 25.0, 25.0),
            after_ms: 2000..=2000,
        },
        Case {
            name: "more come than leave",
            others: others(50, 25.0, 40.0),
            after_ms: 3500..=3500,
        },
        Case { name: "nothing known", others: others(5, 0.0, 0.0), after_ms: 200..=200 },
    ];
    for case in cases {
        let line = AdmissionQueue::default();
        let after = line.retry_after(case.others, Instant::now());
        assert!(case.after_ms.contains(&(after.as_millis() as u64)), "{}: {after:?}", case.name);
    }
}

/// A burst meets idle engines: 60 callers at once, 20 more in the next 80 ms.
/// Placing takes a moment each, so the line is long when the first few have
/// been placed; judged by those few, later callers would be told that the wait
/// outlasts their patience, though the engines are mostly empty. Nobody is
/// refused before somebody has found no room.
#[test]
fn a_burst_before_idle_engines_is_not_refused() {
    struct BurstCase {
        name: &'static str,
        /// Requests for which the engines have room.
        room: usize,
        is_refused: bool,
    }
    let cases = [
        BurstCase { name: "room for all", room: 80, is_refused: false },
        BurstCase { name: "room for the first four only", room: 4, is_refused: true },
    ];
    for case in cases {
        let begun = Instant::now();
        let mut line = AdmissionQueue::default();
        let join = |line: &mut AdmissionQueue, now| {
            line.join(asker(now), PATIENCE, PeerQueues::default(), now)
        };
        let mut waiting: Vec<Ticket> =
            (0..60).map(|_| join(&mut line, begun).expect("nothing is known yet")).collect();
        let mut refused = 0;
        for at in 1..=20 {
            let now = begun + ms(at * 4);
            if at as usize <= case.room {
                line.leave(waiting.remove(0), true, now);
            } else {
                line.note_no_room();
            }
            match join(&mut line, now) {
                Ok(ticket) => waiting.push(ticket),
                Err(_) => refused += 1,
            }
        }
        assert_eq!(refused > 0, case.is_refused, "{}: {refused} refused", case.name);
    }
}
