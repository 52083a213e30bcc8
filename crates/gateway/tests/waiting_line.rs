//! Who waits for an engine's room in a burst, who is refused at once.

use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::belief::OtherLines;
use umberglade_gateway::belief::Ticket;
use umberglade_gateway::belief::UsualPatience;
use umberglade_gateway::belief::WaitingLine;

const TARGET: Duration = Duration::from_millis(600);
const PATIENCE: Duration = Duration::from_millis(3000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Who is first now.
fn first(line: &WaitingLine, tickets: &[Ticket], now: Instant) -> Option<Ticket> {
    tickets.iter().copied().find(|ticket| line.is_first(*ticket, now))
}

#[test]
fn those_on_time_go_before_those_late() {
    let begun = Instant::now();
    let mut line = WaitingLine::default();
    let early = line.join(begun + TARGET, PATIENCE, OtherLines::default(), begun).unwrap();
    let later = begun + ms(300);
    let second = line.join(later + TARGET, PATIENCE, OtherLines::default(), later).unwrap();
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
        let found = first(&line, &[early, second], begun + case.at);
        assert_eq!(found, Some(case.expected), "{}", case.name);
    }
}

/// A burst of twice what the engines serve, for five seconds. Served in
/// order of arrival every answer soon comes late. Here the excess waits or
/// is refused, and most of what is served is on time.
#[test]
fn a_burst_of_twice_the_capacity() {
    let begun = Instant::now();
    let mut line = WaitingLine::default();
    let mut waiting: Vec<(Ticket, Instant)> = Vec::new();
    let (mut on_time, mut late, mut refused) = (0, 0, 0);
    for step in 0..700u64 {
        let now = begun + ms(step * 10);
        // 40 requests a second for five seconds; room for 20 a second.
        if step < 500 && (step * 4) % 10 < 4 {
            match line.join(now + TARGET, PATIENCE, OtherLines::default(), now) {
                Ok(ticket) => waiting.push((ticket, now)),
                Err(_) => refused += 1,
            }
        }
        if step % 5 == 0 {
            let ready = waiting.iter().position(|(ticket, _)| line.is_first(*ticket, now));
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

/// Nothing has left the line for a while and it is long: who comes now would
/// wait in vain and is refused at once, with when to come back.
#[test]
fn a_hopeless_newcomer_is_refused_at_once() {
    let begun = Instant::now();
    let mut line = WaitingLine::default();
    for at in 0..10u64 {
        let now = begun + ms(at * 500);
        let ticket = line.join(now + TARGET, PATIENCE, OtherLines::default(), now).unwrap();
        line.leave(ticket, true, now);
    }
    let now = begun + ms(5000);
    // Two leave a second: six are ahead of the seventh for three seconds.
    for _ in 0..6 {
        line.join(now + TARGET, PATIENCE, OtherLines::default(), now).unwrap();
    }
    line.join(now + TARGET, PATIENCE, OtherLines::default(), now).unwrap();
    let refusal = line.join(now + TARGET, PATIENCE, OtherLines::default(), now).unwrap_err();
    assert!(refusal.predicted > PATIENCE);
    assert!(refusal.retry_after >= ms(1000) && refusal.retry_after <= ms(10_000), "{refusal:?}");
}

#[test]
fn a_quiet_line_refuses_nobody() {
    let begun = Instant::now();
    let mut line = WaitingLine::default();
    for at in 0..100u64 {
        let now = begun + ms(at * 200);
        let ticket =
            line.join(now + TARGET, PATIENCE, OtherLines::default(), now).expect("an empty line");
        assert!(line.is_first(ticket, now));
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
        others: OtherLines,
        is_refused: bool,
    }
    let cases = [
        Case {
            name: "room is given out fast elsewhere",
            others: OtherLines { waiting: 9, pace: 25.0 },
            is_refused: false,
        },
        Case {
            name: "long lines elsewhere",
            others: OtherLines { waiting: 90, pace: 25.0 },
            is_refused: true,
        },
        Case { name: "alone", others: OtherLines::default(), is_refused: true },
    ];
    for case in cases {
        let begun = Instant::now();
        let mut line = WaitingLine::default();
        let mut now = begun;
        for _ in 0..6 {
            let ticket = line.join(now + TARGET, PATIENCE, OtherLines::default(), now).unwrap();
            line.leave(ticket, true, now);
            now += ms(3200);
        }
        line.join(now + TARGET, PATIENCE, OtherLines::default(), now).unwrap();
        let joined = line.join(now + TARGET, PATIENCE, case.others, now);
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
        let mut usual = UsualPatience::default();
        let mut tried = Duration::ZERO;
        for stated in case.stated {
            tried = usual.note(Duration::from_millis(*stated));
        }
        assert_eq!(tried, Duration::from_millis(case.tried_ms), "{}", case.name);
    }
}
