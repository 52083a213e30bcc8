//! How soon changes are reported to the peers.

use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::report_interval;
use umberglade_gateway::peers::SendBudget;

/// Evenly spread changes at one gateway, in addition to its regular reports.
struct BudgetCase {
    name: &'static str,
    peers: usize,
    changes_per_s: u32,
    /// Maximum mean delay of the report of a change.
    max_mean_delay: Duration,
    /// Maximum number of datagrams for changes per second.
    max_per_s: usize,
}

/// Gateways that receive the report of a placed stream late choose the same server, and callers see
/// pauses when its memory runs out. If regular reports consumed the same budget, changes with 79
/// peers would wait for the next regular report.
#[test]
fn changes_are_reported_at_once_within_the_budget() {
    let ms = Duration::from_millis;
    let cases = [
        BudgetCase {
            name: "small",
            peers: 5,
            changes_per_s: 40,
            max_mean_delay: ms(1),
            max_per_s: 1600,
        },
        BudgetCase {
            name: "many",
            peers: 79,
            changes_per_s: 4,
            max_mean_delay: ms(1),
            max_per_s: 1600,
        },
        BudgetCase {
            name: "storm",
            peers: 79,
            changes_per_s: 50,
            max_mean_delay: ms(250),
            max_per_s: 1600,
        },
        BudgetCase {
            name: "target",
            peers: 339,
            changes_per_s: 60,
            max_mean_delay: ms(250),
            max_per_s: 1600,
        },
    ];
    let seconds = 10;
    for case in cases {
        let started_at = Instant::now();
        let mut budget = SendBudget::new(None, started_at);
        let interval = report_interval(case.peers);
        let mut due = started_at + interval;
        let mut sent_at = started_at;
        let (mut delays, mut sent) = (Duration::ZERO, 0);
        let count = seconds * case.changes_per_s;
        for index in 1..=count {
            let now = started_at + Duration::from_secs(1) * index / case.changes_per_s;
            while due <= now {
                due += interval;
            }
            // The loop waits for one report at a time, which includes changes that happen
            // meanwhile.
            if now >= sent_at {
                sent_at = budget.send_at(case.peers, due, now);
                if sent_at < due {
                    sent += case.peers;
                }
            }
            delays += sent_at - now;
        }
        let mean = delays / count;
        assert!(mean <= case.max_mean_delay, "{}: {mean:?}", case.name);
        let burst = 4 * case.peers;
        let max_sent = case.max_per_s * seconds as usize + burst;
        assert!(sent <= max_sent, "{}: {sent} datagrams", case.name);
    }
}

/// Changes at a gateway whose reports are large.
struct LinkCase {
    name: &'static str,
    link_bytes_per_s: f64,
    report_bytes: usize,
    changes_per_s: u32,
    /// Maximum mean delay of the report of a change.
    max_mean_delay: Duration,
}

/// Prevents large reports from filling a small link, and the limit from delaying reports where there
/// is room for them.
#[test]
fn reports_take_half_of_the_link_at_most() {
    const PEERS: usize = 93;
    const SMALL_LINK: f64 = 1.25e6;
    let seconds = 10;
    let base = LinkCase {
        name: "large reports",
        link_bytes_per_s: SMALL_LINK,
        report_bytes: 1000,
        changes_per_s: 60,
        max_mean_delay: report_interval(PEERS),
    };
    let cases = [
        LinkCase { name: "a storm", changes_per_s: 400, ..base },
        LinkCase {
            name: "usual reports, few changes",
            report_bytes: 300,
            changes_per_s: 4,
            max_mean_delay: Duration::from_millis(1),
            ..base
        },
        LinkCase {
            name: "a large link",
            link_bytes_per_s: 20.0 * SMALL_LINK,
            changes_per_s: 4,
            max_mean_delay: Duration::from_millis(1),
            ..base
        },
        base,
    ];
    for case in cases {
        let started_at = Instant::now();
        let mut budget = SendBudget::new(Some(case.link_bytes_per_s), started_at);
        let interval = report_interval(PEERS);
        let report_bytes = case.report_bytes * PEERS;
        let (mut due, mut sent_at) = (started_at + interval, started_at);
        let (mut delays, mut sent_bytes) = (Duration::ZERO, 0);
        let count = seconds * case.changes_per_s;
        for index in 1..=count {
            let now = started_at + Duration::from_secs(1) * index / case.changes_per_s;
            while due <= now {
                budget.record_sent(report_bytes, due);
                sent_bytes += report_bytes;
                due += interval;
            }
            if now >= sent_at {
                sent_at = budget.send_at(PEERS, due, now);
                if sent_at < due {
                    budget.record_sent(report_bytes, sent_at);
                    sent_bytes += report_bytes;
                }
            }
            delays += sent_at - now;
        }
        let mean = delays / count;
        assert!(mean <= case.max_mean_delay, "{}: {mean:?}", case.name);
        let max_bytes = case.link_bytes_per_s * f64::from(seconds) / 2.0;
        let burst = 2.0 * report_bytes as f64;
        assert!((sent_bytes as f64) < max_bytes + burst, "{}: {sent_bytes} bytes", case.name);
    }
}
