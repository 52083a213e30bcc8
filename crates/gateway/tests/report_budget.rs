//! How soon the other gateways are told of a change.

use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::report_interval;
use umberglade_gateway::peers::SendBudget;

/// Changes at one gateway, evenly spread, among its regular reports.
struct TellCase {
    name: &'static str,
    peers: usize,
    changes_per_s: u32,
    /// The most that the mean change may wait to be told.
    mean_wait: Duration,
    /// The most datagrams for changes in a second.
    most_per_s: usize,
}

/// A stream is placed, and the gateways that hear of it late choose the same
/// server: its callers see pauses when the memory runs out. With the regular
/// reports paid from the same budget, changes at 79 peers waited for the
/// next regular report.
#[test]
fn changes_are_told_at_once_within_a_bound() {
    let ms = Duration::from_millis;
    let cases = [
        TellCase { name: "small", peers: 5, changes_per_s: 40, mean_wait: ms(1), most_per_s: 1600 },
        TellCase { name: "many", peers: 79, changes_per_s: 4, mean_wait: ms(1), most_per_s: 1600 },
        TellCase {
            name: "storm",
            peers: 79,
            changes_per_s: 50,
            mean_wait: ms(250),
            most_per_s: 1600,
        },
        TellCase {
            name: "target",
            peers: 339,
            changes_per_s: 60,
            mean_wait: ms(250),
            most_per_s: 1600,
        },
    ];
    let seconds = 10;
    for case in cases {
        let begun = Instant::now();
        let mut budget = SendBudget::new(begun);
        let pace = report_interval(case.peers);
        let mut due = begun + pace;
        let mut told_at = begun;
        let (mut waits, mut sent) = (Duration::ZERO, 0);
        let count = seconds * case.changes_per_s;
        for index in 1..=count {
            let now = begun + Duration::from_secs(1) * index / case.changes_per_s;
            while due <= now {
                due += pace;
            }
            // The loop waits for one report at a time: a change that comes
            // meanwhile is told with it.
            if now >= told_at {
                told_at = budget.send_at(case.peers, due, now);
                if told_at < due {
                    sent += case.peers;
                }
            }
            waits += told_at - now;
        }
        let mean = waits / count;
        assert!(mean <= case.mean_wait, "{}: {mean:?}", case.name);
        let burst = 4 * case.peers;
        let most = case.most_per_s * seconds as usize + burst;
        assert!(sent <= most, "{}: {sent} datagrams", case.name);
    }
}
